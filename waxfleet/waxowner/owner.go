package waxowner

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"sync"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxlease"
	"waxwingdrift.org/waxfleet/waxmember"
	"waxwingdrift.org/waxfleet/waxplace"
	"waxwingdrift.org/waxfleet/waxsuspect"
	"waxwingdrift.org/waxfleet/waxwire"
)

const (
	// tickInterval is the interval between checks of the queues. A queued request
	// times out at most this late.
	tickInterval waxfleet.Millis = 50
	// pollInterval is the interval between load reports of a backend server.
	pollInterval waxfleet.Millis = 1_000
	// standbyPollRounds is the number of poll rounds between load reports of a backend
	// server for which this instance is the standby.
	standbyPollRounds = 5
	// pollTimeout bounds one load report request.
	pollTimeout waxfleet.Millis = 1_000
	// pauseThreshold is the gap between ticks beyond which the process counts as
	// paused.
	pauseThreshold waxfleet.Millis = 2_000
	// pauseRefreshTimeout bounds fetching the newest assignment after a pause.
	pauseRefreshTimeout waxfleet.Millis = 2_000
	// suspectSpreadTimeout bounds sending a suspect record to other instances before
	// the entry instance can retry the request.
	suspectSpreadTimeout waxfleet.Millis = 500
)

// Ownership is the part of waxlease.Keeper that decides what this instance may
// admit.
type Ownership interface {
	Share(server string) waxlease.Share
	Owner(server string) string
	Candidates(server string) []string
}

// Dependencies are the dependencies and settings of an Owner.
type Dependencies struct {
	Clock      *waxfleet.Clock
	Config     waxfleet.ConfigSource
	Ownership  Ownership
	Table      *waxmember.Table
	Dispatcher waxfleet.Dispatcher
	Claims     waxfleet.ClaimStore
	Suspects   *waxsuspect.Registry
	Recorder   waxfleet.Recorder
	Log        *slog.Logger
	// SpreadSuspect sends the suspect record with the request digest to other
	// instances, before the entry instance can retry the request.
	SpreadSuspect func(ctx context.Context, digest string)
	// RefreshAssignment fetches the newest assignment from peers or the platform. It
	// is called after the process was paused.
	RefreshAssignment func(ctx context.Context)
	// MaxExceptions is the maximum number of chats to remember that are not placed at
	// their first choice.
	MaxExceptions int
}

// Owner admits requests to the backend servers that this instance owns and runs
// them. It is safe for concurrent use.
type Owner struct {
	Dependencies
	exceptions *waxplace.Exceptions

	mu sync.Mutex
	// admissions holds the admission states by backend server ID.
	admissions map[string]*admission
	// refreshing is set while the assignment is fetched after a pause.
	refreshing bool
	lastTickAt waxfleet.Millis
	stopping   bool
	// serverCounts holds the numbers of servers in the mean load, and listedCounts the
	// numbers of listed servers in failure domains in service, by service.
	serverCounts map[string]*waxplace.ServerCount
	listedCounts map[string]int
}

// New returns an owner and starts polling load reports and processing the queues,
// until ctx ends.
func New(ctx context.Context, deps Dependencies) *Owner {
	o := &Owner{
		Dependencies: deps, exceptions: waxplace.NewExceptions(deps.MaxExceptions),
		admissions: map[string]*admission{}, lastTickAt: deps.Clock.Now(),
		serverCounts: map[string]*waxplace.ServerCount{}, listedCounts: map[string]int{},
	}
	go func() {
		for o.Clock.Sleep(ctx, tickInterval) == nil {
			o.detectPause(ctx)
			o.tick()
		}
	}()
	go func() {
		for round := 0; o.Clock.Sleep(ctx, pollInterval) == nil; round++ {
			o.poll(ctx, round)
		}
	}()
	return o
}

// Stop ends admission permanently, before this instance departs. Running requests
// continue.
func (o *Owner) Stop() {
	o.mu.Lock()
	o.stopping = true
	o.mu.Unlock()
	o.tick()
}

// InFlight returns the number of requests running or queued at this instance.
func (o *Owner) InFlight() int {
	sum := 0
	for _, adm := range o.allAdmissions() {
		adm.mu.Lock()
		sum += adm.controller.InFlight() + adm.controller.Queued()
		adm.mu.Unlock()
	}
	return sum
}

