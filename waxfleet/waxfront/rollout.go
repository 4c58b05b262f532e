package waxfront

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxforward"
	"waxwingdrift.org/waxfleet/waxgossip"
	"waxwingdrift.org/waxfleet/waxmetric"
	"waxwingdrift.org/waxfleet/waxpeer"
	"waxwingdrift.org/waxfleet/waxplace"
	"waxwingdrift.org/waxfleet/waxrollout"
	"waxwingdrift.org/waxfleet/waxwire"
)

const (
	// rolloutInterval is the interval between two looks at the evidence and the record.
	rolloutInterval waxfleet.Millis = 100
	// rolloutCallTimeout is the timeout of a call to the store.
	rolloutCallTimeout waxfleet.Millis = 1_000
	// rolloutReadAge is the age from which a copy of a record is read from the store. The
	// holder renews it each second, and datagrams bring it; a copy older than 2 s lowers the
	// share. rolloutReadInterval is the minimum interval between two reads.
	rolloutReadAge      waxfleet.Millis = 1_600
	rolloutReadInterval waxfleet.Millis = 500
	// idleReadAge is the age for orders without a record, as those that can't run yet, at all
	// but the first rolloutReaders instances: whoever writes the first record tells them.
	idleReadAge waxfleet.Millis = 10_000
	// rolloutReportInterval is the minimum interval between two reports to the same scope. It
	// is below the interval of datagrams, which early ones would double.
	rolloutReportInterval waxfleet.Millis = 150
	// rolloutReportTime is how long the record of a rollout that has ended is reported.
	rolloutReportTime waxfleet.Millis = 10_000
	// statusReadTime is how long a status that this instance has written counts although its
	// copy of the order shows none: the store may not return it.
	statusReadTime waxfleet.Millis = 2_000
	// maxReportCells is the maximum number of cells in a datagram; each takes up to about 120
	// bytes.
	maxReportCells = 8
	// rolloutCatchUp is how long an instance that has started waits for the records of orders
	// before it serves without them.
	rolloutCatchUp waxfleet.Millis = 2_000
	// judgeTime is the time in which the holder of a lease judges evidence that this instance has
	// judged, and unheardTime the age of a record from which there seems to be no holder that
	// reaches the store: two renewals.
	judgeTime   waxfleet.Millis = 3_000
	unheardTime waxfleet.Millis = 2_000
	// rolloutReaders is a number of instances; see idleReadAge.
	rolloutReaders = 3
	// domainSenderPrefix marks the sender of the sums of a failure domain.
	domainSenderPrefix = "domain "
)

// rolloutOptions configures a rollouts.
type rolloutOptions struct {
	instance, failureDomain string
	// incarnation tells the processes of this instance apart.
	incarnation int64
	clock       *waxfleet.Clock
	log         *slog.Logger
	bounds      waxrollout.Bounds
	records     waxfleet.RecordStore
	writeStatus func(ctx context.Context, name string, status waxfleet.RolloutStatus) error
	// storeReachable reports whether the store responds, and servers returns the number of
	// servers of each version of a service, and the requests in flight of all instances at
	// others than the given version. known reports whether the configuration has a service.
	storeReachable func() bool
	servers        func(service, version string) (byVersion map[string]int, othersInFlight int)
	known          func(service string) bool
	// rank returns the position of this instance among the live ones in an order that depends
	// on a key, and instances the number of instances.
	rank      func(key uint64) int
	instances func() int
	// inGroup reports whether the named instance sends its reports to this one.
	inGroup func(name string) bool
	// flush requests a datagram soon.
	flush   func()
	observe func(r waxmetric.Rollout)
}

// rolloutOrder is an order as last read.
type rolloutOrder struct {
	rollout waxfleet.Rollout
	// sinceStart is true if the order was given after the first list.
	sinceStart bool
}

// recordCopy is a copy of a record.
type recordCopy struct {
	record   waxrollout.Record
	revision waxfleet.Revision
	// asOf is a time at which the store had the record.
	asOf waxfleet.Millis
}

