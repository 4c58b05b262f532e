package waxlease

import (
	"context"
	"encoding/json"
	"log/slog"
	"slices"
	"sync"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxplace"
)

const (
	// platformTimeout bounds one call of the platform.
	platformTimeout waxfleet.Millis = 2_000
	// writerDelay is the time by which each next member in the order waits longer
	// before it writes a new assignment.
	writerDelay waxfleet.Millis = 2_000
	// checkInterval is the time between checks of the membership.
	checkInterval waxfleet.Millis = 500
	// joinDelay lets a starting instance hear its peers before it writes the first
	// assignment of its failure domain.
	joinDelay waxfleet.Millis = 1_500
	// rejoinDelay is how long an instance that others removed waits before it adds
	// itself again; it doubles with each removal up to rejoinDelayMax, and begins
	// anew after rejoinReset as a member. Without it, two instances of which only
	// one hears the other rewrite the assignment without end.
	rejoinDelay    waxfleet.Millis = 1_000
	rejoinDelayMax waxfleet.Millis = 15_000
	rejoinReset    waxfleet.Millis = 60_000
	// watchRetry is the wait after a failed watch.
	watchRetry waxfleet.Millis = 1_000
)

// leaseKindPrefix is followed by the failure domain, so that listing the leases
// of one failure domain does not read those of the fleet.
const leaseKindPrefix = waxfleet.ObjectKindLease + "."

// Peers is what the keeper asks of the membership table. Members are named
// "instance@incarnation".
type Peers interface {
	Self() waxfleet.Instance
	LiveMembers() []string
	Heard(member string) waxfleet.Millis
	Acknowledged(member string) waxfleet.Millis
	Epoch(member string) uint64
	Departed(member string) bool
	Restarted(member string) bool
	LastDeparture() waxfleet.Millis
	// Departures changes whenever the set of departed members does.
	Departures() uint64
}

// Callbacks connect the keeper to the rest of the instance.
type Callbacks struct {
	// Changed runs after a new assignment was adopted. It may block shortly.
	Changed func()
	// ConfigVersion is written into the lease.
	ConfigVersion func() uint64
}

// leaseSeen is the lease of another instance. since is when its version was
// first read, confirmed when the latest read that still found it was sent.
type leaseSeen struct {
	version   uint64
	since     waxfleet.Millis
	confirmed waxfleet.Millis
	lease     Lease
}

// Keeper renews the lease of this instance, follows the assignment of its
// failure domain and answers what this instance may admit. It is safe for
// concurrent use.
type Keeper struct {
	store     waxfleet.ObjectStore
	peers     Peers
	clock     *waxfleet.Clock
	log       *slog.Logger
	callbacks Callbacks
	self      Member
	domain    string

	mu           sync.Mutex
	leaseUntil   waxfleet.Millis
	leaseVersion uint64
	leaving      bool
	reachable    bool
	assignment   Assignment
	value        []byte
	version      uint64
	adopted      waxfleet.Millis
	started      waxfleet.Millis
	wantSince    waxfleet.Millis
	removals     int
	leases       map[string]leaseSeen
	listed       map[string]waxfleet.Millis
	lastList     waxfleet.Millis
	firstList    waxfleet.Millis

	// lines are the successions by backend server, for one epoch and one set of
	// departed members.
	lines           map[string]Line
	linesEpoch      uint64
	linesDepartures uint64
}

// NewKeeper returns a keeper and starts its work, which ends with ctx.
func NewKeeper(ctx context.Context, store waxfleet.ObjectStore, peers Peers, clock *waxfleet.Clock, incarnation string, callbacks Callbacks, log *slog.Logger) *Keeper {
	k := newKeeper(store, peers, clock, incarnation, callbacks, log)
	go func() {
		for ctx.Err() == nil {
			k.renew(ctx)
			if clock.Sleep(ctx, LeaseRenewal) != nil {
				return
			}
		}
	}()
	go func() {
		for ctx.Err() == nil {
			if k.watch(ctx) != nil && clock.Sleep(ctx, watchRetry) != nil {
				return
			}
		}
	}()
	go func() {
		for clock.Sleep(ctx, checkInterval) == nil {
			k.check(ctx)
		}
	}()
	return k
}

func newKeeper(store waxfleet.ObjectStore, peers Peers, clock *waxfleet.Clock, incarnation string, callbacks Callbacks, log *slog.Logger) *Keeper {
	return &Keeper{
		store: store, peers: peers, clock: clock, log: log, callbacks: callbacks,
		self:   NewMember(peers.Self().ID(), incarnation),
		domain: peers.Self().FailureDomain(), started: clock.Now(),
		leases: map[string]leaseSeen{}, listed: map[string]waxfleet.Millis{}, lines: map[string]Line{},
	}
}

