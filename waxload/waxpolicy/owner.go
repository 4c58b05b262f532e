package waxpolicy

import (
	"fmt"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxadmit"
	"waxwingdrift.org/waxfleet/waxplace"
)

const (
	// maxRedirects is the maximum number of redirects that the entry router follows.
	maxRedirects = 4
	// allDomains stands for all failure domains where domains are ignored.
	allDomains = ""
)

// ownerPolicy is the policy of the router fleet. Each engine has one owner, a router
// that counts its load exactly. The home engine of a chat is the first in rendezvous
// order; its owner places the chat.
type ownerPolicy struct {
	sim *simulation
	// flat ranks the engines of all failure domains at once. Otherwise domains are
	// ranked first.
	flat    bool
	servers map[string]*waxadmit.Controller
	// exceptions holds, by home engine, the chats that are placed elsewhere.
	exceptions map[string]*waxplace.Exceptions
	owners     map[string]string
	// snapshots are the loads of the last ticks, newest last.
	snapshots []loadSnapshot
	waiting   map[uint64]*job
	// totals holds, by domain, the total load of all warm engines as the owners in the
	// domain see it.
	totals map[string]waxfleet.ServiceTotal
}

type loadSnapshot struct {
	at    waxfleet.Millis
	loads map[string]int
}

func newOwnerPolicy(sim *simulation, flat bool) *ownerPolicy {
	o := &ownerPolicy{
		sim: sim, flat: flat,
		servers:    map[string]*waxadmit.Controller{},
		exceptions: map[string]*waxplace.Exceptions{},
		owners:     map[string]string{},
		waiting:    map[uint64]*job{},
		totals:     map[string]waxfleet.ServiceTotal{},
	}
	for _, e := range sim.engines {
		o.servers[e.id] = waxadmit.NewController(sim.opts.Limits)
		o.exceptions[e.id] = waxplace.NewExceptions(sim.opts.MaxExceptions)
		o.owners[e.id] = waxplace.First(e.id, routersIn(e.domain, sim.opts))
	}
	return o
}

// routersIn returns the routers of a domain, or router 0 if it has none.
func routersIn(domain string, opts Options) []string {
	var ids []string
	for i := range opts.Routers {
		if domainName(i%opts.Domains) == domain {
			ids = append(ids, fmt.Sprintf("router-%d", i))
		}
	}
	if len(ids) == 0 {
		return []string{"router-0"}
	}
	return ids
}

// tick exchanges the loads between owners, delivers the load reports of the engines
// every reportPeriod, and admits waiting jobs.
func (o *ownerPolicy) tick() {
	now := o.sim.now
	v := loadSnapshot{at: now, loads: map[string]int{}}
	for _, e := range o.sim.engines {
		v.loads[e.id] = o.servers[e.id].Load()
		if e.up && now%reportPeriod == 0 {
			report := waxfleet.NewLoadReport(e.inFlight(), e.cold(now), false, fmt.Sprint("incarnation-", e.incarnation))
			o.servers[e.id].Window().ApplyReport(report)
		}
	}
	o.snapshots = append(o.snapshots, v)
	for len(o.snapshots) > 1 && o.snapshots[1].at <= now-o.sim.opts.ViewLag {
		o.snapshots = o.snapshots[1:]
	}
	for i := range o.sim.opts.Domains {
		o.updateTotal(domainName(i))
	}
	for _, e := range o.sim.engines {
		o.serveQueue(e)
	}
}

// updateTotal updates the total load that the owners in the domain see: their own
// domain as of the last tick, other domains as of ViewLag ago.
func (o *ownerPolicy) updateTotal(domain string) {
	newest := o.snapshots[len(o.snapshots)-1]
	lagging := o.snapshots[0]
	for _, v := range o.snapshots {
		if v.at <= o.sim.now-o.sim.opts.ViewLag {
			lagging = v
		}
	}
	total, servers := 0, 0
	for _, e := range o.sim.engines {
		if !e.eligible() || e.cold(o.sim.now) {
			continue
		}
		servers++
		if e.domain == domain {
			total += newest.loads[e.id]
		} else {
			total += lagging.loads[e.id]
		}
	}
	o.totals[domain] = waxfleet.NewServiceTotal("", domain, total, servers, 0)
}

// loadLimit returns the load limit that the owner of e applies.
func (o *ownerPolicy) loadLimit(e *engine) int {
	total, servers := o.totals[e.domain].InFlight(), o.totals[e.domain].Servers()
	if o.sim.opts.ViewLag == 0 {
		total, servers = o.sim.totalLoad()
	}
	return waxplace.AdmissionLimit(o.sim.opts.Limits, total, servers)
}

// candidates returns the engines in rendezvous order of the key, with the loads that
// the owner of home sees: exact for its own engines, as of the last tick for others.
// With an empty home all loads are exact.
func (o *ownerPolicy) candidates(key string, ids []string, home string) []waxplace.Candidate {
	ranked := waxplace.Rank(key, ids)
	list := make([]waxplace.Candidate, len(ranked))
	for i, id := range ranked {
		list[i] = o.candidate(id, home)
	}
	return list
}

func (o *ownerPolicy) candidate(id, home string) waxplace.Candidate {
	s := o.servers[id]
	load := s.Load() + s.Queued()
	if home != "" && o.owners[id] != o.owners[home] && len(o.snapshots) > 0 {
		load = o.snapshots[len(o.snapshots)-1].loads[id]
	}
	return waxplace.Candidate{ID: id, Load: load, Capacity: s.Bound(o.loadLimit(o.sim.byID[id]))}
}