// serviceRollout is the state of the rollout of one service. Only the goroutine of rollouts
// uses it, but for what it publishes.
type serviceRollout struct {
	controller *waxrollout.Controller
	copy       recordCopy
	// name is the name of the order's object, or empty without an order.
	name  string
	order rolloutOrder

	// What follows belongs to the order of the record.
	ledger    *waxrollout.Ledger
	evaluator *waxrollout.Evaluator
	hold      *waxrollout.Hold
	budget    *waxrollout.Budget
	held      bool
	// foundAt is when this instance found the version bad, or -1.
	foundAt waxfleet.Millis

	// written is the status that this instance has written last, at writtenAt.
	written   waxrollout.Status
	writtenAt waxfleet.Millis
	// logged is what was logged last of the record and of an invalid order.
	logged        string
	loggedInvalid string
	changedAt     waxfleet.Millis
}

// rollouts follows the orders to roll software versions out, takes part in deciding on them,
// and tells the forwarder at which versions requests may run. Its methods are safe for
// concurrent use.
type rollouts struct {
	rolloutOptions
	// current holds what the forwarder uses, by service.
	current atomic.Pointer[map[string]*waxforward.Rollout]
	// caughtUp is true once current rests on the orders and their records.
	caughtUp atomic.Bool
	wake     chan struct{}
	// results receives functions that take in the outcome of a call to the store.
	results chan func()

	// Only the goroutine uses these.
	services    map[string]*serviceRollout
	calling     bool
	loadedAt    waxfleet.Millis
	recordsRead bool
	readAt      waxfleet.Millis
	readNow     bool
	unreadable  map[string]bool

	mu       sync.Mutex
	orders   map[string]rolloutOrder
	loaded   bool
	restored bool
	junk     map[string]string
	copies   []recordCopy
	// ledgers holds the ledgers by the keys of their orders, and domains the failure domains
	// whose sums arrive from outside of the group.
	ledgers map[string]*waxrollout.Ledger
	domains map[string]bool
	// reportable holds what is reported to other instances, and reported the time of the last
	// report to each scope.
	reportable []reportableRollout
	reported   map[waxgossip.Scope]waxfleet.Millis
}

// reportableRollout is what is reported of a rollout.
type reportableRollout struct {
	copy   recordCopy
	ledger *waxrollout.Ledger
}

// newRollouts returns a rollouts. Its run method does the work.
func newRollouts(opts rolloutOptions) *rollouts {
	r := &rollouts{
		rolloutOptions: opts,
		wake:           make(chan struct{}, 1),
		results:        make(chan func(), 1),
		services:       map[string]*serviceRollout{},
		readNow:        true,
		unreadable:     map[string]bool{},
		orders:         map[string]rolloutOrder{},
		junk:           map[string]string{},
		ledgers:        map[string]*waxrollout.Ledger{},
		domains:        map[string]bool{},
		reported:       map[waxgossip.Scope]waxfleet.Millis{},
	}
	r.current.Store(&map[string]*waxforward.Rollout{})
	return r
}

// of returns the rollout of a service for the forwarder, or nil.
func (r *rollouts) of(service string) *waxforward.Rollout { return (*r.current.Load())[service] }

// run decides and acts until ctx ends.
func (r *rollouts) run(ctx context.Context) {
	go func() {
		for r.clock.Sleep(ctx, rolloutInterval) == nil {
			r.notify()
		}
	}()
	for {
		select {
		case <-ctx.Done():
			return
		case done := <-r.results:
			r.calling = false
			done()
		case <-r.wake:
		}
		r.update(ctx)
	}
}

func (r *rollouts) notify() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// apply applies a batch of orders. An order that can't be decoded changes nothing.
func (r *rollouts) apply(b waxfleet.Batch[waxfleet.Rollout], _ waxfleet.Millis) {
	if !b.Full && len(b.Records) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	listed := map[string]bool{}
	for _, rec := range b.Records {
		listed[rec.Name] = !rec.Deleted
		switch {
		case rec.Deleted:
			delete(r.orders, rec.Name)
			delete(r.junk, rec.Name)
			r.log.Info("rollout order withdrawn", "order", rec.Name, "revision", rec.Revision)
		case !rec.Decoded:
			r.logJunkLocked(rec.Name, rec.DecodeError)
		default:
			r.applyOrderLocked(rec)
		}
	}
	if b.Full {
		maps.DeleteFunc(r.orders, func(name string, _ rolloutOrder) bool { return !listed[name] })
	}
	r.restored = r.restored || b.Restored
	r.loaded = true
	r.notify()
}

