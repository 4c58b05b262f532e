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

// platform is an object store without faults of its own; the model decides who
// reaches it and whose answers are lost.
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

// access is one instance's way to the platform.
type access struct {
	waxfleet.ObjectStore
	platform *platform
	cut      bool
	lose     bool
}

func (a *access) Get(_ context.Context, kind, name string) (waxfleet.Object, error) {
	if a.cut {
		return waxfleet.Object{}, waxfleet.NewError(waxfleet.CodePlatformUnreachable, "cut off")
	}
	o, ok := a.platform.objects[kind+"/"+name]
	if !ok {
		return waxfleet.Object{}, waxfleet.NewError(waxfleet.CodeObjectNotFound, "not found")
	}
	return o, nil
}

func (a *access) Put(_ context.Context, kind, name string, value []byte, version uint64) (waxfleet.Object, error) {
	if a.cut {
		return waxfleet.Object{}, waxfleet.NewError(waxfleet.CodePlatformUnreachable, "cut off")
	}
	o, err := a.platform.put(kind, name, value, version)
	if err == nil && a.lose {
		return waxfleet.Object{}, waxfleet.NewError(waxfleet.CodePlatformUnknown, "answer lost")
	}
	return o, err
}

// process is one incarnation of an instance, with the real table and keeper.
type process struct {
	id       string
	access   *access
	table    *waxmember.Table
	keeper   *waxlease.Keeper
	stopped  bool
	departed bool
}

func (p *process) BackendStates() []*waxwire.BackendState { return nil }

func (p *process) Assignment() (value []byte, version, epoch uint64) { return p.keeper.Stored() }

func (p *process) TakeAssignment(value []byte, version uint64) { p.keeper.Take(value, version) }

func (p *process) ConfigVersion() uint64 { return 1 }

func (p *process) PlatformReachable() bool { return !p.access.cut }

func (p *process) Suspects(bool) []*waxwire.Suspect { return nil }

func (p *process) TakeSuspects([]*waxwire.Suspect) {}

// model drives the instances of one failure domain.
type model struct {
	clock     *waxfleet.Clock
	platform  *platform
	ids       []string
	running   map[string]*process
	incarnate int
	blocked   map[[2]string]bool
	frozen    map[string]bool
	letters   []letter
}

