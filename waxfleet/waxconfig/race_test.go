package waxconfig

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxobject/waxmemory"
)

type editInput struct {
	section string
	value   string
	read    bool
}

// editOutput is the result that a client observed. For an edit, base is the section
// that the edit was based on; for a read or a conflict, it is the current section.
type editOutput struct {
	code    waxfleet.Code
	version uint64
	base    string
}

// modelState is the state of the document in the model. versionUnknown is set after
// an edit of unknown outcome took effect: the version is then only known to be above
// version.
type modelState struct {
	version        uint64
	versionUnknown bool
	sections       [2]string
}

// mayHaveVersion reports whether the document can have the version.
func (s modelState) mayHaveVersion(version uint64) bool {
	if s.versionUnknown {
		return version > s.version
	}
	return version == s.version
}

var raceSections = []string{SectionLimits, SectionFailureDomains}

func sectionIndex(name string) int {
	if name == raceSections[0] {
		return 0
	}
	return 1
}

// configModel is a document with a single version, in which each edit is a
// compare-and-swap of its section.
var configModel = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{modelState{sections: [2]string{initialValue(0), initialValue(1)}}} },
	Step: func(state, input, output any) []any {
		s, in, out := state.(modelState), input.(editInput), output.(editOutput)
		i := sectionIndex(in.section)
		same := s.sections[i] == out.base
		next := modelState{version: out.version, sections: s.sections}
		next.sections[i] = in.value
		switch {
		case in.read && same && s.mayHaveVersion(out.version):
			return []any{modelState{version: out.version, sections: s.sections}}
		case in.read:
		case out.code == waxfleet.CodeOK && same && out.version > s.version:
			return []any{next}
		case out.code == waxfleet.CodeConfigConflict && same && out.version >= s.version:
			return []any{s}
		case out.code == waxfleet.CodePlatformUnknown:
			next.version, next.versionUnknown = s.version, true
			return []any{s, next}
		case out.code == waxfleet.CodePlatformUnreachable, out.code == waxfleet.CodeConfigUnavailable:
			return []any{s}
		}
		return nil
	},
	Equal: func(a, b any) bool { return a == b },
}).ToModel()

func initialValue(i int) string { return string(defaultSections[raceSections[i]]) }

func raceValue(section string, client, round int) string {
	if section == SectionLimits {
		return fmt.Sprintf(`{"queue-length":%d}`, 1000*client+round+1)
	}
	return fmt.Sprintf(`{"d%d-%d":{"state":"out"}}`, client, round)
}

// history records the operations of clients for porcupine.
type history struct {
	mu  sync.Mutex
	ops []porcupine.Operation
	// unknownCount is the number of operations of unknown outcome.
	unknownCount int
}

// firstUnknownClient is the first client id for operations of unknown outcome. Each
// of them is recorded as a client of its own, because the client continues before
// such an operation has ended.
const firstUnknownClient = 100

func (h *history) add(client int, call time.Time, in editInput, out editOutput) {
	h.mu.Lock()
	defer h.mu.Unlock()
	returned := time.Now().UnixNano()
	if out.code == waxfleet.CodePlatformUnknown {
		// The write may take effect at any time after the client has given up.
		h.unknownCount++
		returned, client = math.MaxInt64, firstUnknownClient+h.unknownCount
	}
	h.ops = append(h.ops, porcupine.Operation{
		ClientId: client,
		Input:    in,
		Call:     call.UnixNano(),
		Output:   out,
		Return:   returned,
	})
}

func (h *history) recordEdit(e *Editor, client int, section, value string, ready func()) waxfleet.Code {
	return h.recordEditOutput(e, client, section, value, ready).code
}

func (h *history) recordEditOutput(e *Editor, client int, section, value string, ready func()) editOutput {
	call := time.Now()
	out := editOutput{}
	version, err := e.Edit(context.Background(), section, func(current []byte) ([]byte, error) {
		out.base = string(current)
		ready()
		return []byte(value), nil
	})
	out.code, out.version = waxfleet.CodeOf(err), version
	var c *ConflictError
	if errors.As(err, &c) {
		out.base, out.version = string(c.Current()), c.CurrentVersion()
	}
	h.add(client, call, editInput{section: section, value: value}, out)
	return out
}

func (h *history) recordRead(t *testing.T, e *Editor, client int, section string) {
	call := time.Now()
	snap, err := e.Read(context.Background())
	if err != nil {
		t.Errorf("read: %v", err)
		return
	}
	raw, _ := snap.Section(section)
	h.add(client, call, editInput{section: section, read: true}, editOutput{version: snap.Version(), base: string(raw)})
}