// applyOrderLocked adds or changes an order. The caller holds the lock.
func (r *rollouts) applyOrderLocked(rec waxfleet.Record[waxfleet.Rollout]) {
	delete(r.junk, rec.Name)
	o, known := r.orders[rec.Name]
	next := rec.Value
	if known && sameOrder(o.rollout, next) {
		o.rollout.Status = next.Status
		r.orders[rec.Name] = o
		return
	}
	next.Created = rec.Revision
	r.orders[rec.Name] = rolloutOrder{rollout: next, sinceStart: r.loaded}
	r.log.Info("rollout ordered", "order", rec.Name, "service", next.Service, "to", next.To,
		"duration-ms", int64(next.Duration), "revision", rec.Revision)
}

// logJunkLocked logs an order that can't run, once. The caller holds the lock.
func (r *rollouts) logJunkLocked(name, reason string) {
	if r.junk[name] == reason {
		return
	}
	r.junk[name] = reason
	r.log.Warn("rollout order is invalid", "code", int(waxfleet.CodeRolloutInvalid), "order", name, "error", reason)
}

// takeOrders returns the orders by service, each with the name of its object, and whether they
// were read.
func (r *rollouts) takeOrders() (byService map[string]rolloutOrder, names map[string]string, loaded bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	byService, names = map[string]rolloutOrder{}, map[string]string{}
	for _, name := range slices.Sorted(maps.Keys(r.orders)) {
		o := r.orders[name]
		service := o.rollout.Service
		if other, ok := names[service]; ok {
			// The one that bears the name of the service counts, else the first.
			if name != service {
				r.logJunkLocked(name, "service has another order: "+other)
				continue
			}
			r.logJunkLocked(other, "service has another order: "+name)
		}
		byService[service], names[service] = o, name
	}
	if r.restored {
		r.restored, r.readNow = false, true
		r.recordsRead = false
	}
	return byService, names, r.loaded
}

// update takes in what is new, acts, and publishes what the forwarder uses.
func (r *rollouts) update(ctx context.Context) {
	now := r.clock.Now()
	orders, names, loaded := r.takeOrders()
	r.takeCopies()
	for service := range orders {
		if r.services[service] == nil {
			r.services[service] = r.newService()
		}
	}
	for service, s := range r.services {
		o := orders[service]
		r.readNow = r.readNow || o.rollout.Service != "" && !sameOrder(o.rollout, s.order.rollout)
		s.name, s.order = names[service], o
	}
	published := make(map[string]*waxforward.Rollout, len(r.services))
	for _, service := range slices.Sorted(maps.Keys(r.services)) {
		r.step(ctx, service, r.services[service], loaded, now)
		published[service] = r.publish(service, r.services[service], now)
	}
	r.current.Store(&published)
	r.checkCaughtUp(loaded, now)
	r.setReportable(now)
	r.readIfDue(ctx, now)
}

// checkCaughtUp sets caughtUp once the orders were read, and the records of all of them. Before,
// this instance would send requests to a version that was found bad, or to none once one was
// completed.
func (r *rollouts) checkCaughtUp(loaded bool, now waxfleet.Millis) {
	if !loaded || r.caughtUp.Load() {
		return
	}
	if r.loadedAt == 0 {
		r.loadedAt = now
	}
	known := r.recordsRead
	if !known && len(r.services) > 0 {
		known = true
		for _, s := range r.services {
			known = known && s.copy.record.Exists()
		}
	}
	if known || now-r.loadedAt >= rolloutCatchUp {
		r.caughtUp.Store(true)
	}
}

// sameOrder reports whether two orders ask for the same.
func sameOrder(a, b waxfleet.Rollout) bool {
	return a.Service == b.Service && a.To == b.To && a.Duration == b.Duration
}

func (r *rollouts) newService() *serviceRollout {
	return &serviceRollout{controller: waxrollout.NewController(r.instance, r.bounds)}
}

