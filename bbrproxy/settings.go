package bbrproxy

import (
	"sort"
	"strings"
	"sync"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/bluebellroute/bluebellroute/bbrmetric"
	"github.com/bluebellroute/bluebellroute/bbroutcome"
	"github.com/bluebellroute/bluebellroute/bbrstatement"
	"github.com/bluebellroute/bluebellroute/bbrtoken"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// Settings of the proxy's own. Names of settings have no case.
const (
	settingPrefix     = "bbr."
	settingToken      = "bbr.token"
	settingRequestKey = "bbr.requestkey"
	settingAll        = "all"
)

// parameterToken is the name under which the token is reported.
const parameterToken = "bbr.token"

// set changes one setting of the session.
func (c *session) set(name, value string) error {
	switch name {
	case settingToken:
		return c.adoptToken(value)
	case settingRequestKey:
		if value == "" {
			c.requestKey = ""
			return nil
		}
		if err := bbrstatement.CheckRequestKey(value); err != nil {
			return bbroutcome.New(bbroutcome.ReasonBadSetting, "%v", err)
		}
		c.requestKey = bbrtype.RequestKey(value)
		return nil
	case "client_encoding":
		if v := strings.ToUpper(strings.ReplaceAll(value, "-", "")); v != "UTF8" && v != "'UTF8'" && v != "UNICODE" {
			return bbroutcome.New(bbroutcome.ReasonUnsupported, "client_encoding %q is not supported: use UTF8", value)
		}
		return nil
	}
	if strings.HasPrefix(name, settingPrefix) {
		return bbroutcome.New(bbroutcome.ReasonBadSetting, "unknown setting %q: there are bbr.token and bbr.requestKey", name)
	}
	if _, known := c.settings[name]; !known && len(c.settings) >= maxSettings {
		return bbroutcome.New(bbroutcome.ReasonTooLarge, "a session has at most %d settings", maxSettings)
	}
	c.settings[name] = value
	c.redigest()
	return nil
}

// reset takes a setting back, or all of them.
func (c *session) reset(name string) {
	switch name {
	case settingAll:
		c.settings = map[string]string{}
		c.requestKey = ""
	case settingRequestKey:
		c.requestKey = ""
	case settingToken:
		c.token, c.positionKnown = bbrtoken.Token{}, false
	default:
		delete(c.settings, name)
	}
	c.redigest()
}

// redigest works out the text that tells equal settings from others.
func (c *session) redigest() {
	names := make([]string, 0, len(c.settings))
	for n := range c.settings {
		names = append(names, n)
	}
	sort.Strings(names)
	var b strings.Builder
	for _, n := range names {
		b.WriteString(n)
		b.WriteByte(0)
		b.WriteString(c.settings[n])
		b.WriteByte(0)
	}
	c.digest = b.String()
}

// adoptToken takes a token that the caller brought from another session.
func (c *session) adoptToken(text string) error {
	t, err := c.srv.deps.Signer.Decode(text, c.caller)
	if err != nil {
		return bbroutcome.New(bbroutcome.ReasonBadToken, "%v", err)
	}
	if c.token.Group != "" && c.token.Group != t.Group {
		return bbroutcome.New(bbroutcome.ReasonBadToken, "the token is for group %q, the session uses %q", t.Group, c.token.Group)
	}
	if g := c.srv.deps.Registry.View().Group(t.Group); g != nil {
		c.raise(g, t)
	} else {
		c.token, c.positionKnown = t, true
	}
	c.tokenSentAs = c.token
	return nil
}

// tokenText returns the session's token as callers see it.
func (c *session) tokenText() string {
	if c.token.IsZero() {
		return ""
	}
	return c.srv.deps.Signer.Encode(c.token, c.caller)
}

// reportToken tells the caller its token if it has changed.
func (c *session) reportToken() {
	if c.token == c.tokenSentAs {
		return
	}
	c.tokenSentAs = c.token
	c.send(&pgproto3.ParameterStatus{Name: parameterToken, Value: c.tokenText()})
}

// show returns the value of a setting.
func (c *session) show(name string) string {
	switch name {
	case settingToken:
		return c.tokenText()
	case settingRequestKey:
		return string(c.requestKey)
	case "client_encoding", "server_encoding":
		return "UTF8"
	case "server_version":
		return serverVersion
	case "standard_conforming_strings", "integer_datetimes":
		return "on"
	case "transaction_read_only":
		return "off"
	case "transaction_isolation":
		return "read committed"
	}
	return c.settings[name]
}

// serveSession answers a SET, RESET or SHOW.
func (c *session) serveSession(b *batch) error {
	setting := b.info.Setting
	switch {
	case setting.Show:
		value := c.show(setting.Name)
		c.answerLocally(b, "SHOW", []string{setting.Name}, []string{value})
		return nil
	case setting.Reset:
		c.reset(setting.Name)
		c.answerLocally(b, "RESET", nil, nil)
		return nil
	}
	if err := c.set(setting.Name, setting.Value); err != nil {
		return err
	}
	c.answerLocally(b, "SET", nil, nil)
	return nil
}

// answerLocally answers a batch in the member's place. names and row are nil
// for an answer without rows.
func (c *session) answerLocally(b *batch, tag string, names, row []string) {
	for i := range b.items {
		switch b.items[i].kind {
		case itemParse:
			c.send(&pgproto3.ParseComplete{})
		case itemBind:
			c.send(&pgproto3.BindComplete{})
		case itemDescribeStatement:
			c.send(&pgproto3.ParameterDescription{})
			c.sendShape(names)
		case itemDescribePortal:
			c.sendShape(names)
		case itemCloseStatement, itemClosePortal:
			c.send(&pgproto3.CloseComplete{})
		case itemQuery:
			if names != nil {
				c.sendShape(names)
			}
			c.sendRow(row)
			c.send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
		case itemExecute:
			c.sendRow(row)
			c.send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
		}
	}
}

// textOID is the object id of the type text.
const textOID = 25

func (c *session) sendShape(names []string) {
	if names == nil {
		c.send(&pgproto3.NoData{})
		return
	}
	fields := make([]pgproto3.FieldDescription, len(names))
	for i, n := range names {
		fields[i] = pgproto3.FieldDescription{Name: []byte(n), DataTypeOID: textOID, DataTypeSize: -1, TypeModifier: -1}
	}
	c.send(&pgproto3.RowDescription{Fields: fields})
}

func (c *session) sendRow(row []string) {
	if row == nil {
		return
	}
	values := make([][]byte, len(row))
	for i, v := range row {
		values[i] = []byte(v)
	}
	c.send(&pgproto3.DataRow{Values: values})
}

// preparesSession reports whether a batch only prepares a statement that the
// proxy answers itself.
func (c *session) preparesSession(b *batch) (*bbrstatement.Info, bool) {
	if !b.isPrepareOnly() {
		return nil, false
	}
	for i := range b.items {
		if p := b.items[i].stmt; p != nil && p.info.Kind == bbrstatement.KindSetting {
			return p.info, true
		}
	}
	return nil, false
}

// describeSession answers such a batch.
func (c *session) describeSession(b *batch, info *bbrstatement.Info) error {
	var names []string
	if info.Setting.Show {
		names = []string{info.Setting.Name}
	}
	c.answerLocally(b, "", names, nil)
	return nil
}

// seriesCache keeps the metrics of each tenant's class and of each group.
type seriesCache struct {
	m      sync.Map
	groups sync.Map
}

func (s *seriesCache) reads(set *bbrmetric.Set, g bbrtype.GroupName) *bbrmetric.ReadSeries {
	if v, ok := s.groups.Load(g); ok {
		if series, ok := v.(*bbrmetric.ReadSeries); ok {
			return series
		}
	}
	series := set.Reads(g)
	s.groups.Store(g, series)
	return series
}

type seriesKey struct {
	tenant bbrtype.TenantName
	class  string
}

func (s *seriesCache) of(set *bbrmetric.Set, t bbrtype.TenantName, class string) *bbrmetric.StatementSeries {
	key := seriesKey{t, class}
	if v, ok := s.m.Load(key); ok {
		if series, ok := v.(*bbrmetric.StatementSeries); ok {
			return series
		}
	}
	series := set.Statements(t, class)
	s.m.Store(key, series)
	return series
}
