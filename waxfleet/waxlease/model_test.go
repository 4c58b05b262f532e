package waxlease_test

import (
	"context"
	"fmt"
	"log/slog"
	"testing"

	"pgregory.net/rapid"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxlease"
	"waxwingdrift.org/waxfleet/waxmember"
	"waxwingdrift.org/waxfleet/waxwire"
)

const (
	testLimit   = 8
	testReserve = 1
	testDomain  = "caerdydd"
)

var testServers = []string{"engine-1", "engine-2", "engine-3", "engine-4"}

// platform is an object store without faults of its own; the model decides which
// instances reach it and whose responses are lost.
type platform struct {
	objects map[string]waxfleet.Object
	version uint64
}

func (p *platform) put(kind, name string, value []byte, version uint64) (waxfleet.Object, error) {
	key := kind + "/" + name
	if p.objects[key].Version() != version {
		return waxfleet.Object{}, waxfleet.NewError(waxfleet.CodeObjectConflict, "conflict")
	}
	p.version++
	p.objects[key] = waxfleet.NewObject(kind, name, value, p.version)
	return p.objects[key], nil
}

// platformClient is one instance's connection to the platform.
type platformClient struct {
	waxfleet.ObjectStore
	platform      *platform
	cut           bool
	loseResponses bool
}

func (c *platformClient) Get(_ context.Context, kind, name string) (waxfleet.Object, error) {
	if c.cut {
		return waxfleet.Object{}, waxfleet.NewError(waxfleet.CodePlatformUnreachable, "cut off")
	}
	o, ok := c.platform.objects[kind+"/"+name]
	if !ok {
		return waxfleet.Object{}, waxfleet.NewError(waxfleet.CodeObjectNotFound, "not found")
	}
	return o, nil
}

func (c *platformClient) Put(_ context.Context, kind, name string, value []byte, version uint64) (waxfleet.Object, error) {
	if c.cut {
		return waxfleet.Object{}, waxfleet.NewError(waxfleet.CodePlatformUnreachable, "cut off")
	}
	o, err := c.platform.put(kind, name, value, version)
	if err == nil && c.loseResponses {
		return waxfleet.Object{}, waxfleet.NewError(waxfleet.CodePlatformUnknown, "response lost")
	}
	return o, err
}

// process is one incarnation of an instance with a real membership table and
// keeper.
type process struct {
	id       string
	client   *platformClient
	table    *waxmember.Table
	keeper   *waxlease.Keeper
	killed   bool
	departed bool
}

func (p *process) BackendStates() []*waxwire.BackendState { return nil }

func (p *process) Assignment() (value []byte, version, epoch uint64) {
	return p.keeper.EncodedAssignment()
}

func (p *process) AdoptAssignment(value []byte, version uint64) { p.keeper.Adopt(value, version) }

func (p *process) ConfigVersion() uint64 { return 1 }

func (p *process) ConfigVersionSeen(uint64) {}

func (p *process) PlatformReachable() bool { return !p.client.cut }

func (p *process) Suspects(bool) []*waxwire.Suspect { return nil }

func (p *process) MergeSuspects([]*waxwire.Suspect) {}

// model simulates the instances of one failure domain.
type model struct {
	clock           *waxfleet.Clock
	platform        *platform
	ids             []string
	running         map[string]*process
	lastIncarnation int
	blocked         map[[2]string]bool
	frozen          map[string]bool
	delayed         []delayedDigest
}

// delayedDigest is a digest that has been sent but not delivered.
type delayedDigest struct {
	to     *process
	digest *waxwire.Digest
}

func newModel(n int) *model {
	m := &model{
		clock: waxfleet.NewManualClock(1_000_000), platform: &platform{objects: map[string]waxfleet.Object{}},
		running: map[string]*process{}, blocked: map[[2]string]bool{}, frozen: map[string]bool{},
	}
	for i := range n {
		m.ids = append(m.ids, fmt.Sprintf("router-%d", i+1))
	}
	for _, id := range m.ids {
		m.start(id)
	}
	return m
}

