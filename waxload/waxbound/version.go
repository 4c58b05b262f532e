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

// Sample is the configuration of a router process at one time.
type Sample struct {
	At waxfleet.Millis
	// Process identifies a router process; a restarted instance has a new one.
	Process string
	Version uint64
	// Head and Sections are the stored content; nil if only the version was read.
	Head     []byte
	Sections map[string][]byte
}

// Isolation is a period in which a process reaches neither the platform nor a peer
// that does. CheckApplied gives the process the full bound after the period.
type Isolation struct {
	Process string
	// Start and End bound the period; an End of 0 is no end.
	Start, End waxfleet.Millis
}

// acceptedHead is the head of a configuration version that the platform accepted.
type acceptedHead struct {
	at    waxfleet.Millis
	value []byte
}

// AcceptanceTimes returns the configuration versions that the platform accepted, with
// their times of acceptance.
func AcceptanceTimes(history []waxplatform.Event) map[uint64]waxfleet.Millis {
	times := map[uint64]waxfleet.Millis{}
	for version, head := range acceptedHeads(history) {
		times[version] = head.at
	}
	return times
}

func acceptedHeads(history []waxplatform.Event) map[uint64]acceptedHead {
	byVersion := map[uint64]acceptedHead{}
	for _, e := range history {
		if e.Kind == waxfleet.ObjectKindConfig && !e.Deleted {
			byVersion[e.Version] = acceptedHead{at: e.At, value: e.Value}
		}
	}
	return byVersion
}

// CheckVersions checks that the version of no process decreases, and that the
// platform has accepted each sampled version with exactly that content. The
// samples of each process must be in time order.
func CheckVersions(samples []Sample, history []waxplatform.Event) []Violation {
	heads := acceptedHeads(history)
	sections := map[string][]byte{}
	for _, e := range history {
		if e.Kind == waxfleet.ObjectKindConfigSection && !e.Deleted {
			sections[e.Name] = e.Value
		}
	}
	var violations []Violation
	highest := map[string]uint64{}
	for _, s := range samples {
		v := Violation{At: s.At, Subject: s.Process}
		if s.Version < highest[s.Process] {
			v.Detail = fmt.Sprintf("version %d after version %d", s.Version, highest[s.Process])
			violations = append(violations, v)
		}
		highest[s.Process] = max(highest[s.Process], s.Version)
		if s.Version == 0 {
			continue
		}
		accepted, ok := heads[s.Version]
		switch {
		case !ok || accepted.at > s.At:
			v.Detail = fmt.Sprintf("version %d was not accepted by then", s.Version)
			violations = append(violations, v)
		case s.Head != nil:
			if detail := difference(s, accepted, sections); detail != "" {
				v.Detail = fmt.Sprintf("version %d: %s", s.Version, detail)
				violations = append(violations, v)
			}
		}
	}
	return violations
}

// difference returns the first difference between the content of a sample and the
// accepted version, or "".
func difference(s Sample, accepted acceptedHead, stored map[string][]byte) string {
	if !bytes.Equal(s.Head, accepted.value) {
		return "the head differs from the accepted one"
	}
	var head struct {
		Sections map[string]struct {
			Digest string `json:"digest"`
		} `json:"sections"`
	}
	if err := json.Unmarshal(accepted.value, &head); err != nil {
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
			return "section " + name + " differs from the accepted one"
		}
	}
	for name := range s.Sections {
		if _, ok := head.Sections[name]; !ok {
			return "section " + name + " is not in the head"
		}
	}
	return ""
}

// CheckApplied checks that each process applies each accepted version, or a later
// one, within the bound. Time counts from the latest of the acceptance, the end of
// the isolation and the first sample of the process.
func CheckApplied(samples []Sample, history []waxplatform.Event, isolations []Isolation, bound waxfleet.Millis) []Violation {
	var violations []Violation
	forEachDelay(samples, history, isolations, func(process string, version uint64, since, delay waxfleet.Millis, applied bool) {
		if delay <= bound {
			return
		}
		detail := fmt.Sprintf("version %d applied after %s; allowed: %s", version, formatDuration(delay), formatDuration(bound))
		if !applied {
			detail = fmt.Sprintf("version %d not applied after %s; allowed: %s", version, formatDuration(delay), formatDuration(bound))
		}
		violations = append(violations, Violation{At: since, Subject: process, Detail: detail})
	})
	return violations
}

