package bbrstandindb

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	pgquery "github.com/pganalyze/pg_query_go/v6"

	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// scope is what an expression can see.
type scope struct {
	db     *Database
	table  *table
	values []any
	params []any
}

// constant returns the value of a literal.
func constant(c *pgquery.A_Const) any {
	switch v := c.GetVal().(type) {
	case *pgquery.A_Const_Ival:
		return int64(v.Ival.GetIval())
	case *pgquery.A_Const_Fval:
		if n, err := strconv.ParseInt(v.Fval.GetFval(), 10, 64); err == nil {
			return n
		}
		f, _ := strconv.ParseFloat(v.Fval.GetFval(), 64)
		return f
	case *pgquery.A_Const_Boolval:
		return v.Boolval.GetBoolval()
	case *pgquery.A_Const_Sval:
		return v.Sval.GetSval()
	}
	return nil
}

// eval computes an expression.
func (s *scope) eval(n *pgquery.Node) (any, error) {
	switch x := n.GetNode().(type) {
	case nil:
		return nil, nil
	case *pgquery.Node_AConst:
		return constant(x.AConst), nil
	case *pgquery.Node_ParamRef:
		i := int(x.ParamRef.GetNumber()) - 1
		if i >= len(s.params) {
			return nil, sqlErrorf(codeProtocol, "there is no parameter $%d", i+1)
		}
		return s.params[i], nil
	case *pgquery.Node_ColumnRef:
		return s.column(columnName(x.ColumnRef))
	case *pgquery.Node_TypeCast:
		v, err := s.eval(x.TypeCast.GetArg())
		if err != nil {
			return nil, err
		}
		return coerce(v, oidOfType(typeName(x.TypeCast.GetTypeName())))
	case *pgquery.Node_AExpr:
		return s.operator(x.AExpr)
	case *pgquery.Node_BoolExpr:
		return s.boolean(x.BoolExpr)
	case *pgquery.Node_NullTest:
		v, err := s.eval(x.NullTest.GetArg())
		return (v == nil) == (x.NullTest.GetNulltesttype() == pgquery.NullTestType_IS_NULL), err
	case *pgquery.Node_CoalesceExpr:
		for _, a := range x.CoalesceExpr.GetArgs() {
			if v, err := s.eval(a); err != nil || v != nil {
				return v, err
			}
		}
		return nil, nil
	case *pgquery.Node_CaseExpr:
		return s.caseOf(x.CaseExpr)
	case *pgquery.Node_FuncCall:
		return s.call(x.FuncCall)
	case *pgquery.Node_SqlvalueFunction:
		return time.Now().UTC().Format(time.RFC3339Nano), nil
	}
	return nil, sqlErrorf(codeUnsupported, "expression %T is not supported", n.GetNode())
}

func (s *scope) column(name string) (any, error) {
	if s.table != nil {
		if i := s.table.columnIndex(name); i >= 0 && i < len(s.values) {
			return s.values[i], nil
		}
	}
	return nil, sqlErrorf(codeNoColumn, "column %q does not exist", name)
}

func (s *scope) boolean(e *pgquery.BoolExpr) (any, error) {
	and := e.GetBoolop() == pgquery.BoolExprType_AND_EXPR
	for _, a := range e.GetArgs() {
		v, err := s.eval(a)
		if err != nil {
			return nil, err
		}
		b, _ := v.(bool)
		if e.GetBoolop() == pgquery.BoolExprType_NOT_EXPR {
			return !b, nil
		}
		if b != and {
			return b, nil
		}
	}
	return and, nil
}

func (s *scope) caseOf(e *pgquery.CaseExpr) (any, error) {
	for _, a := range e.GetArgs() {
		when := a.GetCaseWhen()
		v, err := s.eval(when.GetExpr())
		if err != nil {
			return nil, err
		}
		if b, _ := v.(bool); b {
			return s.eval(when.GetResult())
		}
	}
	return s.eval(e.GetDefresult())
}

func (s *scope) operator(e *pgquery.A_Expr) (any, error) {
	l, err := s.eval(e.GetLexpr())
	if err != nil {
		return nil, err
	}
	if e.GetKind() == pgquery.A_Expr_Kind_AEXPR_IN {
		return s.in(l, e.GetRexpr().GetList().GetItems())
	}
	r, err := s.eval(e.GetRexpr())
	if err != nil {
		return nil, err
	}
	op := e.GetName()[0].GetString_().GetSval()
	switch op {
	case "+", "-", "*", "/", "%":
		return arithmetic(op, l, r)
	case "||":
		return textOf(l) + textOf(r), nil
	}
	order, ok := compare(l, r)
	if !ok {
		return nil, nil
	}
	switch op {
	case "=":
		return order == 0, nil
	case "<>", "!=":
		return order != 0, nil
	case "<":
		return order < 0, nil
	case "<=":
		return order <= 0, nil
	case ">":
		return order > 0, nil
	case ">=":
		return order >= 0, nil
	}
	return nil, sqlErrorf(codeUnsupported, "operator %s is not supported", op)
}