// TestSectionsRace checks that no edit is lost when another section is edited
// concurrently.
func TestSectionsRace(t *testing.T) {
	is := is.New(t)
	store := waxmemory.NewStore(waxfleet.NewClock())
	h := &history{}
	var wg sync.WaitGroup
	for client, section := range raceSections {
		wg.Go(func() {
			e := newTestEditor(t, store)
			for round := range 25 {
				if code := h.recordEdit(e, client, section, raceValue(section, client, round), func() {}); code != waxfleet.CodeOK {
					t.Errorf("round %d of section %s: %s", round, section, code.Name())
				}
				h.recordRead(t, e, client, raceSections[1-client])
			}
		})
	}
	wg.Wait()
	is.True(porcupine.CheckOperations(configModel, h.ops)) // no edit is lost
}

// TestSameSectionRace checks that exactly one of two concurrent edits of a section
// succeeds. Both editors have read the section before either writes.
func TestSameSectionRace(t *testing.T) {
	is := is.New(t)
	store := waxmemory.NewStore(waxfleet.NewClock())
	h := &history{}
	for round := range 15 {
		codes := make([]waxfleet.Code, 2)
		var started, wg sync.WaitGroup
		started.Add(2)
		for client := range 2 {
			wg.Go(func() {
				value := raceValue(SectionLimits, client, round)
				codes[client] = h.recordEdit(newTestEditor(t, store), client, SectionLimits, value,
					func() { started.Done(); started.Wait() })
			})
		}
		wg.Wait()
		is.Equal(codes[0]+codes[1], waxfleet.CodeConfigConflict) // one success, one conflict
	}
	is.True(porcupine.CheckOperations(configModel, h.ops))
}

// TestLostResponsesRace checks that an edit whose response is lost or late is not
// applied twice, and that an editor does not conflict with its own edit. Each section
// has a single editor, so that every conflict is an error unless an earlier edit of
// unknown outcome took effect.
func TestLostResponsesRace(t *testing.T) {
	faults := []waxmemory.Fault{
		waxmemory.FaultNone, waxmemory.FaultNone, waxmemory.FaultResponseLost, waxmemory.FaultRequestLost,
		waxmemory.FaultDelayedWrite, waxmemory.FaultConflict, waxmemory.FaultOutage,
	}
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			is := is.New(t)
			store := waxmemory.NewStore(waxfleet.NewClock())
			rng := rand.New(rand.NewPCG(seed, 1))
			store.SetFault(func(c waxmemory.Call) waxmemory.Fault {
				if c.Verb != waxmemory.VerbPut {
					return waxmemory.FaultNone
				}
				return faults[rng.IntN(len(faults))]
			})
			h := &history{}
			var wg sync.WaitGroup
			for client, section := range raceSections {
				wg.Go(func() {
					e := newTestEditor(t, store)
					unknown := map[string]bool{}
					for round := range 12 {
						value := raceValue(section, client, round)
						out := h.recordEditOutput(e, client, section, value, func() {})
						// The only legitimate cause of a conflict is an earlier edit
						// of unknown outcome that takes effect now.
						if out.code == waxfleet.CodeConfigConflict && !unknown[out.base] {
							t.Errorf("round %d of section %s: conflict without a concurrent edit", round, section)
						}
						if out.code == waxfleet.CodePlatformUnknown {
							canonical, err := Canonical([]byte(value))
							if err != nil {
								t.Error(err)
							}
							unknown[string(canonical)] = true
						}
						h.recordRead(t, e, client, raceSections[1-client])
					}
				})
			}
			wg.Wait()
			ok := porcupine.CheckOperations(configModel, h.ops)
			if !ok {
				for _, op := range h.ops {
					t.Logf("%d %d-%d %+v -> %+v", op.ClientId, op.Call, op.Return, op.Input, op.Output)
				}
			}
			is.True(ok)
		})
	}
}

// TestModelRejects checks that the model rejects a lost edit, two successful edits
// with the same base, a version that decreases, and a conflict without cause.
func TestModelRejects(t *testing.T) {
	limits, domains := raceSections[0], raceSections[1]
	edit := func(section, base, value string, version uint64) porcupine.Operation {
		return porcupine.Operation{Input: editInput{section: section, value: value}, Output: editOutput{version: version, base: base}}
	}
	read := func(section, value string, version uint64) porcupine.Operation {
		return porcupine.Operation{Input: editInput{section: section, read: true}, Output: editOutput{version: version, base: value}}
	}
	for name, ops := range map[string][]porcupine.Operation{
		"lost edit":     {edit(limits, initialValue(0), "a", 1), edit(domains, initialValue(1), "b", 2), read(limits, initialValue(0), 2)},
		"two winners":   {edit(limits, initialValue(0), "a", 1), edit(limits, initialValue(0), "b", 2)},
		"version falls": {edit(limits, initialValue(0), "a", 2), edit(domains, initialValue(1), "b", 1)},
		"false refusal": {{Input: editInput{section: limits, value: "a"}, Output: editOutput{code: waxfleet.CodeConfigConflict, base: "x"}}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for i := range ops {
				ops[i].Call, ops[i].Return = int64(2*i), int64(2*i+1)
			}
			is.True(!porcupine.CheckOperations(configModel, ops))
		})
	}
}
