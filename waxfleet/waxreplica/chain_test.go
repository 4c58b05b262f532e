package waxreplica

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxplace"
)

// chainStep is the step of the simulated time.
const chainStep waxfleet.Millis = 10

// chainInstance is a simulated instance with its copy of one feed.
type chainInstance struct {
	name     string
	selector *Selector
	watchdog *Watchdog
	// revision and seenAt are those of the copy.
	revision int
	seenAt   waxfleet.Millis
	// source is the instance that is followed, and callEnds when the current call ends if
	// nothing changes, or times out.
	source    string
	calling   bool
	callEnds  waxfleet.Millis
	answered  bool
	storeLost bool
	query     bool
	// told is what the instance has told in its last datagram.
	told   chainReport
	tellAt waxfleet.Millis
	// cut is set if nobody reaches the instance, and turnedAway if the store does not respond
	// to it.
	cut, turnedAway bool
	// knewAt is when the copy got the last change.
	knewAt waxfleet.Millis
}

// chainReport is the content of a simulated datagram.
type chainReport struct {
	at, age      waxfleet.Millis
	revision     int
	reachesStore bool
}

// chain simulates the instances of a group, their calls and their datagrams. Calls that are
// answered take no time; others take their timeout.
type chain struct {
	clock      *waxfleet.Clock
	wait, gap  waxfleet.Millis
	wholeFleet bool
	// withoutWatchdog leaves the queries of several sources out.
	withoutWatchdog bool
	instances       []*chainInstance
	revision        int
	changedAt       waxfleet.Millis
}

func newChain(n int, wait, gap waxfleet.Millis, wholeFleet bool) *chain {
	c := &chain{clock: waxfleet.NewManualClock(100_000), wait: wait, gap: gap, wholeFleet: wholeFleet, revision: 1}
	for i := range n {
		name := fmt.Sprintf("r%d", i+1)
		c.instances = append(c.instances, &chainInstance{
			name: name, selector: NewSelector(c.clock, name), watchdog: NewWatchdog(func() waxfleet.Millis { return wait }), revision: 1,
			seenAt: c.clock.Now(), tellAt: c.clock.Now() + waxfleet.Millis(i)*gap/waxfleet.Millis(n),
		})
	}
	slices.SortFunc(c.instances, func(a, b *chainInstance) int { return waxplace.CompareByHash(a.name, b.name) })
	return c
}

// instance returns the instance with a rank in the order in which instances watch the store.
func (c *chain) instance(name string) *chainInstance {
	for _, inst := range c.instances {
		if inst.name == name {
			return inst
		}
	}
	return nil
}

// heard reports whether an instance has heard from another one within a timeout.
func (c *chain) heard(inst, other *chainInstance, timeout waxfleet.Millis) bool {
	return inst != other && !inst.cut && other.told.at > 0 && c.clock.Now()-other.told.at < timeout
}

// names returns the other instances for which match returns true.
func (c *chain) names(inst *chainInstance, match func(*chainInstance) bool) []string {
	var out []string
	for _, other := range c.instances {
		if other != inst && match(other) {
			out = append(out, other.name)
		}
	}
	return out
}

func (c *chain) followTimeout() waxfleet.Millis { return min(2_500, 2*c.gap) }

// age returns the age that another instance has told, up to now.
func (c *chain) age(other *chainInstance) waxfleet.Millis {
	return c.clock.Now() - other.told.at + other.told.age
}

// learn applies a copy of the feed.
func (c *chain) learn(inst *chainInstance, revision int, seenAt waxfleet.Millis) {
	if revision > inst.revision {
		inst.revision, inst.knewAt = revision, c.clock.Now()
	}
	if revision == inst.revision {
		inst.seenAt = max(inst.seenAt, seenAt)
	}
}

