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
	// platformTimeout bounds one call to the platform.
	platformTimeout waxfleet.Millis = 2_000
	// writeStagger is the additional delay per rank before a member writes a new
	// assignment, so that usually only one of them writes.
	writeStagger waxfleet.Millis = 2_000
	// reconcileInterval is the interval between comparisons of the live members with
	// the assigned members.
	reconcileInterval waxfleet.Millis = 500
	// joinDelay gives a starting instance time to hear its peers before it writes an
	// assignment.
	joinDelay waxfleet.Millis = 1_500
	// rejoinBackoff delays an instance that others removed before it adds itself
	// again. The delay doubles with each removal up to rejoinBackoffMax and is reset
	// after rejoinBackoffReset as a member. Without it, two instances of which only
	// one hears the other would rewrite the assignment forever.
	rejoinBackoff      waxfleet.Millis = 1_000
	rejoinBackoffMax   waxfleet.Millis = 15_000
	rejoinBackoffReset waxfleet.Millis = 60_000
	// watchRetryDelay is the delay after a failed watch.
	watchRetryDelay waxfleet.Millis = 1_000
)

// leaseKindPrefix is followed by the failure domain, so that the leases of one
// failure domain can be listed without reading those of the whole fleet.
const leaseKindPrefix = waxfleet.ObjectKindLease + "."

// Peers is the part of the membership table that the keeper uses. Members are
// named "instance@incarnation".
type Peers interface {
	Self() waxfleet.Instance
	LiveMembers() []string
	LastHeard(member string) waxfleet.Millis
	LastAcknowledged(member string) waxfleet.Millis
	Epoch(member string) uint64
	Departed(member string) bool
	Restarted(member string) bool
	LastDepartureAt() waxfleet.Millis
	// DeparturesVersion returns a counter that changes whenever the set of departed
	// members does.
	DeparturesVersion() uint64
}

// Callbacks are the functions that the keeper calls in the rest of the instance.
type Callbacks struct {
	// AssignmentChanged is called after a new assignment was adopted. It may block
	// briefly.
	AssignmentChanged func()
	// ConfigVersion returns the configuration version to record in the lease.
	ConfigVersion func() uint64
}

// observedLease is the lease of another instance. firstRead is when its version
// was first read; lastRead is when the latest read that still returned it was sent.
type observedLease struct {
	version   uint64
	firstRead waxfleet.Millis
	lastRead  waxfleet.Millis
	lease     Lease
}

// Keeper renews the lease of this instance, tracks the assignment of its failure
// domain, writes a new one when the membership changes, and decides what this
// instance may admit. It is safe for concurrent use.
type Keeper struct {
	store     waxfleet.ObjectStore
	peers     Peers
	clock     *waxfleet.Clock
	log       *slog.Logger
	callbacks Callbacks
	self      Member
	domain    string

	mu sync.Mutex
	// leaseUntil is when the lease of this instance expires.
	leaseUntil        waxfleet.Millis
	leaseVersion      uint64
	leaving           bool
	platformReachable bool
	assignment        Assignment
	assignmentValue   []byte
	assignmentVersion uint64
	adoptedAt         waxfleet.Millis
	startedAt         waxfleet.Millis
	// mismatchSince is when the live members began to differ from the assigned ones; 0
	// if they don't.
	mismatchSince waxfleet.Millis
	// removals is the number of times that others have removed this instance from the
	// assignment since the last reset.
	removals int
	// leases holds the leases read from other instances, by instance ID.
	leases map[string]observedLease
	// lastListed holds when each instance was last on the instance list. firstListAt
	// and lastListAt are when the first and the last list arrived, 0 before that.
	lastListed  map[string]waxfleet.Millis
	firstListAt waxfleet.Millis
	lastListAt  waxfleet.Millis

	// preferenceLists caches the preference lists by backend server, for the epoch and
	// the set of departed members below.
	preferenceLists                  map[string]PreferenceList
	preferenceListsEpoch             uint64
	preferenceListsDeparturesVersion uint64
}

// NewKeeper returns a keeper and starts its background work, which ends with ctx.
func NewKeeper(ctx context.Context, store waxfleet.ObjectStore, peers Peers, clock *waxfleet.Clock, incarnation string, callbacks Callbacks, log *slog.Logger) *Keeper {
	k := newKeeper(store, peers, clock, incarnation, callbacks, log)
	go func() {
		for ctx.Err() == nil {
			k.renew(ctx)
			if clock.Sleep(ctx, LeaseRenewalInterval) != nil {
				return
			}
		}
	}()
	go func() {
		for ctx.Err() == nil {
			if k.watch(ctx) != nil && clock.Sleep(ctx, watchRetryDelay) != nil {
				return
			}
		}
	}()
	go func() {
		for clock.Sleep(ctx, reconcileInterval) == nil {
			k.reconcile(ctx)
		}
	}()
	return k
}

