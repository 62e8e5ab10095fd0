package bbrstandinplatform

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"strings"
)

// attribute is a value in DynamoDB's JSON, such as {"S": "x"} or {"N": "1"}.
type attribute map[string]any

func (a attribute) text() string {
	for _, v := range a {
		return fmt.Sprint(v)
	}
	return ""
}

func (a attribute) number() float64 {
	f, _ := strconv.ParseFloat(a.text(), 64)
	return f
}

func (a attribute) isNumber() bool {
	_, ok := a["N"]
	return ok
}

type item map[string]attribute

// itemTable holds items by partition key, in the order of their sort keys.
// Keys are the attributes pk (text) and sk (number).
type itemTable struct{ partitions map[string][]item }

func (t *itemTable) find(pk string, sk float64) (int, bool) {
	items := t.partitions[pk]
	i := sort.Search(len(items), func(i int) bool { return items[i]["sk"].number() >= sk })
	return i, i < len(items) && items[i]["sk"].number() == sk
}

func (t *itemTable) get(key item) item {
	i, ok := t.find(key["pk"].text(), key["sk"].number())
	if !ok {
		return nil
	}
	return t.partitions[key["pk"].text()][i]
}

func (t *itemTable) put(it item) {
	pk := it["pk"].text()
	i, ok := t.find(pk, it["sk"].number())
	items := t.partitions[pk]
	if ok {
		items[i] = it
		return
	}
	items = append(items, nil)
	copy(items[i+1:], items[i:])
	items[i] = it
	t.partitions[pk] = items
}

func (t *itemTable) remove(key item) {
	pk := key["pk"].text()
	if i, ok := t.find(pk, key["sk"].number()); ok {
		t.partitions[pk] = append(t.partitions[pk][:i:i], t.partitions[pk][i+1:]...)
	}
}

// tableRequest has the fields of all operations that the stand-in knows.
type tableRequest struct {
	TableName                 string
	Item                      item
	Key                       item
	ConditionExpression       string
	KeyConditionExpression    string
	ExpressionAttributeValues map[string]attribute
	Limit                     int
	ScanIndexForward          *bool
	TransactItems             []struct {
		Put    *tableRequest
		Delete *tableRequest
	}
}

// tableError is an error in DynamoDB's form.
type tableError struct{ kind, message string }

func (e *tableError) Error() string { return e.kind + ": " + e.message }

var errCondition = &tableError{"ConditionalCheckFailedException", "The conditional request failed"}

func (p *Platform) serveTable(w http.ResponseWriter, r *http.Request) {
	var req tableRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		writeTableError(w, &tableError{"SerializationException", err.Error()})
		return
	}
	_, op, _ := strings.Cut(r.Header.Get("X-Amz-Target"), ".")
	p.mu.Lock()
	reply, err := p.tableOperation(op, &req)
	p.mu.Unlock()
	if err != nil {
		writeTableError(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/x-amz-json-1.0")
	_ = json.NewEncoder(w).Encode(reply)
}

func writeTableError(w http.ResponseWriter, e *tableError) {
	w.Header().Set("Content-Type", "application/x-amz-json-1.0")
	w.WriteHeader(http.StatusBadRequest)
	_ = json.NewEncoder(w).Encode(map[string]string{
		"__type":  "com.amazonaws.dynamodb.v20120810#" + e.kind,
		"message": e.message,
	})
}

func (p *Platform) table(name string) *itemTable {
	t := p.tables[name]
	if t == nil {
		t = &itemTable{partitions: map[string][]item{}}
		p.tables[name] = t
	}
	return t
}

func (p *Platform) tableOperation(op string, req *tableRequest) (any, *tableError) {
	switch op {
	case "PutItem":
		if err := p.check(req, req.Item); err != nil {
			return nil, err
		}
		p.table(req.TableName).put(req.Item)
		return struct{}{}, nil
	case "DeleteItem":
		if err := p.check(req, req.Key); err != nil {
			return nil, err
		}
		p.table(req.TableName).remove(req.Key)
		return struct{}{}, nil
	case "GetItem":
		return map[string]any{"Item": p.table(req.TableName).get(req.Key)}, nil
	case "Query":
		return p.query(req)
	case "TransactWriteItems":
		return p.transact(req)
	}
	return nil, &tableError{"UnknownOperationException", op}
}

// transact runs all writes or none.
func (p *Platform) transact(req *tableRequest) (any, *tableError) {
	for _, ti := range req.TransactItems {
		if ti.Put != nil && p.check(ti.Put, ti.Put.Item) != nil {
			return nil, &tableError{"TransactionCanceledException", "ConditionalCheckFailed"}
		}
		if ti.Delete != nil && p.check(ti.Delete, ti.Delete.Key) != nil {
			return nil, &tableError{"TransactionCanceledException", "ConditionalCheckFailed"}
		}
	}
	for _, ti := range req.TransactItems {
		if ti.Put != nil {
			p.table(ti.Put.TableName).put(ti.Put.Item)
		}
		if ti.Delete != nil {
			p.table(ti.Delete.TableName).remove(ti.Delete.Key)
		}
	}
	return struct{}{}, nil
}

// check evaluates a condition: attribute_not_exists(a), a = :v or a < :v,
// several of them joined by OR.
func (p *Platform) check(req *tableRequest, key item) *tableError {
	if req.ConditionExpression == "" {
		return nil
	}
	old := p.table(req.TableName).get(key)
	for _, part := range strings.Split(req.ConditionExpression, " OR ") {
		if conditionHolds(strings.TrimSpace(part), old, req.ExpressionAttributeValues) {
			return nil
		}
	}
	return errCondition
}

func conditionHolds(part string, old item, values map[string]attribute) bool {
	if name, ok := strings.CutPrefix(part, "attribute_not_exists("); ok {
		_, exists := old[strings.TrimSuffix(name, ")")]
		return !exists
	}
	f := strings.Fields(part)
	if len(f) != 3 || old == nil {
		return false
	}
	have, want := old[f[0]], values[f[2]]
	switch f[1] {
	case "=":
		return have.text() == want.text()
	case "<":
		return have.isNumber() && have.number() < want.number()
	}
	return false
}

// query answers "pk = :x" and "pk = :x AND sk > :y".
func (p *Platform) query(req *tableRequest) (any, *tableError) {
	parts := strings.Split(req.KeyConditionExpression, " AND ")
	value := func(part string) attribute {
		f := strings.Fields(part)
		return req.ExpressionAttributeValues[f[len(f)-1]]
	}
	items := p.table(req.TableName).partitions[value(parts[0]).text()]
	if len(parts) == 2 {
		after := value(parts[1]).number()
		i := sort.Search(len(items), func(i int) bool { return items[i]["sk"].number() > after })
		items = items[i:]
	}
	if req.ScanIndexForward != nil && !*req.ScanIndexForward {
		reversed := make([]item, len(items))
		for i := range items {
			reversed[len(items)-1-i] = items[i]
		}
		items = reversed
	}
	reply := map[string]any{}
	if req.Limit > 0 && len(items) > req.Limit {
		items = items[:req.Limit]
		last := items[len(items)-1]
		reply["LastEvaluatedKey"] = item{"pk": last["pk"], "sk": last["sk"]}
	}
	reply["Items"] = append([]item{}, items...)
	reply["Count"] = len(items)
	return reply, nil
}