// orderOf returns the order of a service as far as it is known, or the zero value.
func (s *serviceRollout) orderOf() waxrollout.Order {
	v := s.order.rollout
	if v.Service == "" {
		return waxrollout.Order{}
	}
	return waxrollout.NewOrder(v.Service, v.To, v.Duration, v.Created)
}

// status returns the status of the order's object as far as it is known.
func (s *serviceRollout) status(now waxfleet.Millis) waxrollout.Status {
	v := s.order.rollout.Status
	if v == (waxfleet.RolloutStatus{}) && s.written != (waxrollout.Status{}) && now-s.writtenAt >= statusReadTime {
		return s.written
	}
	return waxrollout.NewStatus(waxrollout.State(v.State), v.To)
}

// step lets the controller of a service decide, and starts what it asks for.
func (r *rollouts) step(ctx context.Context, service string, s *serviceRollout, loaded bool, now waxfleet.Millis) {
	order := s.orderOf()
	servers, othersInFlight := r.servers(service, cmp.Or(order.To(), s.copy.record.Order().To()))
	in := waxrollout.Input{
		Now: now, Order: order, Status: s.status(now), Record: s.copy.record, Revision: s.copy.revision,
		StoreAnswers: loaded && r.recordsRead && !r.calling && r.storeReachable(),
		Rank:         r.rank(waxpeer.NameHash(service)), Servers: servers, OldInFlight: othersInFlight,
	}
	if order.Exists() {
		err := order.Validate(r.known(service), servers)
		in.Valid = err == nil
		r.logInvalid(s, order, err)
	}
	if s.ledger != nil {
		in.Total = s.ledger.Total()
		in.Finding = s.evaluator.Add(now, in.Total, servers)
	}
	action := s.controller.Step(in)
	r.follow(s, now)
	r.logRecord(service, s, in)
	if s.hold != nil {
		r.setHeld(service, s, s.hold.Active(in.Total, s.controller.Known()) || s.distrusts(in), in)
	}
	r.observeView(service, s, in)
	switch action.Kind {
	case waxrollout.ActionWriteRecord:
		r.writeRecord(ctx, service, s, action, in)
	case waxrollout.ActionWriteStatus:
		r.write(ctx, service, s, action)
	}
}

// distrusts reports whether the instance itself finds the version bad, and the holder has not
// had the time to judge the same evidence, or can't write, as while the store is away. A holder
// that goes on later has found otherwise.
func (s *serviceRollout) distrusts(in waxrollout.Input) bool {
	if in.Finding.Verdict != waxrollout.VerdictBad {
		s.foundAt = -1
		return false
	}
	if s.foundAt < 0 {
		s.foundAt = in.Now
	}
	return in.Now-s.foundAt < judgeTime || in.Now-s.copy.asOf > unheardTime
}

// follow begins new counts when the known record is that of another order.
func (r *rollouts) follow(s *serviceRollout, now waxfleet.Millis) {
	record := s.controller.Known()
	key := record.Order().Key()
	if !record.Exists() || s.ledger != nil && s.ledger.OrderKey() == key {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.ledger != nil {
		delete(r.ledgers, s.ledger.OrderKey())
	}
	s.ledger, s.evaluator, s.hold = waxrollout.NewLedger(key), waxrollout.NewEvaluator(record.Order().To()), waxrollout.NewHold()
	s.budget = waxrollout.NewBudget(r.bounds, r.instances(), s.order.sinceStart)
	s.held, s.foundAt, s.changedAt = false, -1, now
	r.ledgers[key] = s.ledger
}

// publish returns what the forwarder uses, or nil if the service has neither an order nor a
// record.
func (r *rollouts) publish(service string, s *serviceRollout, now waxfleet.Millis) *waxforward.Rollout {
	order, known := s.orderOf(), s.controller.Known()
	servers, _ := r.servers(service, order.To())
	split := waxrollout.NewSplit(waxrollout.SplitInput{
		Bounds: r.bounds, Order: order, Record: known, Age: now - s.copy.asOf, Hold: s.held, Servers: servers,
	})
	if !split.Active() {
		return nil
	}
	covers := known.Exists() && order.Exists() && known.Order().Same(order)
	return &waxforward.Rollout{
		Split: split, Budget: s.budget, Ledger: s.ledger, Hold: s.hold,
		Closed: covers && (known.Phase() == waxrollout.PhaseRolledBack || s.held && known.Phase() != waxrollout.PhaseCompleted),
	}
}

// call makes a call to the store in the background; one at a time, because each step depends
// on the one before. done takes in the outcome.
func (r *rollouts) call(ctx context.Context, f func(ctx context.Context) (done func())) {
	r.calling = true
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, rolloutCallTimeout.Duration())
		defer cancel()
		done := f(callCtx)
		select {
		case r.results <- done:
		case <-ctx.Done():
		}
	}()
}