func newKeeper(store waxfleet.ObjectStore, peers Peers, clock *waxfleet.Clock, incarnation string, callbacks Callbacks, log *slog.Logger) *Keeper {
	return &Keeper{
		store: store, peers: peers, clock: clock, log: log, callbacks: callbacks,
		self:   NewMember(peers.Self().ID(), incarnation),
		domain: peers.Self().FailureDomain(), startedAt: clock.Now(),
		leases: map[string]observedLease{}, lastListed: map[string]waxfleet.Millis{}, preferenceLists: map[string]PreferenceList{},
	}
}

// Self returns the current incarnation of this instance.
func (k *Keeper) Self() Member { return k.self }

// Assignment returns the currently adopted assignment.
func (k *Keeper) Assignment() Assignment {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.assignment
}

// EncodedAssignment returns the adopted assignment in encoded form, its object version
// and its epoch.
func (k *Keeper) EncodedAssignment() (value []byte, version, epoch uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.assignmentValue, k.assignmentVersion, k.assignment.epoch
}

// LeaseValid reports whether the lease of this instance is valid.
func (k *Keeper) LeaseValid() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.clock.Now() < k.leaseUntil
}

// LeaseRemaining returns the time until the lease expires; it is negative after
// that.
func (k *Keeper) LeaseRemaining() waxfleet.Millis {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.leaseUntil - k.clock.Now()
}

// PlatformReachable reports whether the last lease renewal reached the platform.
func (k *Keeper) PlatformReachable() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.platformReachable
}

// Share returns the part of the backend server's limit that this instance may use
// now.
func (k *Keeper) Share(server string) Share {
	k.mu.Lock()
	defer k.mu.Unlock()
	changedAt := max(k.adoptedAt, k.peers.LastDepartureAt())
	return Allowance(k.self, k.preferenceList(server), k.assignment.epoch, k.clock.Now(), k.leaseUntil,
		changedAt, (*keeperView)(k))
}

// preferenceList returns the preference list of a backend server. It is cached until
// the epoch or the departed members change: ranking all members on every call took
// most of an owner's CPU time in a failure domain of 51 instances. The caller holds
// the lock.
func (k *Keeper) preferenceList(server string) PreferenceList {
	version := k.peers.DeparturesVersion()
	if k.preferenceListsEpoch != k.assignment.epoch || k.preferenceListsDeparturesVersion != version {
		k.preferenceLists = map[string]PreferenceList{}
		k.preferenceListsEpoch, k.preferenceListsDeparturesVersion = k.assignment.epoch, version
	}
	list, ok := k.preferenceLists[server]
	if !ok {
		list = PreferenceListOf(server, k.assignment, (*keeperView)(k).Departed)
		k.preferenceLists[server] = list
	}
	return list
}

// Owner returns the ID of the instance that owns the backend server of this
// failure domain, or "" if none does.
func (k *Keeper) Owner(server string) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	list := k.preferenceList(server)
	if len(list.members) == 0 {
		return ""
	}
	return list.members[0].instance
}

// Candidates returns the IDs of the backend server's owner and of its standby,
// which may use the reserve.
func (k *Keeper) Candidates(server string) []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	list := k.preferenceList(server)
	ids := make([]string, 0, 2)
	for _, m := range list.members[:min(len(list.members), 2)] {
		ids = append(ids, m.instance)
	}
	return ids
}

// OwnerOf returns the ID of the instance that owns a backend server under an
// assignment, or "" if none does.
func OwnerOf(server string, a Assignment, departed func(member string) bool) string {
	members := rankMembers(server, a.members, func(m Member) bool { return departed(m.String()) })
	if len(members) == 0 {
		return ""
	}
	return members[0].instance
}

// Adopt adopts an encoded assignment if its epoch is newer than the adopted one.
func (k *Keeper) Adopt(value []byte, version uint64) {
	var a Assignment
	if err := json.Unmarshal(value, &a); err != nil {
		k.log.Warn("ignoring malformed assignment", "error", err)
		return
	}
	k.mu.Lock()
	if a.epoch <= k.assignment.epoch {
		k.mu.Unlock()
		return
	}
	if k.assignment.Has(k.self) && !a.Has(k.self) {
		if k.clock.Now()-k.adoptedAt > rejoinBackoffReset {
			k.removals = 0
		}
		k.removals++
	}
	k.assignment, k.assignmentValue, k.assignmentVersion = a, value, version
	k.adoptedAt = k.clock.Now()
	k.mismatchSince = 0
	k.mu.Unlock()
	k.log.Info("assignment adopted", "epoch", a.epoch, "members", memberStrings(a.members), "writer", a.writer)
	k.callbacks.AssignmentChanged()
}

