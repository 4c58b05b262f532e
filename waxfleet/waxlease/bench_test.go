package waxlease

import (
	"fmt"
	"testing"

	"waxwingdrift.org/waxfleet"
)

// calmFacts are those of a domain where all members are heard.
type calmFacts struct{ now waxfleet.Millis }

func (f calmFacts) Departed(Member) bool                { return false }
func (f calmFacts) Confirmed(Member, uint64) bool       { return true }
func (f calmFacts) Stopped(Member) bool                 { return false }
func (f calmFacts) Lapsed(Member) bool                  { return false }
func (f calmFacts) Heard(Member) waxfleet.Millis        { return f.now }
func (f calmFacts) Acknowledged(Member) waxfleet.Millis { return f.now }

// BenchmarkAllowance is one decision on the share of a backend server; the
// history has one earlier epoch.
func BenchmarkAllowance(b *testing.B) {
	for _, n := range []int{2, 10, 51} {
		var members []Member
		for i := range n {
			members = append(members, NewMember(fmt.Sprintf("caerdydd-router-%02d", i), "01JXW5T6V8N3Q4R5S6T7V8W9XA"))
		}
		a := NewAssignment(7, members, [][]Member{members}, members[0].String())
		var lines []Line
		for i := range 200 {
			lines = append(lines, LineOf(fmt.Sprintf("geiriau-engine-%04d", i), a, calmFacts{}.Departed))
		}
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				Allowance(members[0], lines[i%len(lines)], a.Epoch(), 100, 10_000, 0, calmFacts{now: 100})
			}
		})
	}
}