// writeRecord writes a record.
func (r *rollouts) writeRecord(ctx context.Context, service string, s *serviceRollout, a waxrollout.Action, in waxrollout.Input) {
	started := r.clock.Now()
	r.call(ctx, func(ctx context.Context) func() {
		revision, err := r.records.Write(ctx, waxfleet.Text{Name: service, Revision: a.Revision, Text: a.Record.Encode()})
		return func() {
			if err != nil {
				r.writeFailed(service, s, a, err)
				return
			}
			s.controller.Wrote(r.clock.Now(), revision)
			s.copy = recordCopy{record: a.Record, revision: revision, asOf: started}
			if !a.Changed {
				return
			}
			s.changedAt = started
			f := in.Finding
			r.log.Info("rollout step", "code", int(waxfleet.CodeRolloutStep), "service", service, "order", a.Record.Order().Key(),
				"phase", a.Record.Phase().String(), "share", a.Record.Share(), "reason", string(a.Reason), "term", a.Record.Term(),
				"elapsed-ms", int64(a.Record.Elapsed()), "requests", a.Record.Requests(), "exposed", a.Record.Exposed(),
				"responses", f.Responses, "bad", f.Bad, "route", f.Route, "cause", f.Cause, "old-rate", f.OldRate,
				"median-ms", f.Median, "old-median-ms", f.OldMedian, "old-in-flight", in.OldInFlight, "revision", revision)
			r.flush()
		}
	})
}

// writeFailed takes in that a record was not written, or maybe not.
func (r *rollouts) writeFailed(service string, s *serviceRollout, a waxrollout.Action, err error) {
	s.controller.Lost()
	r.readNow = true
	r.log.Warn("rollout record not written", "code", int(waxfleet.CodeRolloutLeaseLost), "service", service,
		"phase", a.Record.Phase().String(), "share", a.Record.Share(), "reason", string(a.Reason), "term", a.Record.Term(), "error", err.Error())
}

// write writes the status of the order of a service.
func (r *rollouts) write(ctx context.Context, service string, s *serviceRollout, a waxrollout.Action) {
	name := s.name
	status := waxfleet.RolloutStatus{State: string(a.Status.State()), To: a.Status.To()}
	r.call(ctx, func(ctx context.Context) func() {
		err := r.writeStatus(ctx, name, status)
		return func() {
			if err != nil {
				r.log.Warn("rollout status not written", "code", int(waxfleet.CodeRolloutRecord), "service", service, "order", name,
					"state", status.State, "to", status.To, "error", err.Error())
				return
			}
			s.written, s.writtenAt = a.Status, r.clock.Now()
			r.log.Info("rollout status written", "code", int(waxfleet.CodeRolloutStep), "service", service, "order", name,
				"state", status.State, "to", status.To)
		}
	})
}

// readIfDue reads all records if some copy is too old.
func (r *rollouts) readIfDue(ctx context.Context, now waxfleet.Millis) {
	due := r.readNow
	for service, s := range r.services {
		order, record := s.orderOf(), s.copy.record
		covers, maxAge := record.Exists() && record.Order().Same(order), rolloutReadAge
		if !covers && r.rank(waxpeer.NameHash(service)) >= rolloutReaders {
			maxAge = idleReadAge
		}
		under := !covers || !record.Phase().Terminal()
		due = due || order.Exists() && under && now-s.copy.asOf >= maxAge
	}
	if !due || r.calling || !r.storeReachable() || r.readAt != 0 && now-r.readAt < rolloutReadInterval {
		return
	}
	r.readAt, r.readNow = now, false
	r.call(ctx, func(ctx context.Context) func() {
		texts, err := r.records.Read(ctx)
		return func() {
			if err != nil {
				r.log.Warn("rollout records not read", "code", int(waxfleet.CodeRolloutRecord), "error", err.Error())
				r.readNow = true
				return
			}
			r.recordsRead = true
			r.takeTexts(texts, now)
		}
	})
}