// SetLeaving marks the lease as leaving and renews it. The caller must have stopped
// admitting requests.
func (k *Keeper) SetLeaving(ctx context.Context) {
	k.mu.Lock()
	k.leaving = true
	k.mu.Unlock()
	k.renew(ctx)
}

// SetList records the instances on the platform's current instance list.
func (k *Keeper) SetList(instances []waxfleet.Instance) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.clock.Now()
	k.lastListAt = now
	if k.firstListAt == 0 {
		k.firstListAt = now
	}
	for _, i := range instances {
		k.lastListed[i.ID()] = now
	}
}

// renew reads the assignment and then writes the lease, in this order, so that the
// epoch in the lease is one that this instance has adopted.
func (k *Keeper) renew(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, 2*platformTimeout.Duration())
	defer cancel()
	sent := k.clock.Now()
	if err := k.readAssignment(ctx); err != nil {
		k.setPlatformReachable(false)
		k.log.WarnContext(ctx, "lease renewal failed: could not read the assignment", "error", err)
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
		k.log.ErrorContext(ctx, "could not encode the lease", "error", err)
		return
	}
	stored, err := k.store.Put(ctx, kind, k.self.instance, value, version)
	if waxfleet.CodeOf(err) == waxfleet.CodeObjectConflict {
		stored, err = k.replaceLease(ctx, kind, value)
	}
	if err != nil {
		k.setPlatformReachable(false)
		k.log.WarnContext(ctx, "lease renewal failed", "error", err)
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.leaseVersion = stored.Version()
	k.leaseUntil = sent + LeaseTTL
	k.platformReachable = true
}

// replaceLease overwrites the lease of an earlier incarnation, or an own write
// whose response was lost. It never overwrites the lease of a later incarnation.
func (k *Keeper) replaceLease(ctx context.Context, kind string, value []byte) (waxfleet.Object, error) {
	current, err := k.store.Get(ctx, kind, k.self.instance)
	if err != nil {
		return waxfleet.Object{}, err
	}
	var existing Lease
	if json.Unmarshal(current.Value(), &existing) == nil && existing.Incarnation > k.self.incarnation {
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
	k.Adopt(o.Value(), o.Version())
	return nil
}

func (k *Keeper) watch(ctx context.Context) error {
	k.mu.Lock()
	after := k.assignmentVersion
	k.mu.Unlock()
	o, err := k.store.Watch(ctx, waxfleet.ObjectKindAssignment, k.domain, after)
	if err != nil {
		return err
	}
	if o.Version() > after {
		k.Adopt(o.Value(), o.Version())
	}
	return nil
}

func (k *Keeper) setPlatformReachable(ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.platformReachable = ok
}

// reconcile reads the leases of members that may still act under an earlier epoch,
// and writes a new assignment when the live members differ from the assigned ones.
func (k *Keeper) reconcile(ctx context.Context) {
	if !k.LeaseValid() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, 2*platformTimeout.Duration())
	defer cancel()
	k.readUnsettledLeases(ctx)
	desired := k.desiredMembers()
	if desired == nil || !k.isWriteTurn(desired) {
		return
	}
	k.writeAssignment(ctx, desired)
}