// ExceptionCount returns the number of chats remembered as not placed at their first
// choice.
func (o *Owner) ExceptionCount() int { return o.exceptions.Len() }

// detectPause detects that the process was not scheduled for longer than
// pauseThreshold. It then suspends admission until the newest assignment has been
// fetched or the fetch has timed out, because another instance may have taken over.
func (o *Owner) detectPause(ctx context.Context) {
	now := o.Clock.Now()
	o.mu.Lock()
	gap := now - o.lastTickAt
	o.lastTickAt = now
	if gap <= pauseThreshold || o.refreshing {
		o.mu.Unlock()
		return
	}
	o.refreshing = true
	o.mu.Unlock()
	o.Log.WarnContext(ctx, "process was paused; suspending admission until the assignment is refreshed", "gap-ms", int64(gap))
	go func() {
		ctx, cancel := context.WithTimeout(ctx, pauseRefreshTimeout.Duration())
		defer cancel()
		o.RefreshAssignment(ctx)
		o.mu.Lock()
		defer o.mu.Unlock()
		o.refreshing = false
	}()
}

// usableShare returns the share of the load limit that may be used now. It is None if
// the last tick is longer ago than pauseThreshold: the process was paused and
// detectPause has not run yet.
func (o *Owner) usableShare(server string) waxlease.Share {
	o.mu.Lock()
	blocked := o.refreshing || o.stopping || o.Clock.Now()-o.lastTickAt > pauseThreshold
	o.mu.Unlock()
	if blocked {
		return waxlease.None
	}
	return o.Ownership.Share(server)
}

func (o *Owner) admissionInput(adm *admission) admissionInput {
	cfg := o.Config.Current()
	share := o.usableShare(adm.id)
	if !cfg.DomainInService(o.Table.Self().FailureDomain()) {
		share = waxlease.None
	}
	return admissionInput{
		now: o.Clock.Now(), share: share,
		limit:    o.loadLimit(cfg, adm.service),
		external: o.Table.External(adm.id),
	}
}

// loadLimit returns the current load limit of a service, in requests in flight per
// backend server. The counts of this instance are exact; those of other instances
// are as old as their last message.
func (o *Owner) loadLimit(cfg waxfleet.Config, service string) int {
	total, servers := o.Table.PeerLoad(service)
	for _, l := range o.Loads() {
		if l.GetService() == service {
			total += int(l.GetInFlight())
			servers += int(l.GetServers())
		}
	}
	return waxplace.AdmissionLimit(cfg.Limits(), total, o.countServers(service, servers))
}

// countServers returns the number of servers of a service over which the mean load is
// taken, from the number that instances report now.
func (o *Owner) countServers(service string, reported int) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	count, ok := o.serverCounts[service]
	if !ok {
		count = &waxplace.ServerCount{}
		o.serverCounts[service] = count
	}
	return count.Apply(o.Clock.Now(), reported, o.listedCounts[service])
}

