package waxbound

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/anishathalye/porcupine"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxconfig"
	"waxwingdrift.org/waxstandin/waxplatform"
)

// Sample is what a router held at a time.
type Sample struct {
	At waxfleet.Millis
	// Process names one process; a restarted instance is another one.
	Process string
	Version uint64
	// Head and Sections are the stored form; nil when only the version was read.
	Head     []byte
	Sections map[string][]byte
}

// Links says when a process reached the platform or a peer that did. A process
// whose links are cut must have a change only after they have healed.
type Links struct {
	Process string
	// Cut and Healed bound a time without links; Healed 0 is never.
	Cut, Healed waxfleet.Millis
}

// accepted is one version in the platform's history.
type accepted struct {
	at    waxfleet.Millis
	value []byte
}

// Accepted returns the versions of the configuration that the platform accepted,
// with their times.
func Accepted(history []waxplatform.Event) map[uint64]waxfleet.Millis {
	times := map[uint64]waxfleet.Millis{}
	for version, a := range heads(history) {
		times[version] = a.at
	}
	return times
}

func heads(history []waxplatform.Event) map[uint64]accepted {
	found := map[uint64]accepted{}
	for _, e := range history {
		if e.Kind == waxfleet.ObjectKindConfig && !e.Deleted {
			found[e.Version] = accepted{at: e.At, value: e.Value}
		}
	}
	return found
}

// CheckVersions demands of the samples, which are in time order per process,
// that no process returns to a lower version and that each version that it holds
// is one that the platform accepted, with exactly that content.
func CheckVersions(samples []Sample, history []waxplatform.Event) []Violation {
	known := heads(history)
	sections := map[string][]byte{}
	for _, e := range history {
		if e.Kind == waxfleet.ObjectKindConfigSection && !e.Deleted {
			sections[e.Name] = e.Value
		}
	}
	var found []Violation
	highest := map[string]uint64{}
	for _, s := range samples {
		v := Violation{At: s.At, Subject: s.Process}
		if s.Version < highest[s.Process] {
			v.Detail = fmt.Sprintf("version %d after version %d", s.Version, highest[s.Process])
			found = append(found, v)
		}
		highest[s.Process] = max(highest[s.Process], s.Version)
		if s.Version == 0 {
			continue
		}
		a, ok := known[s.Version]
		switch {
		case !ok || a.at > s.At:
			v.Detail = fmt.Sprintf("version %d, which was not accepted by then", s.Version)
			found = append(found, v)
		case s.Head != nil:
			if detail := differs(s, a, sections); detail != "" {
				v.Detail = fmt.Sprintf("version %d: %s", s.Version, detail)
				found = append(found, v)
			}
		}
	}
	return found
}

// differs tells how the content of a sample differs from the accepted one.
func differs(s Sample, a accepted, stored map[string][]byte) string {
	if !bytes.Equal(s.Head, a.value) {
		return "another head than the accepted one"
	}
	var head struct {
		Sections map[string]struct {
			Digest string `json:"digest"`
		} `json:"sections"`
	}
	if err := json.Unmarshal(a.value, &head); err != nil {
		return err.Error()
	}
	for name, ref := range head.Sections {
		held, ok := s.Sections[name]
		if !ok {
			held, _ = waxconfig.DefaultSection(name)
		}
		want, ok := stored[name+"-"+ref.Digest]
		if !ok {
			want, _ = waxconfig.DefaultSection(name)
		}
		if !bytes.Equal(held, want) {
			return "another section " + name + " than the accepted one"
		}
	}
	for name := range s.Sections {
		if _, ok := head.Sections[name]; !ok {
			return "section " + name + ", which the head does not name"
		}
	}
	return ""
}

// CheckInForce demands that each accepted version, or a later one, is in force at
// each process within the bound, counted from the acceptance or from the healing
// of the links or the first sample of the process, whichever is last.
func CheckInForce(samples []Sample, history []waxplatform.Event, cuts []Links, bound waxfleet.Millis) []Violation {
	var found []Violation
	forEachDelay(samples, history, cuts, func(process string, version uint64, since, delay waxfleet.Millis, inForce bool) {
		if delay <= bound {
			return
		}
		detail := fmt.Sprintf("version %d in force after %s; allowed: %s", version, span(delay), span(bound))
		if !inForce {
			detail = fmt.Sprintf("version %d not in force after %s; allowed: %s", version, span(delay), span(bound))
		}
		found = append(found, Violation{At: since, Subject: process, Detail: detail})
	})
	return found
}

