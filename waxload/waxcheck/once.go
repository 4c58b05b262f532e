package waxcheck

import (
	"fmt"

	"github.com/anishathalye/porcupine"
)

// onceInput is an operation on the work of one key: a run at a server, or a call.
type onceInput struct {
	work string
	run  bool
}

// onceOutput is the id of the run, or of the run whose result a call got. It is
// empty for a call without a result.
type onceOutput struct{ id string }

// stepOnce is the state of one key: the id of its run. A second run is illegal,
// and so is a result before the run or of another one. Refusals and unknown
// outcomes say nothing about the state; CheckNotRun compares them.
func stepOnce(state any, in any, out any) (bool, any) {
	ran, id := state.(string), out.(onceOutput).id
	switch {
	case in.(onceInput).run:
		return ran == "", id
	case id == "":
		return true, ran
	default:
		return ran == id, ran
	}
}

func onceModel() porcupine.Model {
	return porcupine.Model{
		Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
			byWork := map[string][]porcupine.Operation{}
			for _, o := range history {
				work := o.Input.(onceInput).work
				byWork[work] = append(byWork[work], o)
			}
			parts := make([][]porcupine.Operation, 0, len(byWork))
			for _, part := range byWork {
				parts = append(parts, part)
			}
			return parts
		},
		Init: func() any { return "" },
		Step: stepOnce,
	}
}

// CheckOnce returns what is wrong with calls that may run at most once. Each key
// has one body, so that its runs are found by the body digest: the router does
// not pass the key on.
func CheckOnce(calls []*Call, runs []Run) []string {
	var wrong []string
	var history []porcupine.Operation
	works := map[string]int{}
	for i, c := range calls {
		works[c.Work] = 0
		if c.Wrong != "" || c.Hung {
			wrong = append(wrong, fmt.Sprintf("%s: hung=%t %s", describe(c), c.Hung, c.Wrong))
		}
		if c.Whole() && c.Text != c.Work {
			wrong = append(wrong, describe(c)+": the result is that of another body")
		}
		// The clock has whole milliseconds, so an operation covers its last one.
		history = append(history, porcupine.Operation{
			ClientId: i, Input: onceInput{work: c.Work}, Output: onceOutput{id: c.Run},
			Call: 2 * int64(c.Start), Return: 2*int64(c.End) + 1,
		})
	}
	for i, r := range runs {
		if _, ok := works[r.Work]; !ok {
			continue
		}
		works[r.Work]++
		history = append(history, porcupine.Operation{
			ClientId: len(calls) + i, Input: onceInput{work: r.Work, run: true}, Output: onceOutput{id: r.ID},
			Call: 2 * int64(r.At), Return: 2*int64(r.At) + 1,
		})
	}
	for work, n := range works {
		if n > 1 {
			wrong = append(wrong, fmt.Sprintf("%s ran %d times", work, n))
		}
	}
	if !porcupine.CheckOperations(onceModel(), history) {
		wrong = append(wrong, "the history of runs and results has no legal order")
	}
	return append(wrong, CheckNotRun(calls, runs)...)
}