// updateListedCounts counts the listed servers that can take requests, by service.
func (o *Owner) updateListedCounts() {
	cfg := o.Config.Current()
	counts := map[string]int{}
	for _, b := range o.Table.Servers() {
		if b.State() != waxfleet.StateLeaving && cfg.DomainInService(b.FailureDomain()) {
			counts[b.Service()]++
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.listedCounts = counts
}

// Loads returns the load of this instance's warm backend servers per service, sorted
// by service. It includes the requests still in flight at servers that this instance
// no longer owns.
func (o *Owner) Loads() []*waxwire.OwnedLoad {
	loads := map[string]*waxwire.OwnedLoad{}
	for _, adm := range o.allAdmissions() {
		owned := o.Ownership.Owner(adm.id) == o.Table.Self().ID()
		adm.mu.Lock()
		inFlight := adm.controller.InFlight()
		included := owned && adm.controller.Window().Warm() && !adm.leaving && o.Clock.Now() >= adm.deadUntil
		adm.mu.Unlock()
		if !included && (owned || inFlight == 0) {
			continue
		}
		l, ok := loads[adm.service]
		if !ok {
			l = &waxwire.OwnedLoad{Service: adm.service}
			loads[adm.service] = l
		}
		l.InFlight += int32(inFlight)
		if included {
			l.Servers++
		}
	}
	return slices.SortedFunc(maps.Values(loads), func(a, b *waxwire.OwnedLoad) int {
		return strings.Compare(a.GetService(), b.GetService())
	})
}

func (o *Owner) allAdmissions() []*admission {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Collect(maps.Values(o.admissions))
}

// admissionFor returns the admission state of a backend server of this failure
// domain, and creates it on first use.
func (o *Owner) admissionFor(id string) (*admission, bool) {
	b, listed := o.Table.Server(id)
	o.mu.Lock()
	defer o.mu.Unlock()
	adm, ok := o.admissions[id]
	if ok {
		return adm, true
	}
	if !listed || b.FailureDomain() != o.Table.Self().FailureDomain() {
		return nil, false
	}
	adm = newAdmission(b, o.Config.Current().Limits())
	o.admissions[id] = adm
	return adm, true
}

// tick applies the instance list and processes the queues. It keeps admission state
// only for the backend servers that this instance owns or is the standby for, and
// for those with requests still in flight: a failure domain has hundreds of others.
func (o *Owner) tick() {
	o.updateListedCounts()
	self := o.Table.Self()
	wanted := map[string]bool{}
	for _, b := range o.Table.Servers() {
		if b.FailureDomain() != self.FailureDomain() {
			continue
		}
		candidate := slices.Contains(o.Ownership.Candidates(b.ID()), self.ID())
		wanted[b.ID()] = candidate
		if adm, ok := o.findAdmission(b.ID()); ok || candidate {
			if !ok {
				adm, _ = o.admissionFor(b.ID())
			}
			adm.setServer(b)
		}
	}
	for _, adm := range o.allAdmissions() {
		candidate, listed := wanted[adm.id]
		if !listed {
			adm.markUnlisted()
		}
		adm.tick(o.admissionInput(adm))
		if !candidate && adm.retireIfIdle() {
			o.removeAdmission(adm)
		}
	}
}

func (o *Owner) findAdmission(id string) (*admission, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	adm, ok := o.admissions[id]
	return adm, ok
}

func (o *Owner) removeAdmission(adm *admission) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.admissions, adm.id)
}

// poll fetches load reports. In each round it polls the backend servers that this
// instance has a share of. Every standbyPollRounds rounds it polls all that this
// instance owns or is the standby for, so that it knows their state when it takes
// over.
func (o *Owner) poll(ctx context.Context, round int) {
	var wg sync.WaitGroup
	for _, adm := range o.allAdmissions() {
		if !slices.Contains(o.Ownership.Candidates(adm.id), o.Table.Self().ID()) {
			continue
		}
		if round%standbyPollRounds != 0 && o.Ownership.Share(adm.id) == waxlease.None {
			continue
		}
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, pollTimeout.Duration())
			defer cancel()
			r, err := o.Dispatcher.Load(ctx, adm.currentServer())
			if err != nil {
				o.Log.DebugContext(ctx, "could not fetch load report", "backend-server", adm.id, "error", err)
				return
			}
			adm.applyReport(r, o.admissionInput(adm))
		})
	}
	wg.Wait()
}

// BackendStates returns the backend server states for digests, sorted by ID: those
// of servers that this instance owns, and of servers where requests from an earlier
// ownership are still in flight.
func (o *Owner) BackendStates() []*waxwire.BackendState {
	var states []*waxwire.BackendState
	for _, adm := range o.allAdmissions() {
		id := adm.id
		owner := o.Ownership.Owner(id) == o.Table.Self().ID() && o.usableShare(id) != waxlease.None
		limit := o.loadLimit(o.Config.Current(), adm.service)
		adm.mu.Lock()
		inFlight := adm.controller.InFlight()
		if owner || inFlight > 0 {
			states = append(states, &waxwire.BackendState{
				Id: id, Service: adm.service, InFlight: int32(inFlight), Queued: int32(adm.controller.Queued()),
				Window: int32(adm.controller.Window().Size()), Warm: adm.controller.Window().Warm(), Leaving: adm.leaving,
				Dead: o.Clock.Now() < adm.deadUntil, Residual: !owner, Incarnation: adm.controller.Window().Incarnation(),
				Limit: int64(limit),
			})
		}
		adm.mu.Unlock()
	}
	slices.SortFunc(states, func(a, b *waxwire.BackendState) int { return strings.Compare(a.GetId(), b.GetId()) })
	return states
}
