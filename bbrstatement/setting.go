package bbrstatement

import (
	"regexp"
	"strconv"
	"strings"

	pgquery "github.com/pganalyze/pg_query_go/v6"
	"github.com/pkg/errors"
)

// settingAll is SettingCommand.Name for RESET ALL and for every form of DISCARD.
const settingAll = "all"

// MaxRequestKeyBytes is the maximum length of a request key in bytes.
const MaxRequestKeyBytes = 200

var (
	requestKeyComment = regexp.MustCompile(`^\s*/\*\s*bbr\s+requestKey=([^*]*)\*/`)
	requestKeyFormat  = regexp.MustCompile(`^[\x21-\x7e]+$`)
)

// parseRequestKey returns the request key in the comment at the start of a text,
// such as /* bbr requestKey=meter-17-2026-12 */. The key is empty if there is no
// such comment. An error is returned if the key is invalid.
func parseRequestKey(text string) (string, error) {
	m := requestKeyComment.FindStringSubmatch(text)
	if m == nil {
		return "", nil
	}
	key := strings.TrimSpace(m[1])
	return key, CheckRequestKey(key)
}

// CheckRequestKey returns an error if key isn't a valid request key.
func CheckRequestKey(key string) error {
	if len(key) > MaxRequestKeyBytes || !requestKeyFormat.MatchString(key) {
		return errors.Errorf("request key %q: expected 1 to %d printable characters without spaces", key, MaxRequestKeyBytes)
	}
	return nil
}

// classifySet classifies a SET or RESET. SET LOCAL and SET TRANSACTION apply to
// the current transaction only and count as transaction control.
func classifySet(s *pgquery.VariableSetStmt) Info {
	name := strings.ToLower(s.GetName())
	if s.GetIsLocal() || strings.HasPrefix(name, "transaction") {
		return Info{Kind: KindTxControl, TxControl: TxOther}
	}
	setting := SettingCommand{Name: name}
	switch s.GetKind() {
	case pgquery.VariableSetKind_VAR_SET_VALUE:
		value, err := formatSetArgs(s.GetArgs())
		if err != nil {
			return rejected(err.Error())
		}
		setting.Value = value
	case pgquery.VariableSetKind_VAR_SET_DEFAULT, pgquery.VariableSetKind_VAR_RESET:
		setting.Reset = true
	case pgquery.VariableSetKind_VAR_RESET_ALL:
		setting.Name, setting.Reset = settingAll, true
	case pgquery.VariableSetKind_VAR_SET_MULTI:
		return rejected("SET SESSION CHARACTERISTICS is not carried by pooled connections")
	default:
		return rejected("this form of SET is not carried by pooled connections")
	}
	if setting.Name == "role" || setting.Name == "session_authorization" {
		return rejected("SET ROLE is not carried by pooled connections")
	}
	return Info{Kind: KindSetting, Setting: setting}
}

// formatSetArgs returns the arguments of a SET as one text, separated by commas.
func formatSetArgs(args []*pgquery.Node) (string, error) {
	parts := make([]string, len(args))
	for i, a := range args {
		c := a.GetAConst()
		switch v := c.GetVal().(type) {
		case *pgquery.A_Const_Sval:
			parts[i] = v.Sval.GetSval()
		case *pgquery.A_Const_Ival:
			parts[i] = strconv.Itoa(int(v.Ival.GetIval()))
		case *pgquery.A_Const_Fval:
			parts[i] = v.Fval.GetFval()
		case *pgquery.A_Const_Boolval:
			parts[i] = strconv.FormatBool(v.Boolval.GetBoolval())
		default:
			return "", errors.New("SET takes constants only")
		}
	}
	return strings.Join(parts, ", "), nil
}