func (m *model) start(id string) {
	m.lastIncarnation++
	incarnation := fmt.Sprintf("%06d", m.lastIncarnation)
	self := waxfleet.NewInstance(id, testDomain, id+":1", waxfleet.StateLive)
	p := &process{id: id, client: &platformClient{platform: m.platform}, table: waxmember.NewTable(m.clock, self, incarnation)}
	p.keeper = waxlease.NewIdleKeeper(p.client, p.table, m.clock, incarnation, waxlease.Callbacks{
		AssignmentChanged: func() {}, ConfigVersion: func() uint64 { return 1 },
	}, slog.New(slog.DiscardHandler))
	p.table.SetLocal(p)
	p.table.SetList(m.list(), nil)
	m.running[id] = p
}

func (m *model) list() []waxfleet.Instance {
	var out []waxfleet.Instance
	for _, id := range m.ids {
		out = append(out, waxfleet.NewInstance(id, testDomain, id+":1", waxfleet.StateLive))
	}
	return out
}

// check fails if the shares of all running processes together exceed the limit.
// Frozen processes count, because they may resume at any moment.
func (m *model) check(t fataler) {
	amount := map[waxlease.Share]int{
		waxlease.None: 0, waxlease.Reserve: testReserve, waxlease.LessReserve: testLimit - testReserve, waxlease.Full: testLimit,
	}
	for _, server := range testServers {
		sum := 0
		detail := ""
		for _, p := range m.running {
			if p.departed || p.killed {
				continue
			}
			share := p.keeper.Share(server)
			sum += amount[share]
			a := p.keeper.Assignment()
			detail += fmt.Sprintf("\n  %s=%s epoch=%d lease-remaining=%d members=%v history=%v",
				p.keeper.Self(), share, a.Epoch(), p.keeper.LeaseRemaining(), a.Members(),
				a.History())
		}
		if sum > testLimit {
			t.Fatalf("shares of %s add up to %d of %d:%s", server, sum, testLimit, detail)
		}
	}
}

type fataler interface {
	Fatalf(format string, args ...any)
}

// exchange runs one digest exchange; the request or the reply may be lost.
func (m *model) exchange(a, b *process, loseReply bool) {
	if a == b || m.blocked[[2]string{a.id, b.id}] || b.killed || a.killed || m.frozen[a.id] || m.frozen[b.id] {
		return
	}
	reply := b.table.HandleExchange(a.table.BuildDigest(b.id))
	if !loseReply && !m.blocked[[2]string{b.id, a.id}] {
		a.table.MergeDigest(reply)
	}
}

func (m *model) heal() {
	m.blocked = map[[2]string]bool{}
	m.delayed = nil
	for _, p := range m.running {
		p.client.cut, p.client.loseResponses = false, false
	}
	for _, id := range m.ids {
		if p := m.running[id]; p.departed || p.killed {
			m.start(id)
		}
	}
	for _, p := range m.running {
		m.deliverList(p)
	}
}

// round runs the periodic work of every process once.
func (m *model) round(t fataler) {
	ctx := context.Background()
	for _, id := range m.ids {
		p := m.running[id]
		if p.killed || p.departed || m.frozen[id] {
			continue
		}
		for _, other := range m.ids {
			m.exchange(p, m.running[other], false)
			m.check(t)
		}
		waxlease.Renew(p.keeper, ctx)
		m.check(t)
		waxlease.Reconcile(p.keeper, ctx)
		m.check(t)
	}
	m.clock.Advance(500)
	m.check(t)
}