// startCall starts the next call of an instance.
func (c *chain) startCall(inst *chainInstance) {
	now := c.clock.Now()
	if inst.query {
		inst.query = false
		c.ask(inst)
		return
	}
	reachesStore := c.names(inst, func(o *chainInstance) bool { return c.heard(inst, o, c.followTimeout()) && o.told.reachesStore })
	recent := slices.DeleteFunc(slices.Clone(reachesStore), func(name string) bool {
		return !c.withoutWatchdog && c.age(c.instance(name)) > inst.watchdog.MaxAge(c.gap)
	})
	if len(recent) == 0 {
		recent = reachesStore
	}
	inst.source = inst.selector.Source(recent, c.wholeFleet)
	inst.calling = true
	source := c.instance(inst.source)
	switch {
	case source == nil && !inst.turnedAway && !inst.cut:
		inst.answered, inst.callEnds, inst.storeLost = true, now+c.wait, false
	case source == nil:
		inst.answered, inst.callEnds = false, now+c.wait+700
	case source.cut || inst.cut:
		inst.answered, inst.callEnds = false, now+c.wait+500
	case source.storeLost || !source.selector.Serves():
		inst.calling = false
		inst.selector.PeerFailed(source.name)
	default:
		inst.answered, inst.callEnds = true, now+c.wait
	}
}

// ask asks several sources at once.
func (c *chain) ask(inst *chainInstance) {
	others := c.names(inst, func(o *chainInstance) bool { return c.heard(inst, o, 2_500) })
	slices.SortStableFunc(others, func(a, b string) int { return cmp.Compare(c.age(c.instance(a)), c.age(c.instance(b))) })
	peers, store, _ := inst.selector.Candidates(others)
	inst.watchdog.Asked(store)
	own := c.clock.Now() - inst.seenAt
	if store && !inst.turnedAway && !inst.cut {
		inst.selector.QueryEnded(QueryResult{Found: true})
		inst.storeLost = false
		c.learn(inst, c.revision, c.clock.Now())
		c.tell(inst) // at once
		return
	}
	best := (*chainInstance)(nil)
	for _, name := range peers {
		if o := c.instance(name); !o.cut && !inst.cut && (best == nil || o.seenAt > best.seenAt) {
			best = o
		}
	}
	if best == nil || c.clock.Now()-best.seenAt >= min(own, inst.watchdog.MaxAge(c.gap)) {
		inst.selector.QueryEnded(QueryResult{Old: peers, StoreFailed: store})
		return
	}
	c.learn(inst, best.revision, best.seenAt)
	inst.storeLost = false
	inst.selector.QueryEnded(QueryResult{Found: true, Winner: best.name, Recent: c.clock.Now()-best.seenAt <= goodAge, StoreFailed: store, Old: slices.DeleteFunc(peers, func(name string) bool {
		o := c.instance(name)
		return !o.cut && best.seenAt-o.seenAt <= goodAge
	})})
}

// step lets an instance act.
func (c *chain) step(inst *chainInstance) {
	now := c.clock.Now()
	if inst.calling {
		c.endCall(inst)
	}
	if now >= inst.tellAt {
		c.tell(inst)
	}
	if now%100 == 0 {
		c.monitor(inst)
	}
	if !inst.calling {
		c.startCall(inst)
	}
}

// endCall ends the current call of an instance, if it is answered or times out now.
func (c *chain) endCall(inst *chainInstance) {
	now := c.clock.Now()
	source := c.instance(inst.source)
	revision, seenAt, sound := c.revision, now, !inst.turnedAway && !inst.cut
	timeout := waxfleet.Millis(700)
	if source != nil {
		revision, seenAt, sound, timeout = source.revision, source.seenAt, !source.cut && !inst.cut, 500
	}
	switch {
	case inst.answered && !sound:
		// The call was under way when the source fell silent.
		inst.answered, inst.callEnds = false, inst.callEnds+timeout
	case inst.answered && (revision > inst.revision || now >= inst.callEnds):
		c.learn(inst, revision, seenAt)
		inst.calling = false
	case inst.answered || now < inst.callEnds:
	case source == nil:
		inst.calling, inst.storeLost = false, true
		inst.selector.StoreFailed()
	default:
		inst.calling = false
		inst.selector.PeerFailed(source.name)
	}
}

