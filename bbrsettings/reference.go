package bbrsettings

import (
	"io"

	"gopkg.in/ini.v1"

	"github.com/bluebellroute/bluebellroute/bbrini"
)

// sectionIntro opens each section of the reference.
var sectionIntro = map[string]string{
	"instance": "The process and its addresses.",
	"store":    "The platform's services.",
	"tls":      "Files with certificates. They are read again when they change.",
	"limits":   "Bounds of one instance.",
	"timing":   "Durations of control. All instances of a fleet must have the same.",
	"log":      "Logs go to the standard error.",
}

// aboutKeys describes each key.
var aboutKeys = bbrini.About{
	"instance": {
		"name":       "name of the instance, which no other one has",
		"dataCentre": "data centre that the instance runs in",
		"callers":    "where callers connect",
		"control":    "where instances, operators and monitoring connect",
		"advertised": "control address that other instances are told; `control` unless set",
		"seeds":      "control addresses of other instances, beside the platform's list",
		"profiling":  "serve profiles of the process under `/debug/pprof/` of the control port",
	},
	"store": {
		"tableEndpoint":  "URL of the table service",
		"table":          "name of the table; each cell of a large fleet has its own",
		"region":         "region that requests are signed for",
		"objectEndpoint": "host and port of the object store",
		"bucket":         "name of the bucket",
		"objectTLS":      "reach the object store by TLS",
		"listURL":        "URL of the platform's list of instances",
	},
	"tls": {
		"callerCert":     "certificate shown to callers",
		"callerKey":      "its key",
		"requireCallers": "turn callers without TLS away",
		"peerCert":       "certificate shown to instances and operators",
		"peerKey":        "its key",
		"peerCA":         "authority that checks other instances and operators",
		"memberCA":       "authority that checks members, for groups with `tls = true`",
	},
	"limits": {
		"maxMessage":      "longest message of a caller, in bytes",
		"maxCallers":      "callers connected at once",
		"authTimeout":     "time to authenticate",
		"answerPatience":  "time without an answer after which a connection is looked into",
		"resolvePatience": "time to find out what became of a request with a key",
		"baseline":        "simpler policies, for measurements only: `primary` sends all reads to the primary, `random` ignores what callers have seen",
		"drain":           "longest time of a planned stop; open transactions get half of it",
		"fixedQuota":      "divide connections equally, for measurements only",
	},
	"timing": {
		"authority":        "how long a proof of authority lasts; a steward waits as long for an instance that does not answer",
		"authorityMargin":  "taken off `authority` by its holder, for the drift of clocks",
		"holdover":         "how long a steward promises without the store",
		"headInterval":     "pause between two reads of the journal",
		"exchangeInterval": "pause between two messages to a peer while something goes on",
		"calmInterval":     "the same while nothing does; shortened to an eighth of the lowest `maxAge`",
		"probeInterval":    "pause between two probes of a primary; replicas are probed half as often",
		"probeTimeout":     "time for a probe",
		"refusedAfter":     "a member that refuses connections this long is failing",
		"silentAfter":      "a member that is silent this long is failing",
		"removeAfter":      "an instance that is silent this long is removed",
		"stewards":         "number of stewards",
		"waitOut":          "let each fence run its full time, for measurements only",
	},
	"log": {
		"level":  "`debug`, `info`, `warning` or `error`",
		"format": "form of the lines",
	},
}

// WriteReference writes a table of all keys as Markdown.
func WriteReference(w io.Writer) error {
	var keys []bbrini.Key
	p := &parser{s: &Settings{}, problems: bbrini.Problems{Keys: &keys}}
	for _, name := range sectionNames {
		if name == "secrets" {
			continue
		}
		s, err := ini.Empty().NewSection(name)
		if err != nil {
			return err
		}
		p.read(name, bbrini.NewReader("", s, &p.problems))
	}
	return bbrini.WriteReference(w, keys, sectionIntro, aboutKeys)
}