// Self returns this incarnation of this instance.
func (k *Keeper) Self() Member { return k.self }

// Assignment returns the adopted assignment.
func (k *Keeper) Assignment() Assignment {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.assignment
}

// Stored returns the assignment as stored, its version and its epoch.
func (k *Keeper) Stored() (value []byte, version, epoch uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.value, k.version, k.assignment.epoch
}

// Attached reports whether the lease of this instance is valid.
func (k *Keeper) Attached() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.clock.Now() < k.leaseUntil
}

// LeaseRemaining returns the time until the lease lapses; it may be negative.
func (k *Keeper) LeaseRemaining() waxfleet.Millis {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.leaseUntil - k.clock.Now()
}

// Reachable reports whether the last call of the platform succeeded.
func (k *Keeper) Reachable() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.reachable
}

// Share returns what this instance may use of the backend server's limit now.
func (k *Keeper) Share(server string) Share {
	k.mu.Lock()
	defer k.mu.Unlock()
	since := max(k.adopted, k.peers.LastDeparture())
	return Allowance(k.self, k.line(server), k.assignment.epoch, k.clock.Now(), k.leaseUntil, since, (*keeperFacts)(k))
}

// line returns the succession of a backend server. It is kept until the epoch or
// the departed members change: ranking all members at each look took most of the
// time of an owner in a failure domain of 51 instances.
func (k *Keeper) line(server string) Line {
	departures := k.peers.Departures()
	if k.linesEpoch != k.assignment.epoch || k.linesDepartures != departures {
		k.lines = map[string]Line{}
		k.linesEpoch, k.linesDepartures = k.assignment.epoch, departures
	}
	l, ok := k.lines[server]
	if !ok {
		l = LineOf(server, k.assignment, (*keeperFacts)(k).Departed)
		k.lines[server] = l
	}
	return l
}

// Owner returns the instance that owns the backend server of this failure
// domain, or "".
func (k *Keeper) Owner(server string) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	l := k.line(server)
	if len(l.order) == 0 {
		return ""
	}
	return l.order[0].instance
}

// Candidates returns the first two instances in the succession of the backend
// server: its owner and the one that may use the reserve.
func (k *Keeper) Candidates(server string) []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	l := k.line(server)
	ids := make([]string, 0, 2)
	for _, m := range l.order[:min(len(l.order), 2)] {
		ids = append(ids, m.instance)
	}
	return ids
}

// OwnerOf returns the owner of a backend server under an assignment, or "".
func OwnerOf(server string, a Assignment, departed func(member string) bool) string {
	order := succession(server, a.members, func(m Member) bool { return departed(m.String()) })
	if len(order) == 0 {
		return ""
	}
	return order[0].instance
}

// Take adopts an assignment if it is newer than the adopted one.
func (k *Keeper) Take(value []byte, version uint64) {
	var a Assignment
	if err := json.Unmarshal(value, &a); err != nil {
		k.log.Warn("assignment is malformed", "error", err)
		return
	}
	k.mu.Lock()
	if a.epoch <= k.assignment.epoch {
		k.mu.Unlock()
		return
	}
	if k.assignment.Has(k.self) && !a.Has(k.self) {
		if k.clock.Now()-k.adopted > rejoinReset {
			k.removals = 0
		}
		k.removals++
	}
	k.assignment, k.value, k.version = a, value, version
	k.adopted = k.clock.Now()
	k.wantSince = 0
	k.mu.Unlock()
	k.log.Info("assignment adopted", "epoch", a.epoch, "members", memberStrings(a.members), "writer", a.writer)
	k.callbacks.Changed()
}

// SetLeaving marks the lease as leaving and renews it. The caller has stopped
// admitting before.
func (k *Keeper) SetLeaving(ctx context.Context) {
	k.mu.Lock()
	k.leaving = true
	k.mu.Unlock()
	k.renew(ctx)
}

// SetList takes the instances that the platform lists.
func (k *Keeper) SetList(instances []waxfleet.Instance) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.clock.Now()
	k.lastList = now
	if k.firstList == 0 {
		k.firstList = now
	}
	for _, i := range instances {
		k.listed[i.ID()] = now
	}
}