// letter is a digest on its way.
type letter struct {
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
	m.incarnate++
	incarnation := fmt.Sprintf("%06d", m.incarnate)
	self := waxfleet.NewInstance(id, testDomain, id+":1", waxfleet.StateLive)
	p := &process{id: id, access: &access{platform: m.platform}, table: waxmember.NewTable(m.clock, self, incarnation)}
	p.keeper = waxlease.NewIdleKeeper(p.access, p.table, m.clock, incarnation, waxlease.Callbacks{
		Changed: func() {}, ConfigVersion: func() uint64 { return 1 },
	}, slog.New(slog.DiscardHandler))
	p.table.Bind(p)
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

// check fails when the shares of all processes together exceed the limit. A
// process that was replaced counts as long as it was not killed: it may be
// frozen and wake at any moment.
func (m *model) check(t failer) {
	worth := map[waxlease.Share]int{
		waxlease.None: 0, waxlease.Reserve: testReserve, waxlease.LessReserve: testLimit - testReserve, waxlease.Full: testLimit,
	}
	for _, server := range testServers {
		sum := 0
		detail := ""
		for _, p := range m.running {
			if p.departed || p.stopped {
				continue
			}
			share := p.keeper.Share(server)
			sum += worth[share]
			a := p.keeper.Assignment()
			detail += fmt.Sprintf("\n  %s=%s epoch=%d lease-remaining=%d members=%v history=%v", p.keeper.Self(), share, a.Epoch(), p.keeper.LeaseRemaining(), a.Members(), a.History())
		}
		if sum > testLimit {
			t.Fatalf("shares of %s add up to %d of %d:%s", server, sum, testLimit, detail)
		}
	}
}

type failer interface {
	Fatalf(format string, args ...any)
}

// exchange swaps digests; either direction may be lost.
func (m *model) exchange(a, b *process, loseReply bool) {
	if a == b || m.blocked[[2]string{a.id, b.id}] || b.stopped || a.stopped || m.frozen[a.id] || m.frozen[b.id] {
		return
	}
	reply := b.table.Answer(a.table.Build(b.id))
	if !loseReply && !m.blocked[[2]string{b.id, a.id}] {
		a.table.Merge(reply)
	}
}

func (m *model) heal() {
	m.blocked = map[[2]string]bool{}
	m.letters = nil
	for _, p := range m.running {
		p.access.cut, p.access.lose = false, false
	}
	for _, id := range m.ids {
		if p := m.running[id]; p.departed || p.stopped {
			m.start(id)
		}
	}
	for _, p := range m.running {
		m.showList(p)
	}
}

// round lets every process do its periodic work once.
func (m *model) round(t failer) {
	ctx := context.Background()
	for _, id := range m.ids {
		p := m.running[id]
		if p.stopped || p.departed || m.frozen[id] {
			continue
		}
		for _, other := range m.ids {
			m.exchange(p, m.running[other], false)
			m.check(t)
		}
		waxlease.Renew(p.keeper, ctx)
		m.check(t)
		waxlease.Check(p.keeper, ctx)
		m.check(t)
	}
	m.clock.Advance(500)
	m.check(t)
}

// TestSharesNeverExceedTheLimit guards against two instances that together use
// more than the load limit of a backend server, under any order of pauses, cuts,
// lapses, restarts, departures and lost answers.
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
				if p := pick(); !p.stopped && !p.departed {
					waxlease.Renew(p.keeper, ctx)
				}
			},
			"check": func(*rapid.T) {
				if p := pick(); !p.stopped && !p.departed {
					waxlease.Check(p.keeper, ctx)
				}
			},
			"cut-link": func(*rapid.T) { m.blocked[[2]string{pick().id, pick().id}] = true },
			"heal-link": func(*rapid.T) {
				delete(m.blocked, [2]string{pick().id, pick().id})
			},
			"cut-platform":  func(rt *rapid.T) { pick().access.cut = rapid.Bool().Draw(rt, "cut") },
			"lose-answers":  func(rt *rapid.T) { pick().access.lose = rapid.Bool().Draw(rt, "lose") },
			"kill":          func(*rapid.T) { pick().stopped = true },
			"send-late":     func(*rapid.T) { m.sendLate(pick(), pick()) },
			"deliver-late":  func(rt *rapid.T) { m.deliverLate(rt) },
			"restart":       func(*rapid.T) { m.restart(pick()) },
			"depart":        func(*rapid.T) { m.depart(pick()) },
			"instance-list": func(*rapid.T) { m.showList(pick()) },
		})
		m.settle(rt)
	})
}

func (m *model) sendLate(from, to *process) {
	if from != to && !from.stopped && len(m.letters) < 8 {
		m.letters = append(m.letters, letter{to: to, digest: from.table.Build(to.id)})
	}
}

func (m *model) deliverLate(rt *rapid.T) {
	if len(m.letters) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.letters)-1).Draw(rt, "letter")
	l := m.letters[i]
	m.letters = append(m.letters[:i], m.letters[i+1:]...)
	if !l.to.stopped {
		l.to.table.Merge(l.digest)
	}
}

// restart replaces a killed or departed process. A process that only froze can't
// be replaced under the same instance id: its machine still runs it.
func (m *model) restart(p *process) {
	if p.stopped || p.departed {
		m.start(p.id)
	}
}

// depart is a graceful stop: the process admits nothing more before it says so.
func (m *model) depart(p *process) {
	if p.stopped {
		return
	}
	p.departed = true
	p.table.Depart()
}

// showList gives the process the platform's list, without killed instances.
func (m *model) showList(p *process) {
	var live []waxfleet.Instance
	for _, i := range m.list() {
		if !m.running[i.ID()].stopped {
			live = append(live, i)
		}
	}
	p.table.SetList(live, nil)
	p.keeper.SetList(live)
}

// settled reports whether each backend server has one owner with the full share.
func (m *model) settled() bool {
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

// settle heals everything and requires that each backend server then has one
// owner with the full share.
func (m *model) settle(t failer) {
	m.heal()
	for range 300 {
		m.round(t)
		if m.settled() {
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
