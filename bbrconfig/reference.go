package bbrconfig

import (
	"io"
	"strconv"

	"gopkg.in/ini.v1"

	"github.com/bluebellroute/bluebellroute/bbrini"
)

// owner describes the key that every kind has.
const aboutOwner = "team that may change the object; without one, only operators for all teams may"

// kindIntro opens each kind of the reference.
var kindIntro = map[string]string{
	"":                "The file begins with its name.",
	"group NAME":      "A database group: one primary and its replicas.",
	"member GROUP/M":  "One database of a group.",
	"readPolicy NAME": "What reads may be served from.",
	"class NAME":      "A kind of statement, with its place in the queues.",
	"tenant NAME":     "An owner of callers.",
	"route NAME":      "A database name that callers ask for.",
	"caller NAME":     "Somebody who may connect.",
	"operator NAME":   "Somebody who may change the configuration.",
}

// aboutKeys describes each key.
var aboutKeys = bbrini.About{
	"": {"name": "name of the configuration"},
	"group NAME": {
		"database":       "name of the database at the members; the group's name unless set",
		"user":           "user at the members",
		"passwordSecret": "key in `[secrets]` of the settings that holds the user's password",
		"tls":            "reach the members by TLS",
		"connections":    "connections of each member that all instances may have together; five of them are kept for probes and orders",
		"slots":          "statements that a member works on at once",
		"confirm":        "replicas that hold a write before it is acknowledged",
		"confirmKeyed":   "the same for a write with a request key; 1 unless set, 0 in a group without replicas",
		"confirmWait":    "longest wait for that, after which the outcome is told as unknown",
		"onLoss":         "what a change of primary does when a confirmed write may be missing: wait for members, or promote and report a possible loss",
		"lossAfter":      "how long `promote` waits first",
		"requestKeys":    "whether statements may carry request keys; they need a table in the database",
		"stateSQL":       "statement that returns: in recovery, visible position, received position, history",
		"promoteSQL":     "statement that promotes a replica; `{term}` stands for the term",
		"followSQL":      "statement that makes a member follow the primary at `{host}` and `{port}`",
		"owner":          aboutOwner,
	},
	"member GROUP/M": {
		"address":    "where the member is reached; no two members have the same",
		"dataCentre": "where the member runs; reads prefer members in the instance's own",
	},
	"readPolicy NAME": {
		"replicas":    "whether reads may go to replicas",
		"maxAge":      "highest age of the data",
		"catchUpWait": "longest wait for a replica that is about to show what the caller has seen",
		"owner":       aboutOwner,
	},
	"class NAME": {
		"priority": "place in the queues: 1 first, 9 last",
		"tables":   "a write to one of these tables is of this class",
		"owner":    aboutOwner,
	},
	"tenant NAME": {
		"weight":         "share against other tenants in the same queue",
		"queue":          "statements of the tenant that may wait for a member at an instance",
		"patience":       "longest wait of a statement",
		"maxConnections": "connections of the tenant to an instance; 0 for no bound",
		"owner":          aboutOwner,
	},
	"route NAME": {
		"group":      "group that the route leads to; the one of the same name unless set",
		"readPolicy": "read policy; without one, reads go to the primary",
		"owner":      aboutOwner,
	},
	"caller NAME": {
		"tenant":         "tenant that the caller belongs to",
		"verifier":       "SCRAM-SHA-256 verifier, as `bluebellroute verifier` makes it",
		"class":          "class of the statements that no table gives another one",
		"maxConnections": "connections of the caller to an instance; 0 for no bound",
		"owner":          aboutOwner,
		"routes":         "routes that the caller may use",
	},
	"operator NAME": {
		"keyHash": "hash of the operator's key, as `bluebellroute operator-key` makes it",
		"teams":   "teams whose objects the operator may change, or `*` for all",
		"owner":   aboutOwner,
	},
}

// referenceOrder lists the kinds in the order of the reference.
var referenceOrder = []string{"", "group NAME", "member GROUP/M", "readPolicy NAME", "class NAME", "tenant NAME", "route NAME", "caller NAME", "operator NAME"}

// WriteReference writes a table of all keys as Markdown.
func WriteReference(w io.Writer) error {
	var keys []bbrini.Key
	p := newParser("")
	p.problems.Keys = &keys
	for _, name := range referenceOrder {
		if name == "" {
			name = ini.DefaultSection
		}
		f := ini.Empty()
		s, err := f.NewSection(name)
		if err != nil {
			return err
		}
		p.section(s)
	}
	for i, k := range keys {
		if k.Default == strconv.Itoa(unset) {
			keys[i].Default = ""
		}
	}
	return bbrini.WriteReference(w, keys, kindIntro, aboutKeys)
}
