package bbrstatement

import (
	"testing"

	"github.com/matryer/is"
)

func TestClassify(t *testing.T) {
	cases := map[string]struct {
		kind    Kind
		control Control
	}{
		"":                                   {KindEmpty, ControlNone},
		"-- only a comment":                  {KindEmpty, ControlNone},
		"SELECT 1":                           {KindRead, ControlNone},
		"SELECT count(*) FROM a WHERE b = 2": {KindRead, ControlNone},
		"SELECT * FROM a FOR UPDATE":         {KindWrite, ControlNone},
		"SELECT * INTO b FROM a":             {KindWrite, ControlNone},
		"SELECT nextval('s')":                {KindWrite, ControlNone},
		"SELECT my_function(1)":              {KindWrite, ControlNone},
		"SELECT other.count(1)":              {KindWrite, ControlNone},
		"SELECT pg_catalog.lower('A')":       {KindRead, ControlNone},
		"WITH x AS (DELETE FROM a RETURNING b) SELECT * FROM x": {KindWrite, ControlNone},
		"WITH x AS (SELECT 1) SELECT * FROM x":                  {KindRead, ControlNone},
		"INSERT INTO a VALUES (1)":                              {KindWrite, ControlNone},
		"CREATE TABLE a (b int)":                                {KindWrite, ControlNone},
		"CREATE TEMP TABLE a (b int)":                           {KindRefused, ControlNone},
		"EXPLAIN SELECT 1":                                      {KindRead, ControlNone},
		"EXPLAIN ANALYZE DELETE FROM a":                         {KindWrite, ControlNone},
		"BEGIN":                                                 {KindControl, ControlBegin},
		"START TRANSACTION READ ONLY":                           {KindControl, ControlBegin},
		"COMMIT":                                                {KindControl, ControlCommit},
		"ROLLBACK":                                              {KindControl, ControlRollback},
		"SAVEPOINT a":                                           {KindControl, ControlOther},
		"PREPARE TRANSACTION 'a'":                               {KindRefused, ControlNone},
		"SET timezone = 'UTC'":                                  {KindSession, ControlNone},
		"SET LOCAL timezone = 'UTC'":                            {KindControl, ControlOther},
		"SET ROLE admin":                                        {KindRefused, ControlNone},
		"SHOW timezone":                                         {KindSession, ControlNone},
		"LISTEN a":                                              {KindRefused, ControlNone},
		"SELECT pg_advisory_lock(1)":                            {KindRefused, ControlNone},
		"SELECT pg_advisory_xact_lock(1)":                       {KindWrite, ControlNone},
		"COPY a FROM STDIN":                                     {KindWrite, ControlNone},
		"COPY a TO STDOUT":                                      {KindRead, ControlNone},
		"COPY a FROM '/etc/passwd'":                             {KindRefused, ControlNone},
		"SELECT 1; DELETE FROM a":                               {KindWrite, ControlNone},
		"SELECT 1; SET a.b = 'c'":                               {KindRefused, ControlNone},
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
				is.Equal(info.Control, want.control)
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
	is.Equal(info.Kind, KindRefused) // an invalid key rejects the text, so that it doesn't run without one
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