// LongestApplyDelay returns the longest delay between the acceptance of a version
// and its application, counted as in CheckApplied. Versions that were not applied
// don't count.
func LongestApplyDelay(samples []Sample, history []waxplatform.Event, isolations []Isolation) waxfleet.Millis {
	longest := waxfleet.Millis(0)
	forEachDelay(samples, history, isolations, func(_ string, _ uint64, _, delay waxfleet.Millis, applied bool) {
		if applied {
			longest = max(longest, delay)
		}
	})
	return longest
}

// forEachDelay calls visit for each process and accepted version. delay is the time
// from since until the process applied the version. If applied is false, it is the
// time until the last sample or the start of an isolation without end.
func forEachDelay(
	samples []Sample,
	history []waxplatform.Event,
	isolations []Isolation,
	visit func(process string, version uint64, since, delay waxfleet.Millis, applied bool),
) {
	byProcess := map[string][]Sample{}
	for _, s := range samples {
		byProcess[s.Process] = append(byProcess[s.Process], s)
	}
	for version, at := range AcceptanceTimes(history) {
		for process, own := range byProcess {
			since := max(at, own[0].At)
			end := own[len(own)-1].At
			for _, isolation := range isolations {
				if isolation.Process != process || (isolation.End != 0 && isolation.End <= since) {
					continue
				}
				if isolation.End == 0 {
					end = min(end, isolation.Start)
					continue
				}
				since = max(since, isolation.End)
			}
			appliedAt := waxfleet.Millis(-1)
			for _, s := range own {
				if s.Version >= version {
					appliedAt = s.At
					break
				}
			}
			switch {
			case appliedAt >= 0:
				visit(process, version, since, max(appliedAt-since, 0), true)
			case end > since:
				visit(process, version, since, end-since, false)
			}
		}
	}
}

// EditInput is an operation of an operator: an edit or a read of a section.
type EditInput struct {
	Section string
	Value   string
	Read    bool
}

// EditOutput is the result of an operation: the code, the version, and the content
// that the edit was based on or that a read or conflict returned.
type EditOutput struct {
	Code    waxfleet.Code
	Version uint64
	Base    string
}

// sectionState is the state of the model. indeterminate is set after an edit with
// unknown outcome, which raised the version to an unknown value above version.
type sectionState struct {
	version       uint64
	indeterminate bool
	value         string
}

// sectionModel models one section of the configuration as a compare-and-swap
// register, with a version that increases with each edit of any section.
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
		Init:  func() []any { return []any{sectionState{value: start}} },
		Step:  stepSection,
		Equal: func(a, b any) bool { return a == b },
	}).ToModel()
}

// stepSection allows versions to increase between the operations of a section,
// because edits of other sections increase them too.
func stepSection(state, input, output any) []any {
	s, in, out := state.(sectionState), input.(EditInput), output.(EditOutput)
	unchanged := s.value == out.Base
	newer := out.Version > s.version || (out.Version == s.version && !s.indeterminate)
	switch {
	case in.Read && unchanged && newer:
		return []any{sectionState{version: out.Version, value: s.value}}
	case in.Read:
	case out.Code == waxfleet.CodeOK && unchanged && out.Version > s.version:
		return []any{sectionState{version: out.Version, value: in.Value}}
	case out.Code == waxfleet.CodeConfigConflict && unchanged && newer:
		return []any{sectionState{version: out.Version, value: s.value}}
	case out.Code == waxfleet.CodePlatformUnknown:
		return []any{s, sectionState{version: s.version, indeterminate: true, value: in.Value}}
	case out.Code == waxfleet.CodePlatformUnreachable, out.Code == waxfleet.CodePlatformRateLimited, out.Code == waxfleet.CodeConfigUnavailable:
		return []any{s}
	}
	return nil
}

// EditsLinearizable reports whether the operations on a section with the initial
// content start are linearizable as compare-and-swap operations on one register.
func EditsLinearizable(operations []porcupine.Operation, section, start string) bool {
	return porcupine.CheckOperations(sectionModel(section, start), operations)
}
