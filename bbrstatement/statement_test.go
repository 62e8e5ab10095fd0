package bbrstatement

import (
	"testing"

	"github.com/matryer/is"
)

func TestClassify(t *testing.T) {
	cases := map[string]struct {
		kind    Kind
		control TxControl
	}{
		"":                                   {KindEmpty, TxNone},
		"-- only a comment":                  {KindEmpty, TxNone},
		"SELECT 1":                           {KindRead, TxNone},
		"SELECT count(*) FROM a WHERE b = 2": {KindRead, TxNone},
		"SELECT * FROM a FOR UPDATE":         {KindWrite, TxNone},
		"SELECT * INTO b FROM a":             {KindWrite, TxNone},
		"SELECT nextval('s')":                {KindWrite, TxNone},
		"SELECT my_function(1)":              {KindWrite, TxNone},
		"SELECT other.count(1)":              {KindWrite, TxNone},
		"SELECT pg_catalog.lower('A')":       {KindRead, TxNone},
		"WITH x AS (DELETE FROM a RETURNING b) SELECT * FROM x": {KindWrite, TxNone},
		"WITH x AS (SELECT 1) SELECT * FROM x":                  {KindRead, TxNone},
		"INSERT INTO a VALUES (1)":                              {KindWrite, TxNone},
		"CREATE TABLE a (b int)":                                {KindWrite, TxNone},
		"CREATE TEMP TABLE a (b int)":                           {KindRejected, TxNone},
		"EXPLAIN SELECT 1":                                      {KindRead, TxNone},
		"EXPLAIN ANALYZE DELETE FROM a":                         {KindWrite, TxNone},
		"BEGIN":                                                 {KindTxControl, TxBegin},
		"START TRANSACTION READ ONLY":                           {KindTxControl, TxBegin},
		"COMMIT":                                                {KindTxControl, TxCommit},
		"ROLLBACK":                                              {KindTxControl, TxRollback},
		"SAVEPOINT a":                                           {KindTxControl, TxOther},
		"PREPARE TRANSACTION 'a'":                               {KindRejected, TxNone},
		"SET timezone = 'UTC'":                                  {KindSetting, TxNone},
		"SET LOCAL timezone = 'UTC'":                            {KindTxControl, TxOther},
		"SET ROLE admin":                                        {KindRejected, TxNone},
		"SHOW timezone":                                         {KindSetting, TxNone},
		"LISTEN a":                                              {KindRejected, TxNone},
		"SELECT pg_advisory_lock(1)":                            {KindRejected, TxNone},
		"SELECT pg_advisory_xact_lock(1)":                       {KindWrite, TxNone},
		"COPY a FROM STDIN":                                     {KindWrite, TxNone},
		"COPY a TO STDOUT":                                      {KindRead, TxNone},
		"COPY a FROM '/etc/passwd'":                             {KindRejected, TxNone},
		"SELECT 1; DELETE FROM a":                               {KindWrite, TxNone},
		"SELECT 1; SET a.b = 'c'":                               {KindRejected, TxNone},
	}
	c, err := NewClassifier(100)
	if err != nil {
		t.Fatal(err)
	}
	for text, want := range cases {
		t.Run(text, func(t *testing.T) {
			is := is.New(t)
			for range 2 { // the second result comes from the cache
				info, err := c.Classify(text)
				is.NoErr(err)
				is.Equal(info.Kind, want.kind)
				is.Equal(info.TxControl, want.control)
			}
		})
	}
}

func TestDetails(t *testing.T) {
	is := is.New(t)
	c, err := NewClassifier(10)
	is.NoErr(err)
	info, err := c.Classify("/* bbr requestKey=meter-17 */ INSERT INTO payments VALUES (1); UPDATE balances SET a = 1")
	is.NoErr(err)
	is.Equal(info.RequestKey, "meter-17")
	is.Equal(info.WrittenTables, []string{"payments", "balances"})
	info, err = c.Classify("BEGIN READ ONLY")
	is.NoErr(err)
	is.True(info.BeginsReadOnly)
	info, err = c.Classify("SET bbr.token = 'x'")
	is.NoErr(err)
	is.Equal(info.Setting, SettingCommand{Name: "bbr.token", Value: "x"})
	_, err = c.Classify("SELEC 1")
	is.True(err != nil)
	info, err = c.Classify("/* bbr requestKey=two words */ INSERT INTO a VALUES (1)")
	is.NoErr(err)
	is.Equal(info.Kind, KindRejected) // without its key, a retry could apply the text twice
}

func BenchmarkClassifyCached(b *testing.B) {
	c, err := NewClassifier(10)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := c.Classify("SELECT last FROM balances WHERE caller = $1"); err != nil {
			b.Fatal(err)
		}
	}
}