// TestSharesNeverExceedTheLimit guards against two instances that together use
// more than the load limit of a backend server, under any order of pauses, network
// partitions, lease expiries, restarts, departures and lost responses.
func TestSharesNeverExceedTheLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := newModel(rapid.IntRange(2, 4).Draw(rt, "instances"))
		ctx := context.Background()
		pick := func() *process { return m.running[rapid.SampledFrom(m.ids).Draw(rt, "instance")] }
		for range 4 {
			m.round(rt)
		}
		rt.Repeat(map[string]func(*rapid.T){
			"": func(rt *rapid.T) { m.check(rt) },
			"advance": func(rt *rapid.T) {
				m.clock.Advance(waxfleet.Millis(rapid.SampledFrom([]int{100, 500, 1_000, 3_000, 6_000, 20_000}).Draw(rt, "ms")))
			},
			"round":    func(rt *rapid.T) { m.round(rt) },
			"exchange": func(rt *rapid.T) { m.exchange(pick(), pick(), rapid.Bool().Draw(rt, "lose-reply")) },
			"renew": func(*rapid.T) {
				if p := pick(); !p.killed && !p.departed {
					waxlease.Renew(p.keeper, ctx)
				}
			},
			"check": func(*rapid.T) {
				if p := pick(); !p.killed && !p.departed {
					waxlease.Reconcile(p.keeper, ctx)
				}
			},
			"cut-link": func(*rapid.T) { m.blocked[[2]string{pick().id, pick().id}] = true },
			"heal-link": func(*rapid.T) {
				delete(m.blocked, [2]string{pick().id, pick().id})
			},
			"cut-platform":  func(rt *rapid.T) { pick().client.cut = rapid.Bool().Draw(rt, "cut") },
			"lose-answers":  func(rt *rapid.T) { pick().client.loseResponses = rapid.Bool().Draw(rt, "lose") },
			"kill":          func(*rapid.T) { pick().killed = true },
			"send-late":     func(*rapid.T) { m.delayDigest(pick(), pick()) },
			"deliver-late":  func(rt *rapid.T) { m.deliverDelayed(rt) },
			"restart":       func(*rapid.T) { m.restart(pick()) },
			"depart":        func(*rapid.T) { m.depart(pick()) },
			"instance-list": func(*rapid.T) { m.deliverList(pick()) },
		})
		m.requireConvergence(rt)
	})
}

func (m *model) delayDigest(from, to *process) {
	if from != to && !from.killed && len(m.delayed) < 8 {
		m.delayed = append(m.delayed, delayedDigest{to: to, digest: from.table.BuildDigest(to.id)})
	}
}

func (m *model) deliverDelayed(rt *rapid.T) {
	if len(m.delayed) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.delayed)-1).Draw(rt, "digest")
	d := m.delayed[i]
	m.delayed = append(m.delayed[:i], m.delayed[i+1:]...)
	if !d.to.killed {
		d.to.table.MergeDigest(d.digest)
	}
}

// restart replaces a killed or departed process. A frozen process can't be
// replaced under the same instance ID, because its machine still runs it.
func (m *model) restart(p *process) {
	if p.killed || p.departed {
		m.start(p.id)
	}
}

// depart stops a process gracefully: it stops admitting requests before it
// announces its departure.
func (m *model) depart(p *process) {
	if p.killed {
		return
	}
	p.departed = true
	p.table.Depart()
}

// deliverList gives the process the platform's instance list, without killed
// instances.
func (m *model) deliverList(p *process) {
	var live []waxfleet.Instance
	for _, i := range m.list() {
		if !m.running[i.ID()].killed {
			live = append(live, i)
		}
	}
	p.table.SetList(live, nil)
	p.keeper.SetList(live)
}

// converged reports whether exactly one instance has the full share of each
// backend server.
func (m *model) converged() bool {
	for _, server := range testServers {
		full := 0
		for _, p := range m.running {
			if p.keeper.Share(server) == waxlease.Full {
				full++
			}
		}
		if full != 1 {
			return false
		}
	}
	return true
}

// requireConvergence removes all faults and fails unless each backend server then
// gets exactly one instance with the full share.
func (m *model) requireConvergence(t fataler) {
	m.heal()
	for range 300 {
		m.round(t)
		if m.converged() {
			return
		}
	}
	for _, server := range testServers {
		full := 0
		for _, p := range m.running {
			if p.keeper.Share(server) == waxlease.Full {
				full++
			}
		}
		if full != 1 {
			detail := ""
			for _, p := range m.running {
				a := p.keeper.Assignment()
				detail += fmt.Sprintf("\n%s share=%s epoch=%d members=%v history=%v lease-remaining=%d candidates=%v",
					p.keeper.Self(), p.keeper.Share(server), a.Epoch(), a.Members(), a.History(), p.keeper.LeaseRemaining(), p.keeper.Candidates(server))
			}
			t.Fatalf("after healing, %d instances have the full share of %s:%s", full, server, detail)
		}
	}
}
