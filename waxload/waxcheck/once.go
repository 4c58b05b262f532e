package waxcheck

import (
	"fmt"

	"github.com/anishathalye/porcupine"
)

// onceInput is an operation on one key: an execution on a server, or a call.
type onceInput struct {
	digest    string
	execution bool
}

// onceOutput is the output of an operation. id is the ID of the execution or, for a
// call, of the execution whose result it received. It is empty for a call without a
// result.
type onceOutput struct{ id string }

// stepOnce is the transition function of one key. The state is the ID of its
// execution; empty before that. A second execution is illegal, and so is a result
// before the execution or of another execution. Rejections and unknown outcomes do not constrain the state;
// CheckNotRun checks them.
func stepOnce(state any, in any, out any) (bool, any) {
	ran, id := state.(string), out.(onceOutput).id
	switch {
	case in.(onceInput).execution:
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
			byDigest := map[string][]porcupine.Operation{}
			for _, o := range history {
				digest := o.Input.(onceInput).digest
				byDigest[digest] = append(byDigest[digest], o)
			}
			parts := make([][]porcupine.Operation, 0, len(byDigest))
			for _, part := range byDigest {
				parts = append(parts, part)
			}
			return parts
		},
		Init: func() any { return "" },
		Step: stepOnce,
	}
}

// CheckOnce returns the violations of at-most-once execution. Each key must have a
// body of its own: the router does not forward the key, so executions are matched
// by the digest of the body.
func CheckOnce(calls []*Call, executions []Execution) []string {
	var violations []string
	var history []porcupine.Operation
	counts := map[string]int{}
	for i, c := range calls {
		counts[c.Digest] = 0
		if c.ProtocolError != "" || c.TimedOut {
			violations = append(violations, fmt.Sprintf("%s: timed-out=%t %s", describeCall(c), c.TimedOut, c.ProtocolError))
		}
		if c.Complete() && c.Text != c.Digest {
			violations = append(violations, describeCall(c)+": the result belongs to another body")
		}
		// Times have a resolution of 1 ms, so an operation covers all of its last
		// millisecond.
		history = append(history, porcupine.Operation{
			ClientId: i,
			Input:    onceInput{digest: c.Digest},
			Output:   onceOutput{id: c.RequestID},
			Call:     2 * int64(c.Start),
			Return:   2*int64(c.End) + 1,
		})
	}
	for i, e := range executions {
		if _, ok := counts[e.Digest]; !ok {
			continue
		}
		counts[e.Digest]++
		history = append(history, porcupine.Operation{
			ClientId: len(calls) + i,
			Input:    onceInput{digest: e.Digest, execution: true},
			Output:   onceOutput{id: e.ID},
			Call:     2 * int64(e.At),
			Return:   2*int64(e.At) + 1,
		})
	}
	for digest, n := range counts {
		if n > 1 {
			violations = append(violations, fmt.Sprintf("%s ran %d times", digest, n))
		}
	}
	if !porcupine.CheckOperations(onceModel(), history) {
		violations = append(violations, "the history of executions and results is not linearizable")
	}
	return append(violations, CheckNotRun(calls, executions)...)
}