// renew reads the assignment and then writes the lease. In this order the epoch
// in the lease is one that this instance acts under.
func (k *Keeper) renew(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, 2*platformTimeout.Duration())
	defer cancel()
	sent := k.clock.Now()
	if err := k.readAssignment(ctx); err != nil {
		k.setReachable(false)
		k.log.WarnContext(ctx, "lease renewal: the assignment could not be read", "error", err)
		return
	}
	kind := leaseKindPrefix + k.domain
	k.mu.Lock()
	lease := Lease{
		Incarnation: k.self.incarnation, FailureDomain: k.domain, PeerAddress: k.peers.Self().PeerAddress(),
		EpochSeen: k.assignment.epoch, State: waxfleet.StateLive, ConfigVersion: k.callbacks.ConfigVersion(),
	}
	if k.leaving {
		lease.State = waxfleet.StateLeaving
	}
	version := k.leaseVersion
	k.mu.Unlock()
	value, err := json.Marshal(lease)
	if err != nil {
		k.log.ErrorContext(ctx, "lease could not be encoded", "error", err)
		return
	}
	stored, err := k.store.Put(ctx, kind, k.self.instance, value, version)
	if waxfleet.CodeOf(err) == waxfleet.CodeObjectConflict {
		stored, err = k.replaceLease(ctx, kind, value)
	}
	if err != nil {
		k.setReachable(false)
		k.log.WarnContext(ctx, "lease renewal failed", "error", err)
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.leaseVersion = stored.Version()
	k.leaseUntil = sent + LeaseDuration
	k.reachable = true
}

// replaceLease writes over the lease of an earlier incarnation, or over an own
// write whose answer was lost. A later incarnation keeps its lease.
func (k *Keeper) replaceLease(ctx context.Context, kind string, value []byte) (waxfleet.Object, error) {
	current, err := k.store.Get(ctx, kind, k.self.instance)
	if err != nil {
		return waxfleet.Object{}, err
	}
	var held Lease
	if json.Unmarshal(current.Value(), &held) == nil && held.Incarnation > k.self.incarnation {
		return waxfleet.Object{}, waxfleet.NewError(waxfleet.CodeObjectConflict, "the lease belongs to a later incarnation of %s", k.self.instance)
	}
	return k.store.Put(ctx, kind, k.self.instance, value, current.Version())
}

func (k *Keeper) readAssignment(ctx context.Context) error {
	o, err := k.store.Get(ctx, waxfleet.ObjectKindAssignment, k.domain)
	if waxfleet.CodeOf(err) == waxfleet.CodeObjectNotFound {
		return nil
	}
	if err != nil {
		return err
	}
	k.Take(o.Value(), o.Version())
	return nil
}

func (k *Keeper) watch(ctx context.Context) error {
	k.mu.Lock()
	after := k.version
	k.mu.Unlock()
	o, err := k.store.Watch(ctx, waxfleet.ObjectKindAssignment, k.domain, after)
	if err != nil {
		return err
	}
	if o.Version() > after {
		k.Take(o.Value(), o.Version())
	}
	return nil
}

func (k *Keeper) setReachable(ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.reachable = ok
}

// check writes a new assignment when the live members differ from the assigned
// ones, and reads the leases of members that fell silent.
func (k *Keeper) check(ctx context.Context) {
	if !k.Attached() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, 2*platformTimeout.Duration())
	defer cancel()
	k.observeSilent(ctx)
	want := k.wanted()
	if want == nil || !k.myTurn(want) {
		return
	}
	k.write(ctx, want)
}

// wanted returns the members that the next assignment should have, or nil when
// the current one fits.
func (k *Keeper) wanted() []Member {
	live := parseMembers(k.peers.LiveMembers())
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.leaving {
		live = append(live, k.self)
	}
	slices.SortFunc(live, compareMembers)
	current := slices.Clone(k.assignment.members)
	slices.SortFunc(current, compareMembers)
	if len(live) == 0 || slices.Equal(live, current) {
		k.wantSince = 0
		return nil
	}
	if k.wantSince == 0 {
		k.wantSince = k.clock.Now()
	}
	return live
}

func compareMembers(a, b Member) int {
	switch as, bs := a.String(), b.String(); {
	case as < bs:
		return -1
	case as > bs:
		return 1
	default:
		return 0
	}
}