func (s *scope) in(l any, items []*pgquery.Node) (any, error) {
	for _, item := range items {
		v, err := s.eval(item)
		if err != nil {
			return nil, err
		}
		if order, ok := compare(l, v); ok && order == 0 {
			return true, nil
		}
	}
	return false, nil
}

func arithmetic(op string, l, r any) (any, error) {
	if l == nil || r == nil {
		return nil, nil
	}
	a, aInt := l.(int64)
	b, bInt := r.(int64)
	if !aInt || !bInt {
		return floatArithmetic(op, l, r)
	}
	switch op {
	case "+":
		return a + b, nil
	case "-":
		return a - b, nil
	case "*":
		return a * b, nil
	}
	if b == 0 {
		return nil, sqlErrorf("22012", "division by zero")
	}
	if op == "/" {
		return a / b, nil
	}
	return a % b, nil
}

func floatArithmetic(op string, l, r any) (any, error) {
	a, okA := number(l)
	b, okB := number(r)
	if !okA || !okB {
		return nil, sqlErrorf(codeInvalidText, "operator %s needs numbers", op)
	}
	switch op {
	case "+":
		return a + b, nil
	case "-":
		return a - b, nil
	case "*":
		return a * b, nil
	case "/":
		return a / b, nil
	}
	return nil, sqlErrorf(codeUnsupported, "operator %s on fractions is not supported", op)
}

// call runs one of PostgreSQL's functions, or one of the stand-in's own.
func (s *scope) call(f *pgquery.FuncCall) (any, error) {
	names := f.GetFuncname()
	name := strings.ToLower(names[len(names)-1].GetString_().GetSval())
	args := make([]any, len(f.GetArgs()))
	for i, a := range f.GetArgs() {
		v, err := s.eval(a)
		if err != nil {
			return nil, err
		}
		args[i] = v
	}
	switch name {
	case "now", "clock_timestamp":
		return time.Now().UTC().Format(time.RFC3339Nano), nil
	case "extract", "date_part":
		at, err := time.Parse(time.RFC3339Nano, textOf(args[1]))
		if err != nil || textOf(args[0]) != "epoch" {
			return nil, sqlErrorf(codeUnsupported, "extract takes the epoch of a time only")
		}
		return float64(at.UnixNano()) / float64(time.Second), nil
	case "pg_sleep":
		if len(args) == 1 {
			seconds, _ := number(args[0])
			time.Sleep(time.Duration(seconds * float64(time.Second)))
		}
		return "", nil
	case "version":
		return "PostgreSQL stand-in", nil
	case "length":
		return int64(len(textOf(args[0]))), nil
	}
	return s.memberFunction(name, args)
}

// memberFunction runs the functions that tell or change the member's role.
func (s *scope) memberFunction(name string, args []any) (any, error) {
	st := s.db.State()
	switch name {
	case "pg_is_in_recovery":
		return !st.Primary, nil
	case "pg_current_wal_lsn":
		if !st.Primary {
			return nil, sqlErrorf(codeState, "recovery is in progress")
		}
		return bbrtype.Position(st.Position).String(), nil
	case "pg_last_wal_replay_lsn":
		return bbrtype.Position(st.Position).String(), nil
	case "pg_last_wal_receive_lsn":
		return bbrtype.Position(st.Received).String(), nil
	case "pg_terminate_backend":
		pid, err := wholeNumber(args, 0)
		if err != nil {
			return nil, err
		}
		return s.db.terminate(uint32(pid)), nil
	case "pg_promote":
		_, err := s.db.Promote(0)
		return err == nil, err
	case "standin_state":
		return fmt.Sprintf("%t %s %d", st.Primary, bbrtype.Position(st.Position), st.History), nil
	case "standin_promote":
		term, err := wholeNumber(args, 0)
		if err != nil {
			return nil, err
		}
		_, err = s.db.Promote(term)
		return err == nil, err
	case "standin_follow":
		port, err := wholeNumber(args, 1)
		if err != nil {
			return nil, err
		}
		term, err := wholeNumber(args, 2)
		if err != nil {
			return nil, err
		}
		return true, s.db.Follow(fmt.Sprintf("%s:%d", textOf(args[0]), port), term)
	}
	return nil, sqlErrorf(codeUnsupported, "function %s is not supported", name)
}

func wholeNumber(args []any, i int) (uint64, error) {
	if i >= len(args) {
		return 0, sqlErrorf(codeSyntax, "argument %d is missing", i+1)
	}
	n, ok := args[i].(int64)
	if !ok || n < 0 {
		return 0, sqlErrorf(codeSyntax, "argument %d is not a whole number", i+1)
	}
	return uint64(n), nil
}
