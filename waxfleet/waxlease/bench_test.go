package waxlease

import (
	"fmt"
	"testing"

	"waxwingdrift.org/waxfleet"
)

// healthyView is the view in a failure domain whose members are all reachable.
type healthyView struct{ now waxfleet.Millis }

func (v healthyView) Departed(Member) bool                    { return false }
func (v healthyView) AdoptedEpoch(Member, uint64) bool        { return true }
func (v healthyView) Terminated(Member) bool                  { return false }
func (v healthyView) LeaseExpired(Member) bool                { return false }
func (v healthyView) LastHeard(Member) waxfleet.Millis        { return v.now }
func (v healthyView) LastAcknowledged(Member) waxfleet.Millis { return v.now }

// BenchmarkAllowance measures one share decision for a backend server, with one
// earlier epoch in the history.
func BenchmarkAllowance(b *testing.B) {
	for _, n := range []int{2, 10, 51} {
		var members []Member
		for i := range n {
			members = append(members, NewMember(fmt.Sprintf("caerdydd-router-%02d", i), "01JXW5T6V8N3Q4R5S6T7V8W9XA"))
		}
		a := NewAssignment(7, members, [][]Member{members}, members[0].String())
		var lists []PreferenceList
		for i := range 200 {
			lists = append(lists, PreferenceListOf(fmt.Sprintf("geiriau-engine-%04d", i), a, healthyView{}.Departed))
		}
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				Allowance(members[0], lists[i%len(lists)], a.Epoch(), 100, 10_000, 0, healthyView{now: 100})
			}
		})
	}
}