// myTurn staggers the writers, so that usually one write is enough. Races are
// settled by the conditional update.
func (k *Keeper) myTurn(want []Member) bool {
	ids := make([]string, len(want))
	for i, m := range want {
		ids[i] = m.instance
	}
	rank := slices.Index(waxplace.Rank(k.domain, ids), k.self.instance)
	if rank < 0 {
		rank = len(ids)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.clock.Now()
	if now-k.started < joinDelay {
		return false
	}
	delay := waxfleet.Millis(rank) * writerDelay
	if k.removals > 0 && !k.assignment.Has(k.self) {
		delay += min(rejoinDelay<<min(k.removals, 5), rejoinDelayMax)
	}
	return now-k.wantSince >= delay
}

func (k *Keeper) write(ctx context.Context, members []Member) {
	k.mu.Lock()
	facts := (*keeperFacts)(k)
	current := k.assignment
	version := k.version
	var history [][]Member
	for _, group := range append([][]Member{current.members}, current.history...) {
		if len(group) > 0 && (len(history) == 0 || !facts.settled(group, current.epoch)) {
			history = append(history, group)
		}
	}
	k.mu.Unlock()
	next := NewAssignment(current.epoch+1, members, history, k.self.String())
	value, err := json.Marshal(next)
	if err != nil {
		k.log.ErrorContext(ctx, "assignment could not be encoded", "error", err)
		return
	}
	o, err := k.store.Put(ctx, waxfleet.ObjectKindAssignment, k.domain, value, version)
	if err != nil {
		// Another writer was faster, or the answer was lost: the object tells.
		if rerr := k.readAssignment(ctx); rerr != nil {
			k.log.WarnContext(ctx, "assignment could not be written", "error", err)
		}
		return
	}
	k.Take(value, o.Version())
}

// observeSilent reads the leases of the members that may hold a share and are
// not heard, so that their lapse can be told.
func (k *Keeper) observeSilent(ctx context.Context) {
	for _, m := range k.silentMembers() {
		sent := k.clock.Now()
		o, err := k.store.Get(ctx, leaseKindPrefix+k.domain, m.instance)
		if err != nil {
			continue
		}
		var lease Lease
		if json.Unmarshal(o.Value(), &lease) != nil {
			continue
		}
		k.mu.Lock()
		seen, ok := k.leases[m.instance]
		if !ok || seen.version != o.Version() {
			seen = leaseSeen{version: o.Version(), since: k.clock.Now(), lease: lease}
		}
		seen.confirmed = max(seen.confirmed, sent)
		k.leases[m.instance] = seen
		k.mu.Unlock()
	}
}

func (k *Keeper) silentMembers() []Member {
	k.mu.Lock()
	defer k.mu.Unlock()
	facts := (*keeperFacts)(k)
	var silent []Member
	for _, group := range k.assignment.history {
		for _, m := range group {
			done := m == k.self || facts.Departed(m) || facts.Confirmed(m, k.assignment.epoch) || facts.Stopped(m)
			if !done && !slices.Contains(silent, m) {
				silent = append(silent, m)
			}
		}
	}
	return silent
}

// keeperFacts answers Allowance's questions; the keeper's lock is held.
type keeperFacts Keeper

// Departed implements Facts.
func (f *keeperFacts) Departed(m Member) bool { return f.peers.Departed(m.String()) }

// Confirmed implements Facts.
func (f *keeperFacts) Confirmed(m Member, epoch uint64) bool {
	if m == f.self {
		return f.assignment.epoch >= epoch
	}
	if f.peers.Epoch(m.String()) >= epoch {
		return true
	}
	seen, ok := f.leases[m.instance]
	return ok && seen.lease.Incarnation == m.incarnation && seen.lease.EpochSeen >= epoch
}

// Stopped implements Facts.
func (f *keeperFacts) Stopped(m Member) bool {
	if m == f.self {
		return false
	}
	if f.peers.Restarted(m.String()) {
		return true
	}
	if seen, ok := f.leases[m.instance]; ok && seen.lease.Incarnation > m.incarnation {
		return true
	}
	// The list lags, so it lacks a member that has just started. Only an absence
	// after the member is known to have lived is proof.
	alive := max(f.listed[m.instance], f.peers.Heard(m.String()), f.adopted, f.firstList)
	return f.firstList != 0 && f.lastList-alive > GoneFromList
}

// Lapsed implements Facts. Two reads of the same version must lie far enough
// apart, both after the epoch was adopted: a renewal that began before the epoch
// was written can still land, but lasts from its beginning only.
func (f *keeperFacts) Lapsed(m Member) bool {
	seen, ok := f.leases[m.instance]
	return ok && seen.confirmed-max(seen.since, f.adopted) > LeaseLapse
}

// Heard implements Facts.
func (f *keeperFacts) Heard(m Member) waxfleet.Millis { return f.peers.Heard(m.String()) }

// Acknowledged implements Facts.
func (f *keeperFacts) Acknowledged(m Member) waxfleet.Millis {
	return f.peers.Acknowledged(m.String())
}

// settled reports whether no member of the group can act under an epoch before
// the given one.
func (f *keeperFacts) settled(group []Member, epoch uint64) bool {
	for _, m := range group {
		if !f.Departed(m) && !f.Confirmed(m, epoch) && !f.Stopped(m) {
			return false
		}
	}
	return true
}
