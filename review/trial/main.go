// Command trial plays the cases of the review that are scripts: it starts instances before
// stand-ins for the platform, the members and the consumers, and judges what these have
// seen. It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case
// could not run.
package main

import (
	"fmt"
	"os"
)

// cases are the cases by name. Each returns what broke the rule.
var cases = map[string]func(t *trial, trouble bool) []string{
	"stale":   staleCase,
	"stop":    stopCase,
	"promote": promoteCase,
	"turns":   turnsCase,
}

func main() { os.Exit(play()) }

func play() (code int) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: trial CASE RECORD, in the repository's root")
		return 2
	}
	t, err := newTrial(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, "trial:", err)
		return 2
	}
	defer t.end()
	defer func() {
		if r := recover(); r != nil {
			c, ok := r.(cannotRun)
			if !ok {
				panic(r)
			}
			t.note("the case could not run: %v", c.err)
			fmt.Fprintln(os.Stderr, "trial:", c.err)
			code = 2
		}
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	t.note("case %s, disruption: %v", os.Args[1], trouble)
	broken := cases[os.Args[1]](t, trouble)
	t.writeAnswers()
	t.note("answers: %v", t.outcomes())
	fmt.Println("answers:", t.outcomes())
	for i, b := range broken {
		t.note("BROKEN %s", b)
		if i < 5 {
			fmt.Println("broken:", b)
		}
	}
	fmt.Printf("the rule was broken %d times\n", len(broken))
	t.note("the rule was broken %d times", len(broken))
	if len(broken) > 0 {
		return 1
	}
	if t.outcomes()["COMPLETE"] == 0 {
		t.note("no request was served")
		return 2
	}
	return 0
}