// LongestDelay returns the longest time until a version was in force.
func LongestDelay(samples []Sample, history []waxplatform.Event, cuts []Links) waxfleet.Millis {
	longest := waxfleet.Millis(0)
	forEachDelay(samples, history, cuts, func(_ string, _ uint64, _, delay waxfleet.Millis, inForce bool) {
		if inForce {
			longest = max(longest, delay)
		}
	})
	return longest
}

func forEachDelay(samples []Sample, history []waxplatform.Event, cuts []Links, visit func(process string, version uint64, since, delay waxfleet.Millis, inForce bool)) {
	byProcess := map[string][]Sample{}
	for _, s := range samples {
		byProcess[s.Process] = append(byProcess[s.Process], s)
	}
	for version, at := range Accepted(history) {
		for process, own := range byProcess {
			since := max(at, own[0].At)
			end := own[len(own)-1].At
			for _, c := range cuts {
				if c.Process != process || (c.Healed != 0 && c.Healed <= since) {
					continue
				}
				if c.Healed == 0 {
					end = min(end, c.Cut)
					continue
				}
				since = max(since, c.Healed)
			}
			taken := waxfleet.Millis(-1)
			for _, s := range own {
				if s.Version >= version {
					taken = s.At
					break
				}
			}
			switch {
			case taken >= 0:
				visit(process, version, since, max(taken-since, 0), true)
			case end > since:
				visit(process, version, since, end-since, false)
			}
		}
	}
}

// EditInput is an operation of an operator: an edit of a section, or a read.
type EditInput struct {
	Section string
	Value   string
	Read    bool
}

// EditOutput is what the operator saw: the result code and the version, and the
// section that the edit started from, or that a read or a conflict showed.
type EditOutput struct {
	Code    waxfleet.Code
	Version uint64
	Base    string
}

// document is the state of the model; unsure is set when an edit of unknown
// outcome raised the version to one above version.
type document struct {
	version uint64
	unsure  bool
	value   string
}

// sectionModel is one section of the document: a register that edits compare and
// set, with a version that rises with each edit of any section.
func sectionModel(section, start string) porcupine.Model {
	return (&porcupine.NondeterministicModel{
		Partition: func(all []porcupine.Operation) [][]porcupine.Operation {
			var own []porcupine.Operation
			for _, op := range all {
				if op.Input.(EditInput).Section == section {
					own = append(own, op)
				}
			}
			return [][]porcupine.Operation{own}
		},
		Init:  func() []any { return []any{document{value: start}} },
		Step:  stepSection,
		Equal: func(a, b any) bool { return a == b },
	}).ToModel()
}

// stepSection allows versions to rise between the operations of a section,
// because edits of other sections raise them too.
func stepSection(state, input, output any) []any {
	d, in, out := state.(document), input.(EditInput), output.(EditOutput)
	same := d.value == out.Base
	newer := out.Version > d.version || (out.Version == d.version && !d.unsure)
	switch {
	case in.Read && same && newer:
		return []any{document{version: out.Version, value: d.value}}
	case in.Read:
	case out.Code == waxfleet.CodeOK && same && out.Version > d.version:
		return []any{document{version: out.Version, value: in.Value}}
	case out.Code == waxfleet.CodeConfigConflict && same && newer:
		return []any{document{version: out.Version, value: d.value}}
	case out.Code == waxfleet.CodePlatformUnknown:
		return []any{d, document{version: d.version, unsure: true, value: in.Value}}
	case out.Code == waxfleet.CodePlatformUnreachable, out.Code == waxfleet.CodePlatformRateLimited, out.Code == waxfleet.CodeConfigUnavailable:
		return []any{d}
	}
	return nil
}

// CheckEdits reports whether the operations on a section, which starts as start,
// are those of one register that edits compare and set.
func CheckEdits(operations []porcupine.Operation, section, start string) bool {
	return porcupine.CheckOperations(sectionModel(section, start), operations)
}
