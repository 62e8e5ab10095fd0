package bbrstore

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/bluebellroute/bluebellroute/bbrcontrol"
	"github.com/bluebellroute/bluebellroute/bbrjournal"
	"github.com/bluebellroute/bluebellroute/bbrstandinplatform"
	"github.com/bluebellroute/bluebellroute/bbrtype"
)

// journalInput is a call: an append of a nonce at an index, or a read of all.
type journalInput struct {
	read  bool
	index int
	nonce string
}

// journalOutput is its answer.
type journalOutput struct {
	result bbrcontrol.AppendResult
	nonces string
}

// journalModel is a list that grows only at its end. An append without a reply
// may have taken effect or not.
var journalModel = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{""} },
	Step: func(state, input, output any) []any {
		list, in, out := state.(string), input.(journalInput), output.(journalOutput)
		if in.read {
			if list == out.nonces {
				return []any{list}
			}
			return nil
		}
		fits := lengthOf(list) == in.index-1
		grown := list + in.nonce + " "
		switch {
		case out.result == bbrcontrol.AppendStored && fits:
			return []any{grown}
		case out.result == bbrcontrol.AppendIndexTaken && !fits:
			return []any{list}
		case out.result == bbrcontrol.AppendUnknown && fits:
			return []any{list, grown}
		case out.result == bbrcontrol.AppendUnknown:
			return []any{list}
		}
		return nil
	},
}).ToModel()

func lengthOf(list string) int {
	n := 0
	for _, c := range list {
		if c == ' ' {
			n++
		}
	}
	return n
}

// journalWriter appends and reads as one of several instances.
type journalWriter struct {
	id    int
	table *Table
	r     *rand.Rand
	ops   []porcupine.Operation
	began time.Time
}

// call runs an operation and notes it. Unknown appends may take effect until
// the end of the run.
func (w *journalWriter) call(in journalInput, run func() journalOutput) journalOutput {
	op := porcupine.Operation{ClientId: w.id, Input: in, Call: time.Since(w.began).Nanoseconds()}
	out := run()
	op.Output, op.Return = out, time.Since(w.began).Nanoseconds()
	if out.result == bbrcontrol.AppendUnknown {
		op.Return = time.Hour.Nanoseconds()
	}
	w.ops = append(w.ops, op)
	return out
}

func (w *journalWriter) run(ctx context.Context, steps int) {
	for n := range steps {
		out := w.call(journalInput{read: true}, func() journalOutput {
			records, _, err := w.table.Read(ctx, 0, 1000)
			if err != nil {
				return journalOutput{nonces: "failed"}
			}
			out := journalOutput{}
			for _, r := range records {
				out.nonces += r.Nonce + " "
			}
			return out
		})
		if out.nonces == "failed" {
			// A read that failed tells nothing.
			w.ops = w.ops[:len(w.ops)-1]
			continue
		}
		in := journalInput{index: lengthOf(out.nonces) + 1, nonce: fmt.Sprintf("%d-%d", w.id, n)}
		if w.r.IntN(4) == 0 && in.index > 1 {
			in.index-- // an instance that is behind
		}
		w.call(in, func() journalOutput {
			result, _ := w.table.Append(ctx, bbrjournal.Record{Index: bbrtype.Index(in.index), Nonce: in.nonce})
			return journalOutput{result: result}
		})
	}
}

// The journal must be linearizable, also while replies are lost after the write
// took effect and while calls fail.
func TestJournalIsLinearizable(t *testing.T) {
	is := is.New(t)
	platform, err := bbrstandinplatform.Listen("127.0.0.1:0")
	is.NoErr(err)
	defer platform.Close()
	const writers, steps = 4, 25
	var group errgroup.Group
	var mu sync.Mutex
	var history []porcupine.Operation
	began := time.Now()
	for id := range writers {
		group.Go(func() error {
			w := &journalWriter{id: id, began: began, r: rand.New(rand.NewPCG(1, uint64(id))), table: NewTable(Options{
				TableEndpoint: "http://" + platform.Addr(), Table: "t", Region: "r", AccessKey: "a", SecretKey: "s",
			})}
			for range steps {
				w.run(context.Background(), 1)
				mode := []bbrstandinplatform.Mode{bbrstandinplatform.ModeLoseReply, bbrstandinplatform.ModeDown, bbrstandinplatform.ModeNone}[w.r.IntN(3)]
				platform.SetFault(bbrstandinplatform.Fault{Service: bbrstandinplatform.ServiceTable, Mode: mode, Count: 1})
			}
			mu.Lock()
			defer mu.Unlock()
			history = append(history, w.ops...)
			return nil
		})
	}
	is.NoErr(group.Wait())
	results := map[bbrcontrol.AppendResult]int{}
	for _, op := range history {
		results[op.Output.(journalOutput).result]++
	}
	is.True(results[bbrcontrol.AppendStored] > 0)
	is.True(results[bbrcontrol.AppendIndexTaken] > 0)
	is.True(results[bbrcontrol.AppendUnknown] > 0)
	is.True(porcupine.CheckOperations(journalModel, history))

	// The check can fail: a reply that names a record too many is found.
	for i, op := range history {
		if out := op.Output.(journalOutput); op.Input.(journalInput).read && out.nonces != "" {
			out.nonces += "stray "
			history[i].Output = out
			break
		}
	}
	is.True(!porcupine.CheckOperations(journalModel, history))
}