// takeTexts takes in all stored records, as of a time.
func (r *rollouts) takeTexts(texts []waxfleet.Text, asOf waxfleet.Millis) {
	found := map[string]bool{}
	for _, t := range texts {
		found[t.Name] = true
		record, err := waxrollout.DecodeRecord(t.Text)
		if err != nil && !r.unreadable[t.Name] {
			r.log.Warn("rollout record is unreadable", "code", int(waxfleet.CodeRolloutRecord), "service", t.Name, "error", err.Error())
		}
		r.unreadable[t.Name] = err != nil
		if r.services[t.Name] == nil {
			r.services[t.Name] = r.newService()
		}
		r.services[t.Name].offer(recordCopy{record: record, revision: t.Revision, asOf: asOf})
	}
	for name, s := range r.services {
		if !found[name] && s.copy.asOf <= asOf {
			s.copy = recordCopy{asOf: asOf}
		}
	}
}

// offer replaces the copy of the record by one that is not older.
func (s *serviceRollout) offer(c recordCopy) {
	switch {
	case c.revision > s.copy.revision:
		s.copy = c
	case c.revision == s.copy.revision:
		s.copy.asOf = max(s.copy.asOf, c.asOf)
	}
}

// takeCopies takes in the copies of records that other instances have sent.
func (r *rollouts) takeCopies() {
	r.mu.Lock()
	copies := r.copies
	r.copies = nil
	r.mu.Unlock()
	for _, c := range copies {
		service := c.record.Order().Service()
		if r.services[service] == nil {
			r.services[service] = r.newService()
		}
		r.services[service].offer(c)
	}
}

// merge takes in the reports of another instance. scope is that of the instances which do not
// get them from the sender: ScopeGroup for reports from outside of the group.
func (r *rollouts) merge(reports []*waxwire.RolloutReport, scope waxgossip.Scope) {
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range reports {
		if m.GetRecord() != "" {
			record, err := waxrollout.DecodeRecord(m.GetRecord())
			if err == nil {
				r.copies = append(r.copies, recordCopy{
					record: record, revision: waxfleet.Revision(m.GetRevision()), asOf: now - waxfleet.Millis(max(m.GetAgeMs(), 0)),
				})
			}
		}
		ledger := r.ledgers[m.GetOrder()]
		if ledger == nil || m.GetSender() == r.instance || m.GetSender() == domainSenderPrefix+r.failureDomain {
			continue
		}
		if domain, ok := strings.CutPrefix(m.GetSender(), domainSenderPrefix); ok && scope == waxgossip.ScopeGroup {
			r.domains[domain] = true
		}
		ledger.Merge(m.GetOrder(), m.GetSender(), strconv.FormatInt(m.GetIncarnation(), 10), decodeRolloutCounts(m))
	}
}

