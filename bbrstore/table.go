// Package bbrstore keeps what must last in the platform's services: the journal
// and heartbeats in the table service, which speaks DynamoDB's protocol, and
// configurations and snapshots in the object store, which speaks S3.
//
// Calls are not repeated here: the callers decide what a lost reply means.
//
// # Usage
//
//	t, err := bbrstore.NewTable(ctx, opts)
//	records, more, err := t.Read(ctx, applied, 100)
package bbrstore

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"

	"github.com/aws/aws-sdk-go-v2/aws"
	awshttp "github.com/aws/aws-sdk-go-v2/aws/transport/http"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/pkg/errors"

	"github.com/bluebellroute/bluebellroute/bbrcontrol"
	"github.com/bluebellroute/bluebellroute/bbrjournal"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// Attributes and partitions of the table.
const (
	attributePartition = "pk"
	attributeSort      = "sk"
	attributeBody      = "body"
	attributeBeat      = "beat"

	partitionJournal  = "journal"
	partitionSnapshot = "snapshot"
	partitionBeat     = "beat/"
)

// revokedBeat is higher than any heartbeat: none can follow it.
const revokedBeat = uint64(1) << 50

// Options are how the platform's services are reached.
type Options struct {
	// Name is told to the services in the User-Agent.
	Name          string
	TableEndpoint string
	Table         string
	Region        string
	AccessKey     string
	SecretKey     string

	ObjectEndpoint string
	Bucket         string
	ObjectTLS      bool

	ListURL string

	// Dial opens connections to the services. Nil means the system's own way.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Table is the table service.
type Table struct {
	client *dynamodb.Client
	name   string
}

// NewTable returns a client of the table service. Nothing is sent yet.
func NewTable(o Options) *Table {
	base := awshttp.NewBuildableClient().GetTransport()
	if o.Dial != nil {
		base.DialContext = o.Dial
	}
	client := dynamodb.New(dynamodb.Options{
		HTTPClient: &http.Client{
			Transport:     newCheckedTransport(base),
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
		AppID:        o.Name,
		Region:       o.Region,
		BaseEndpoint: aws.String(o.TableEndpoint),
		Credentials:  credentials.NewStaticCredentialsProvider(o.AccessKey, o.SecretKey, ""),
		Retryer:      aws.NopRetryer{},
	})
	return &Table{client: client, name: o.Table}
}

func text(s string) types.AttributeValue { return &types.AttributeValueMemberS{Value: s} }

func number(n uint64) types.AttributeValue {
	return &types.AttributeValueMemberN{Value: strconv.FormatUint(n, 10)}
}

func key(pk string, sk uint64) map[string]types.AttributeValue {
	return map[string]types.AttributeValue{attributePartition: text(pk), attributeSort: number(sk)}
}

// Read returns records behind an index, at most limit, by a consistent read.
// more is set if there may be others behind them.
func (t *Table) Read(ctx context.Context, after bbrtype.Index, limit int) (records []bbrjournal.Record, more bool, err error) {
	out, err := t.client.Query(ctx, &dynamodb.QueryInput{
		TableName:              aws.String(t.name),
		ConsistentRead:         aws.Bool(true),
		KeyConditionExpression: aws.String("pk = :p AND sk > :s"),
		ExpressionAttributeValues: map[string]types.AttributeValue{
			":p": text(partitionJournal), ":s": number(uint64(after)),
		},
		Limit: aws.Int32(int32(limit)),
	})
	if err != nil {
		return nil, false, errors.Wrap(err, "read the journal")
	}
	for _, it := range out.Items {
		body, ok := it[attributeBody].(*types.AttributeValueMemberS)
		if !ok {
			return nil, false, errors.New("read the journal: a record has no body")
		}
		var r bbrjournal.Record
		if err := json.Unmarshal([]byte(body.Value), &r); err != nil {
			return nil, false, errors.Wrap(err, "read the journal")
		}
		records = append(records, r)
	}
	return records, len(out.LastEvaluatedKey) > 0, nil
}

// Append stores a record if its index is free.
func (t *Table) Append(ctx context.Context, r bbrjournal.Record) (bbrcontrol.AppendResult, error) {
	body, err := json.Marshal(r)
	if err != nil {
		return bbrcontrol.AppendUnknown, errors.Wrap(err, "encode a record")
	}
	item := key(partitionJournal, uint64(r.Index))
	item[attributeBody] = text(string(body))
	_, err = t.client.PutItem(ctx, &dynamodb.PutItemInput{
		TableName:           aws.String(t.name),
		Item:                item,
		ConditionExpression: aws.String("attribute_not_exists(pk)"),
	})
	switch {
	case err == nil:
		return bbrcontrol.AppendStored, nil
	case isConditionFailed(err):
		return bbrcontrol.AppendIndexTaken, nil
	}
	return bbrcontrol.AppendUnknown, errors.Wrapf(err, "append record %d", r.Index)
}

func isConditionFailed(err error) bool {
	var failed *types.ConditionalCheckFailedException
	return errors.As(err, &failed)
}

// Beat stores a steward's heartbeat if it is higher than the stored one. It
// returns false if it is not: the heartbeat was revoked.
func (t *Table) Beat(ctx context.Context, id bbrtype.InstanceID, beat uint64) (bool, error) {
	return t.putBeat(ctx, id, beat, "attribute_not_exists(pk) OR beat < :b", beat)
}

// Revoke makes later heartbeats of a steward fail if its heartbeat is still the
// given one, 0 for none.
func (t *Table) Revoke(ctx context.Context, id bbrtype.InstanceID, seen uint64) (bool, error) {
	condition := "beat = :b"
	if seen == 0 {
		condition = "attribute_not_exists(pk)"
	}
	return t.putBeat(ctx, id, revokedBeat, condition, seen)
}

func (t *Table) putBeat(ctx context.Context, id bbrtype.InstanceID, beat uint64, condition string, operand uint64) (bool, error) {
	item := key(partitionBeat+string(id), 0)
	item[attributeBeat] = number(beat)
	in := &dynamodb.PutItemInput{TableName: aws.String(t.name), Item: item, ConditionExpression: aws.String(condition)}
	if condition != "attribute_not_exists(pk)" {
		in.ExpressionAttributeValues = map[string]types.AttributeValue{":b": number(operand)}
	}
	_, err := t.client.PutItem(ctx, in)
	if isConditionFailed(err) {
		return false, nil
	}
	return err == nil, errors.Wrapf(err, "store the heartbeat of %s", id)
}

// ReadBeat returns a steward's heartbeat, 0 if there is none.
func (t *Table) ReadBeat(ctx context.Context, id bbrtype.InstanceID) (uint64, error) {
	it, err := t.get(ctx, partitionBeat+string(id))
	if err != nil || it == nil {
		return 0, err
	}
	return attributeNumber(it, attributeBeat)
}

func (t *Table) get(ctx context.Context, pk string) (map[string]types.AttributeValue, error) {
	out, err := t.client.GetItem(ctx, &dynamodb.GetItemInput{
		TableName: aws.String(t.name), ConsistentRead: aws.Bool(true), Key: key(pk, 0),
	})
	if err != nil {
		return nil, errors.Wrapf(err, "read %s", pk)
	}
	return out.Item, nil
}

func attributeNumber(it map[string]types.AttributeValue, name string) (uint64, error) {
	v, ok := it[name].(*types.AttributeValueMemberN)
	if !ok {
		return 0, errors.Errorf("attribute %q is not a number", name)
	}
	n, err := strconv.ParseUint(v.Value, 10, 64)
	return n, errors.Wrapf(err, "attribute %q", name)
}

// NoteSnapshot points to the snapshot of an index, if it is the newest. Records
// far behind it are dropped.
func (t *Table) NoteSnapshot(ctx context.Context, index bbrtype.Index, keep bbrtype.Index) error {
	item := key(partitionSnapshot, 0)
	item["snapshotIndex"] = number(uint64(index))
	_, err := t.client.PutItem(ctx, &dynamodb.PutItemInput{
		TableName:                 aws.String(t.name),
		Item:                      item,
		ConditionExpression:       aws.String("attribute_not_exists(pk) OR snapshotIndex < :i"),
		ExpressionAttributeValues: map[string]types.AttributeValue{":i": number(uint64(index))},
	})
	if isConditionFailed(err) {
		return nil
	}
	if err != nil {
		return errors.Wrapf(err, "note the snapshot of %d", index)
	}
	if index <= keep {
		return nil
	}
	return t.dropUpTo(ctx, index-keep)
}

// dropUpTo deletes the records up to an index, newest first, until one is
// missing: those before it were dropped earlier.
func (t *Table) dropUpTo(ctx context.Context, last bbrtype.Index) error {
	for i := last; i > 0; i-- {
		_, err := t.client.DeleteItem(ctx, &dynamodb.DeleteItemInput{
			TableName:           aws.String(t.name),
			Key:                 key(partitionJournal, uint64(i)),
			ConditionExpression: aws.String("pk = :p"),
			ExpressionAttributeValues: map[string]types.AttributeValue{
				":p": text(partitionJournal),
			},
		})
		if isConditionFailed(err) {
			return nil
		}
		if err != nil {
			return errors.Wrapf(err, "drop record %d", i)
		}
	}
	return nil
}

// SnapshotIndex returns the index of the newest snapshot, 0 if there is none.
func (t *Table) SnapshotIndex(ctx context.Context) (bbrtype.Index, error) {
	it, err := t.get(ctx, partitionSnapshot)
	if err != nil || it == nil {
		return 0, err
	}
	n, err := attributeNumber(it, "snapshotIndex")
	return bbrtype.Index(n), err
}