// domains returns the domains with an eligible engine, in rendezvous order of the
// key.
func (o *ownerPolicy) domains(key string) []string {
	if o.flat {
		return []string{allDomains}
	}
	var names []string
	for i := range o.sim.opts.Domains {
		if len(o.sim.eligible(domainName(i))) > 0 {
			names = append(names, domainName(i))
		}
	}
	return waxplace.Rank(key, names)
}

func (o *ownerPolicy) place(j *job) {
	domains := o.domains(j.key)
	if len(domains) == 0 || len(o.sim.eligible(allDomains)) == 0 {
		o.sim.reject(waxfleet.CodeNoBackendServer)
		return
	}
	ids := o.sim.eligible(domains[0])
	j.home = waxplace.First(j.key, ids)
	for {
		ranked := o.candidates(j.key, ids, j.home)
		exception, _ := o.exceptions[j.home].Server(j.key)
		if e := o.sim.byID[exception]; e != nil && e.eligible() && e.domain != domains[0] && !o.flat {
			ranked = append(ranked, o.candidate(exception, j.home))
		}
		choice := waxplace.Choose(ranked, exception, j.excluded)
		if choice.Reason == waxplace.ReasonFull {
			o.placeWhenFull(j, domains, choice)
			return
		}
		spillAt := o.sim.now
		if choice.CacheExpected {
			spillAt = j.record.Timestamp + j.tier.Patience()
		}
		if o.tryEngine(j, choice.ID, spillAt) {
			return
		}
		if j.redirects++; j.redirects > maxRedirects {
			o.sim.reject(waxfleet.CodeOverloaded)
			return
		}
	}
}

// placeWhenFull tries the engines of the other domains and then queues the job at the
// chosen engine until its deadline.
func (o *ownerPolicy) placeWhenFull(j *job, domains []string, choice waxplace.Choice) {
	for _, domain := range domains[1:] {
		for _, c := range o.candidates(j.key, o.sim.eligible(domain), "") {
			if j.excluded[c.ID] || c.Load >= c.Capacity {
				continue
			}
			if o.tryEngine(j, c.ID, o.sim.now) {
				return
			}
		}
	}
	if !o.tryEngine(j, choice.ID, o.deadline(j)) {
		o.sim.reject(waxfleet.CodeDeadlineWouldPass)
	}
}

func (o *ownerPolicy) deadline(j *job) waxfleet.Millis { return j.record.Timestamp + j.tier.Deadline() }

// tryEngine offers the job to the owner of an engine and reports whether it was
// submitted or queued. Otherwise it excludes the engine for this job.
func (o *ownerPolicy) tryEngine(j *job, id string, spillAt waxfleet.Millis) bool {
	e, s := o.sim.byID[id], o.servers[id]
	t := waxadmit.NewRequest(j.id, j.record.Workspace, 1, j.tier.Priority(), spillAt, o.deadline(j))
	switch s.Offer(t, o.sim.now, o.loadLimit(e)) {
	case waxadmit.Admit:
		if o.dispatch(j, e) {
			return true
		}
	case waxadmit.Wait:
		o.waiting[j.id] = j
		o.sim.scheduleAt(min(spillAt, o.deadline(j)), func() { o.expireWaiting(e) })
		return true
	case waxadmit.Overflow:
	}
	j.excluded[id] = true
	return false
}

// dispatch submits an admitted job and reports whether the engine accepted it. A
// rejection returns the slot and shrinks the concurrency window.
func (o *ownerPolicy) dispatch(j *job, e *engine) bool {
	j.submittedAt = o.sim.now
	if !o.sim.submit(j, e) {
		o.servers[e.id].End(waxadmit.Outcome{Overloaded: true, TimeToFirstByte: -1}, o.sim.now)
		return false
	}
	o.exceptions[j.home].Set(j.key, e.id, j.home)
	return true
}

// expireWaiting places the jobs again whose wait at e is over.
func (o *ownerPolicy) expireWaiting(e *engine) {
	for _, t := range o.servers[e.id].Expire(o.sim.now) {
		o.placeAgain(t, e)
	}
}

// placeAgain places a job that waited at e on another engine, or rejects it if its
// deadline has passed.
func (o *ownerPolicy) placeAgain(t waxadmit.Request, e *engine) {
	j := o.waiting[t.ID()]
	delete(o.waiting, t.ID())
	if o.sim.now >= o.deadline(j) {
		o.sim.reject(waxfleet.CodeDeadlineWouldPass)
		return
	}
	j.excluded[e.id] = true
	o.place(j)
}

// serveQueue dispatches the waiting jobs that e can admit now.
func (o *ownerPolicy) serveQueue(e *engine) {
	s := o.servers[e.id]
	if s.Queued() == 0 {
		return
	}
	if !e.eligible() {
		for _, t := range s.Flush() {
			o.placeAgain(t, e)
		}
		return
	}
	o.expireWaiting(e)
	for _, t := range s.AdmitQueued(o.loadLimit(e)) {
		j := o.waiting[t.ID()]
		delete(o.waiting, t.ID())
		if !o.dispatch(j, e) {
			j.excluded[e.id] = true
			o.place(j)
		}
	}
}

func (o *ownerPolicy) completed(j *job) {
	outcome := waxadmit.Outcome{OK: true, TimeToFirstByte: j.firstTokenAt - j.submittedAt}
	o.servers[j.engine.id].End(outcome, o.sim.now)
	o.serveQueue(j.engine)
}

func (o *ownerPolicy) aborted(j *job) {
	o.servers[j.engine.id].End(waxadmit.Outcome{TimeToFirstByte: -1}, o.sim.now)
}
