package waxrollout

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"waxwingdrift.org/waxfleet"
)

const (
	// maxRecordAge is the age of a copy of the record up to which its share is used as it is.
	maxRecordAge waxfleet.Millis = 2_000
	// maxIsolatedAge is the age from which an isolated instance sends nothing to a version that
	// is not proved. Deployments allow 5 s from the 50th bad response to the last request.
	maxIsolatedAge waxfleet.Millis = 3_000
)

// SplitInput is what an instance knows of the rollout of a service.
type SplitInput struct {
	Bounds Bounds
	// Order is the order as last read, or the zero value.
	Order Order
	// Record is the copy of the record, or the zero value. It may belong to an earlier order.
	Record Record
	// Age is the time since the copy was up to date.
	Age waxfleet.Millis
	// Hold is true while the instance sends nothing to the new version, because of bad
	// responses that the controller has not judged (Hold.Active).
	Hold bool
	// Isolated is true while the instance hears neither from the store nor from the instances
	// outside of a part of the fleet that has no path to it, such as its failure domain. It would
	// not hear of a rollback.
	Isolated bool
	// Servers is the number of usable servers of each version.
	Servers map[string]int
}

// Split says at which versions new requests of a service may run. It does not change.
type Split struct {
	active bool
	// to is the new version, and key that of its order. It is empty without an order.
	to    string
	key   string
	share float64
	// enforce is true while the exposure budget applies.
	enforce bool
	// only is the one version that may be used, or empty.
	only string
	// excluded are versions that get nothing.
	excluded []string
}

// NewSplit returns the split that follows from what an instance knows.
func NewSplit(in SplitInput) Split {
	if !in.Bounds.Exist() || !in.Order.Exists() && !in.Record.Exists() {
		return Split{}
	}
	s := Split{active: true}
	if !in.Record.covers(in.Order) {
		s.followEarlier(in.Record, in.Servers)
		if in.Order.Exists() {
			s.to, s.key, s.enforce = in.Order.to, in.Order.Key(), true
			if s.only == s.to {
				s.only = "" // an order to the version that serves already
			}
		}
		s.dropExclusions(in.Servers)
		return s
	}
	s.to, s.key, s.excluded = in.Record.order.to, in.Record.order.Key(), in.Record.excluded
	s.follow(in)
	s.dropExclusions(in.Servers)
	return s
}

// follow sets the share by the record of the present order.
func (s *Split) follow(in SplitInput) {
	r := in.Record
	switch r.phase {
	case PhaseProbing, PhaseRaising:
		s.enforce = true
		s.share = r.share
		if in.Age > maxRecordAge {
			s.share = min(s.share, in.Bounds.ProbingShare())
		}
		if alone(s.to, in.Servers) {
			// A version that is not known to be bad serves callers better than none.
			s.share, s.enforce = 1, false
		}
	case PhaseSettling:
		s.share = 1
		if in.Age <= maxRecordAge {
			s.share = r.share
		}
	case PhaseCompleted:
		s.share = 1
		if in.Servers[s.to] > 0 {
			s.only = s.to
		}
	}
	held := (in.Hold || r.condemned) && r.phase != PhaseCompleted
	cutOff := in.Isolated && s.enforce && in.Age > maxIsolatedAge
	if held || cutOff || in.Servers[s.to] == 0 {
		s.share = 0
	}
}

// alone reports whether no other version has servers.
func alone(version string, servers map[string]int) bool {
	for v, n := range servers {
		if n > 0 && v != version {
			return false
		}
	}
	return true
}

// followEarlier excludes what the record of an earlier or withdrawn order excludes.
func (s *Split) followEarlier(r Record, servers map[string]int) {
	if !r.Exists() {
		return
	}
	s.excluded = r.excluded
	if r.phase == PhaseCompleted {
		if servers[r.order.to] > 0 {
			s.only = r.order.to
		}
		return
	}
	s.excluded = append(slices.Clone(r.excluded), r.order.to)
}

// dropExclusions lifts the exclusions of earlier orders if no other version has servers: a
// version that was once replaced serves callers better than none. The version of the present
// order is not affected.
func (s *Split) dropExclusions(servers map[string]int) {
	for version, n := range servers {
		if n > 0 && version != s.to && !slices.Contains(s.excluded, version) {
			return
		}
	}
	if s.share < 1 {
		s.excluded = nil
	}
}

// Active reports whether the split has any effect. Without effect, versions are chosen as in
// a deployment without rollouts.
func (s Split) Active() bool { return s.active }

// To returns the new version.
func (s Split) To() string { return s.to }

// Share returns the share of new requests that go to the new version.
func (s Split) Share() float64 { return s.share }

// Enforced reports whether the exposure budget applies.
func (s Split) Enforced() bool { return s.enforce }

// ToNew reports whether a new request goes to the new version, by the hash of its attempt ID,
// so that all instances agree. A request that has failed at the new version is not asked about:
// it goes to the old one (Excludes with toNew false).
func (s Split) ToNew(attemptID string) bool {
	return s.active && s.share > 0 && fraction(s.key, attemptID) < s.share
}

// Excludes reports whether a request may not be sent to servers of a version, given the answer
// of ToNew and of Budget.Take. Where the old version is excluded for all, a request with toNew
// false that has failed at the new version may run nowhere else; it may run there again.
//
// A request for which the version of ToNew has no server with room may be sent to the other one
// if Excludes says so for the other value of toNew, and its Budget is settled accordingly.
func (s Split) Excludes(version string, toNew bool) bool {
	switch {
	case !s.active:
		return false
	case s.only != "":
		return version != s.only
	case s.to == "":
		return slices.Contains(s.excluded, version)
	case version == s.to:
		return !toNew
	}
	return toNew || slices.Contains(s.excluded, version)
}

// fraction returns a number from 0 up to 1 that depends on an order and an attempt ID.
func fraction(key, attemptID string) float64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(attemptID)
	return float64(d.Sum64()>>11) / (1 << 53)
}