// desiredMembers returns the members for the next assignment, or nil if the current
// assignment is up to date.
func (k *Keeper) desiredMembers() []Member {
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
		k.mismatchSince = 0
		return nil
	}
	if k.mismatchSince == 0 {
		k.mismatchSince = k.clock.Now()
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

// isWriteTurn reports whether this instance should write the next assignment now.
// It staggers the writers by rank, so that usually only one writes; the conditional
// update resolves races.
func (k *Keeper) isWriteTurn(desired []Member) bool {
	ids := make([]string, len(desired))
	for i, m := range desired {
		ids[i] = m.instance
	}
	rank := slices.Index(waxplace.Rank(k.domain, ids), k.self.instance)
	if rank < 0 {
		rank = len(ids)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.clock.Now()
	if now-k.startedAt < joinDelay {
		return false
	}
	delay := waxfleet.Millis(rank) * writeStagger
	if k.removals > 0 && !k.assignment.Has(k.self) {
		delay += min(rejoinBackoff<<min(k.removals, 5), rejoinBackoffMax)
	}
	return now-k.mismatchSince >= delay
}

func (k *Keeper) writeAssignment(ctx context.Context, members []Member) {
	k.mu.Lock()
	view := (*keeperView)(k)
	current := k.assignment
	version := k.assignmentVersion
	var history [][]Member
	for _, group := range append([][]Member{current.members}, current.history...) {
		if len(group) > 0 && (len(history) == 0 || !view.settled(group, current.epoch)) {
			history = append(history, group)
		}
	}
	k.mu.Unlock()
	next := NewAssignment(current.epoch+1, members, history, k.self.String())
	value, err := json.Marshal(next)
	if err != nil {
		k.log.ErrorContext(ctx, "could not encode the assignment", "error", err)
		return
	}
	o, err := k.store.Put(ctx, waxfleet.ObjectKindAssignment, k.domain, value, version)
	if err != nil {
		// Another writer won the race, or the response was lost: read the object to
		// find out.
		if readErr := k.readAssignment(ctx); readErr != nil {
			k.log.WarnContext(ctx, "could not write the assignment", "error", err)
		}
		return
	}
	k.Adopt(value, o.Version())
}

// readUnsettledLeases reads the leases of the members that may still hold a share
// under an earlier epoch, so that their expiry can be detected.
func (k *Keeper) readUnsettledLeases(ctx context.Context) {
	for _, m := range k.unsettledMembers() {
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
			seen = observedLease{version: o.Version(), firstRead: k.clock.Now(), lease: lease}
		}
		seen.lastRead = max(seen.lastRead, sent)
		k.leases[m.instance] = seen
		k.mu.Unlock()
	}
}

// unsettledMembers returns the members of earlier epochs that may still act under
// them.
func (k *Keeper) unsettledMembers() []Member {
	k.mu.Lock()
	defer k.mu.Unlock()
	view := (*keeperView)(k)
	var unsettled []Member
	for _, group := range k.assignment.history {
		for _, m := range group {
			settled := m == k.self || view.Departed(m) || view.AdoptedEpoch(m, k.assignment.epoch) || view.Terminated(m)
			if !settled && !slices.Contains(unsettled, m) {
				unsettled = append(unsettled, m)
			}
		}
	}
	return unsettled
}

// keeperView implements MembershipView. The caller holds the keeper's lock.
type keeperView Keeper

// Departed implements MembershipView.
func (v *keeperView) Departed(m Member) bool { return v.peers.Departed(m.String()) }

// AdoptedEpoch implements MembershipView.
func (v *keeperView) AdoptedEpoch(m Member, epoch uint64) bool {
	if m == v.self {
		return v.assignment.epoch >= epoch
	}
	if v.peers.Epoch(m.String()) >= epoch {
		return true
	}
	seen, ok := v.leases[m.instance]
	return ok && seen.lease.Incarnation == m.incarnation && seen.lease.EpochSeen >= epoch
}

// Terminated implements MembershipView.
func (v *keeperView) Terminated(m Member) bool {
	if m == v.self {
		return false
	}
	if v.peers.Restarted(m.String()) {
		return true
	}
	if seen, ok := v.leases[m.instance]; ok && seen.lease.Incarnation > m.incarnation {
		return true
	}
	// The list lags, so a member that has just started may be missing. Absence is
	// proof only after the member was known to be alive.
	lastAlive := max(v.lastListed[m.instance], v.peers.LastHeard(m.String()), v.adoptedAt, v.firstListAt)
	return v.firstListAt != 0 && v.lastListAt-lastAlive > UnlistedTimeout
}

// LeaseExpired implements MembershipView. It requires two reads of the same lease
// version more than LeaseExpiryTimeout apart, both after the epoch was adopted. A
// renewal that began before the epoch was written may still be stored later, but
// its TTL counts from when it began.
func (v *keeperView) LeaseExpired(m Member) bool {
	seen, ok := v.leases[m.instance]
	return ok && seen.lastRead-max(seen.firstRead, v.adoptedAt) > LeaseExpiryTimeout
}

// LastHeard implements MembershipView.
func (v *keeperView) LastHeard(m Member) waxfleet.Millis { return v.peers.LastHeard(m.String()) }

// LastAcknowledged implements MembershipView.
func (v *keeperView) LastAcknowledged(m Member) waxfleet.Millis {
	return v.peers.LastAcknowledged(m.String())
}

// settled reports whether no member of the group can still act under an epoch
// before the given one.
func (v *keeperView) settled(group []Member, epoch uint64) bool {
	for _, m := range group {
		if !v.Departed(m) && !v.AdoptedEpoch(m, epoch) && !v.Terminated(m) {
			return false
		}
	}
	return true
}