// monitor does what an instance does each 100 ms.
func (c *chain) monitor(inst *chainInstance) {
	source := c.instance(inst.source)
	silent := source != nil && !c.heard(inst, source, c.followTimeout())
	if silent {
		inst.calling = false
	}
	v := View{Followed: source != nil, Silent: silent, SourceAge: -1, OthersAge: -1, Gap: c.gap, OwnAge: c.clock.Now() - inst.seenAt, StoreLost: inst.storeLost}
	for _, other := range c.instances {
		if !c.heard(inst, other, 2_500) {
			continue
		}
		if age := c.age(other); v.OthersAge < 0 || age < v.OthersAge {
			v.OthersAge = age
		}
		if other == source {
			v.SourceAge = c.age(other)
			if inst.revision >= other.told.revision {
				inst.seenAt = max(inst.seenAt, other.told.at-other.told.age)
			}
		}
	}
	if !c.withoutWatchdog && inst.watchdog.Check(c.clock.Now(), v) != ReasonNone {
		inst.query, inst.calling = true, false
	}
}

// tell sends a datagram to all others.
func (c *chain) tell(inst *chainInstance) {
	now := c.clock.Now()
	inst.tellAt = now + c.gap
	if !inst.cut {
		inst.told = chainReport{at: now, age: now - inst.seenAt, revision: inst.revision, reachesStore: !inst.storeLost}
	}
}

func (c *chain) run(t waxfleet.Millis) {
	for end := c.clock.Now() + t; c.clock.Now() < end; c.clock.Advance(chainStep) {
		for _, inst := range c.instances {
			c.step(inst)
		}
	}
}

// TestChains runs the scripts in testdata/chains. They guard against an instance that could
// learn of a change at the store, directly or from others, and does not in time, because the
// instances that it follows one after the other are gone or themselves out of date.
func TestChains(t *testing.T) {
	datadriven.Walk(t, "testdata/chains", func(t *testing.T, path string) {
		var c *chain
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "fleet":
				var n, wait, gap int
				d.ScanArgs(t, "n", &n)
				d.ScanArgs(t, "wait", &wait)
				d.ScanArgs(t, "gap", &gap)
				c = newChain(n, waxfleet.Millis(wait), waxfleet.Millis(gap), !d.HasArg("domain"))
				c.withoutWatchdog = d.HasArg("without-watchdog")
				return ""
			case "run":
				var ms int
				d.ScanArgs(t, "ms", &ms)
				c.run(waxfleet.Millis(ms))
				return ""
			case "cut", "turn-away", "heal":
				// The input holds ranks in the order in which instances watch the store.
				for _, field := range strings.Fields(d.Input) {
					var from, to int
					if _, err := fmt.Sscanf(field, "%d-%d", &from, &to); err != nil {
						_, _ = fmt.Sscanf(field, "%d", &from)
						to = from
					}
					for _, inst := range c.instances[from-1 : to] {
						switch d.Cmd {
						case "cut":
							inst.cut = true
						case "turn-away":
							inst.turnedAway = true
						default:
							inst.cut, inst.turnedAway = false, false
						}
					}
				}
				return ""
			case "change":
				c.revision++
				c.changedAt = c.clock.Now()
				return ""
			case "known-within":
				var ms int
				d.ScanArgs(t, "ms", &ms)
				return c.latecomers(waxfleet.Millis(ms))
			}
			t.Fatalf("unknown command %s", d.Cmd)
			return ""
		})
	})
}

// latecomers returns the ranks of the instances that are not cut and did not get the last
// change within a time.
func (c *chain) latecomers(bound waxfleet.Millis) string {
	var late []string
	for i, inst := range c.instances {
		if !inst.cut && (inst.revision < c.revision || inst.knewAt-c.changedAt > bound) {
			late = append(late, fmt.Sprint(i+1))
		}
	}
	if len(late) == 0 {
		worst := waxfleet.Millis(0)
		for _, inst := range c.instances {
			if !inst.cut {
				worst = max(worst, inst.knewAt-c.changedAt)
			}
		}
		return fmt.Sprintf("all, after %d ms\n", worst)
	}
	return "late: " + strings.Join(late, " ") + "\n"
}