// setReportable sets what is reported to other instances: rollouts under way, and those that
// have ended for a while.
func (r *rollouts) setReportable(now waxfleet.Millis) {
	var out []reportableRollout
	for _, service := range slices.Sorted(maps.Keys(r.services)) {
		s := r.services[service]
		record := s.copy.record
		if s.ledger != nil && record.Exists() && (!record.Phase().Terminal() || now-s.changedAt < rolloutReportTime) {
			out = append(out, reportableRollout{copy: s.copy, ledger: s.ledger})
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reportable = out
}

// reports returns the reports that are due for the scope. An instance reports its own counts to
// its group, and what other failure domains have sent to it. Gateways report the sum of their
// failure domain to others.
func (r *rollouts) reports(scope waxgossip.Scope) []*waxwire.RolloutReport {
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if last, ok := r.reported[scope]; len(r.reportable) == 0 || ok && now-last < rolloutReportInterval {
		return nil
	}
	r.reported[scope] = now
	var out []*waxwire.RolloutReport
	for _, v := range r.reportable {
		var reports []*waxwire.RolloutReport
		key := v.ledger.OrderKey()
		if scope == waxgossip.ScopeRemote {
			reports = encodeRolloutCounts(key, domainSenderPrefix+r.failureDomain, 0, v.ledger.SumOf(true, r.inGroup))
		} else {
			reports = encodeRolloutCounts(key, r.instance, r.incarnation, v.ledger.Own())
			for _, domain := range slices.Sorted(maps.Keys(r.domains)) {
				name := domainSenderPrefix + domain
				sum := v.ledger.SumOf(false, func(sender string) bool { return sender == name })
				if len(sum.Cells) > 0 {
					reports = append(reports, encodeRolloutCounts(key, name, 0, sum)...)
				}
			}
		}
		reports[0].Record, reports[0].Revision = v.copy.record.Encode(), uint64(v.copy.revision)
		reports[0].AgeMs = int64(max(now-v.copy.asOf, 0))
		out = append(out, reports...)
	}
	return out
}

// encodeRolloutCounts returns the counts in at least one report.
func encodeRolloutCounts(key, sender string, incarnation int64, c waxrollout.Counts) []*waxwire.RolloutReport {
	newReport := func() *waxwire.RolloutReport {
		return &waxwire.RolloutReport{Order: key, Sender: sender, Incarnation: incarnation}
	}
	out := []*waxwire.RolloutReport{newReport()}
	for _, version := range slices.Sorted(maps.Keys(c.Crashed)) {
		out[0].Crashes = append(out[0].Crashes, &waxwire.RolloutCrashes{Version: version, Servers: c.Crashed[version]})
	}
	for k, cell := range c.Cells {
		last := out[len(out)-1]
		if len(last.Cells) == maxReportCells {
			last = newReport()
			out = append(out, last)
		}
		times := cell.Times[:]
		for len(times) > 0 && times[len(times)-1] == 0 {
			times = times[:len(times)-1]
		}
		last.Cells = append(last.Cells, &waxwire.RolloutCell{
			Version: k.Version, Route: k.Route, Requests: cell.Requests, Responses: cell.Responses, Bad: cell.Bad,
			Times: slices.Clone(times),
		})
	}
	return out
}

// decodeRolloutCounts returns the counts of a report.
func decodeRolloutCounts(m *waxwire.RolloutReport) waxrollout.Counts {
	c := waxrollout.Counts{Cells: map[waxrollout.CellKey]waxrollout.Cell{}, Crashed: map[string][]uint64{}}
	for _, v := range m.GetCells() {
		cell := waxrollout.Cell{Requests: v.GetRequests(), Responses: v.GetResponses(), Bad: v.GetBad()}
		copy(cell.Times[:], v.GetTimes())
		c.Cells[waxrollout.CellKey{Version: v.GetVersion(), Route: v.GetRoute()}] = cell
	}
	for _, v := range m.GetCrashes() {
		c.Crashed[v.GetVersion()] = v.GetServers()
	}
	return c
}

// logInvalid logs why an order can't run, once.
func (r *rollouts) logInvalid(s *serviceRollout, order waxrollout.Order, err error) {
	reason := ""
	if known := s.controller.Known(); err != nil && (!known.Exists() || !known.Order().Same(order)) {
		reason = err.Error()
	}
	if reason != "" && reason != s.loggedInvalid {
		r.log.Warn("rollout order is invalid", "code", int(waxfleet.CodeRolloutInvalid), "order", s.name, "key", order.Key(), "error", reason)
	}
	s.loggedInvalid = reason
}

// logRecord logs a record with another phase, share or holder than before.
func (r *rollouts) logRecord(service string, s *serviceRollout, in waxrollout.Input) {
	known := s.controller.Known()
	state := fmt.Sprint(known.Order().Key(), known.Phase(), known.Share(), known.Holder(), known.Term())
	if !known.Exists() || state == s.logged {
		return
	}
	s.logged, s.changedAt = state, in.Now
	r.log.Info("rollout record", "code", int(waxfleet.CodeRolloutStep), "service", service, "order", known.Order().Key(),
		"phase", known.Phase().String(), "share", known.Share(), "reason", string(known.Reason()), "holder", known.Holder(),
		"term", known.Term(), "elapsed-ms", int64(known.Elapsed()), "age-ms", int64(in.Now-s.copy.asOf), "revision", s.copy.revision)
}

// setHeld sets whether the instance sends nothing to the new version, and logs changes.
func (r *rollouts) setHeld(service string, s *serviceRollout, held bool, in waxrollout.Input) {
	if held == s.held {
		return
	}
	s.held = held
	known := s.controller.Known()
	responses, bad := in.Total.Responses(known.Order().To())
	r.log.Warn("rollout held", "code", int(waxfleet.CodeRolloutHeld), "service", service, "order", known.Order().Key(),
		"held", held, "phase", known.Phase().String(), "responses", responses, "bad", bad, "judged", known.JudgedBad(),
		"route", in.Finding.Route, "cause", in.Finding.Cause)
}

// observeView updates the metrics of a rollout.
func (r *rollouts) observeView(service string, s *serviceRollout, in waxrollout.Input) {
	known := s.controller.Known()
	if !known.Exists() {
		return
	}
	v := waxmetric.Rollout{
		Service: service, Version: known.Order().To(), Phase: int(known.Phase()), Share: known.Share(),
		Remaining: max(known.Order().Duration()-s.controller.Elapsed(in.Now), 0), Holds: s.controller.Holds(), Held: s.held,
	}
	v.Requests, v.Exposed = in.Total.Requests(v.Version)
	v.Responses, v.Failures = in.Total.Responses(v.Version)
	r.observe(v)
}

// newRollouts returns the rollouts of the instance. They run once the other parts do.
func (inst *Instance) newRollouts() *rollouts {
	settings := inst.opts.Settings
	return newRollouts(rolloutOptions{
		instance: settings.Instance, failureDomain: settings.FailureDomain, incarnation: int64(inst.opts.Clock.Wall()),
		clock: inst.opts.Clock, log: inst.log,
		bounds:  waxrollout.Bounds{ExposureRatio: settings.Bounds.ExposureRatio, ExposureSlack: settings.Bounds.ExposureSlack},
		records: inst.opts.Store.RolloutRecords(), writeStatus: inst.opts.Store.WriteRolloutStatus,
		storeReachable: func() bool { return inst.replicas.storeReachable() },
		servers:        inst.serversByVersion,
		known: func(service string) bool {
			t := inst.table.Load()
			if t == nil {
				return false
			}
			_, ok := t.Service(service)
			return ok
		},
		rank:      inst.liveRank,
		instances: func() int { return len(inst.Instances()) },
		inGroup: func(name string) bool {
			return slices.ContainsFunc(inst.exchanger.Topology().Group, func(p waxpeer.Peer) bool { return p.Name == name })
		},
		flush:   func() { inst.exchanger.Flush() },
		observe: inst.metrics.SetRollout,
	})
}

// serversByVersion returns the number of servers of each software version of a service that
// get requests, and the requests of all instances that are in flight at other versions than
// the given one.
func (inst *Instance) serversByVersion(service, version string) (byVersion map[string]int, othersInFlight int) {
	own, others := inst.servers.Counts(), inst.loads.Counts()
	byVersion = map[string]int{}
	for _, s := range inst.directory.Servers(service) {
		v := s.Entry().SoftwareVersion()
		if s.AcceptsWork() {
			byVersion[v]++
		}
		if v != version {
			hash := waxpeer.ServerHash(s.ID())
			othersInFlight += own[hash].InFlight + others[hash].InFlight
		}
	}
	return byVersion, othersInFlight
}

// liveRank returns the position of this instance in the rendezvous order for a key, among those
// that are not known to be gone: instances of the group that were not heard from lately.
func (inst *Instance) liveRank(key uint64) int {
	gone := map[string]bool{}
	for _, p := range inst.exchanger.Topology().Group {
		gone[p.Name] = !inst.loads.Alive(p.Name)
	}
	rank, own := 0, waxplace.Weight(key, waxpeer.NameHash(inst.opts.Settings.Instance))
	for _, name := range inst.Instances() {
		if !gone[name] && waxplace.Weight(key, waxpeer.NameHash(name)) > own {
			rank++
		}
	}
	return rank
}
