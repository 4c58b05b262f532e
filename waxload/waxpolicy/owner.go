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
	// flat reports whether the engines of all failure domains are ranked at once.
	// Otherwise the domains are ranked first.
	flat bool
	// controllers holds the admission controllers of the owners, by engine.
	controllers map[string]*waxadmit.Controller
	// exceptions holds, by home engine, the chats that are placed at other engines.
	exceptions map[string]*waxplace.Exceptions
	owners     map[string]string
	// snapshots holds the loads at the last ticks, newest last.
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
	p := &ownerPolicy{
		sim: sim, flat: flat,
		controllers: map[string]*waxadmit.Controller{},
		exceptions:  map[string]*waxplace.Exceptions{},
		owners:      map[string]string{},
		waiting:     map[uint64]*job{},
		totals:      map[string]waxfleet.ServiceTotal{},
	}
	for _, e := range sim.engines {
		p.controllers[e.id] = waxadmit.NewController(sim.opts.Limits)
		p.exceptions[e.id] = waxplace.NewExceptions(sim.opts.MaxExceptions)
		p.owners[e.id] = waxplace.First(e.id, routersIn(e.domain, sim.opts))
	}
	return p
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
// every reportInterval, and admits waiting jobs.
func (p *ownerPolicy) tick() {
	now := p.sim.now
	snapshot := loadSnapshot{at: now, loads: map[string]int{}}
	for _, e := range p.sim.engines {
		snapshot.loads[e.id] = p.controllers[e.id].Load()
		if e.up && now%reportInterval == 0 {
			report := waxfleet.NewLoadReport(e.inFlight(), e.cold(now), false, fmt.Sprint("incarnation-", e.incarnation))
			p.controllers[e.id].Window().ApplyReport(report)
		}
	}
	p.snapshots = append(p.snapshots, snapshot)
	for len(p.snapshots) > 1 && p.snapshots[1].at <= now-p.sim.opts.ViewLag {
		p.snapshots = p.snapshots[1:]
	}
	for i := range p.sim.opts.Domains {
		p.updateTotal(domainName(i))
	}
	for _, e := range p.sim.engines {
		p.serveQueue(e)
	}
}

// updateTotal updates the total load that the owners in the domain see. It consists
// of the loads in their own domain at the last tick and those in other domains ViewLag
// ago.
func (p *ownerPolicy) updateTotal(domain string) {
	newest := p.snapshots[len(p.snapshots)-1]
	lagging := p.snapshots[0]
	for _, snapshot := range p.snapshots {
		if snapshot.at <= p.sim.now-p.sim.opts.ViewLag {
			lagging = snapshot
		}
	}
	total, servers := 0, 0
	for _, e := range p.sim.engines {
		if !e.eligible() || e.cold(p.sim.now) {
			continue
		}
		servers++
		if e.domain == domain {
			total += newest.loads[e.id]
		} else {
			total += lagging.loads[e.id]
		}
	}
	p.totals[domain] = waxfleet.NewServiceTotal("", domain, total, servers, 0)
}

// loadLimit returns the load limit that the owner of e applies.
func (p *ownerPolicy) loadLimit(e *engine) int {
	total, servers := p.totals[e.domain].InFlight(), p.totals[e.domain].Servers()
	if p.sim.opts.ViewLag == 0 {
		total, servers = p.sim.totalLoad()
	}
	return waxplace.AdmissionLimit(p.sim.opts.Limits, total, servers)
}

// candidates returns the engines in rendezvous order of the key, with the loads that
// the owner of the engine home sees. They are exact for its own engines and those of
// the last tick for others. With an empty home all loads are exact.
func (p *ownerPolicy) candidates(key string, ids []string, home string) []waxplace.Candidate {
	ranked := waxplace.Rank(key, ids)
	list := make([]waxplace.Candidate, len(ranked))
	for i, id := range ranked {
		list[i] = p.candidate(id, home)
	}
	return list
}

func (p *ownerPolicy) candidate(id, home string) waxplace.Candidate {
	controller := p.controllers[id]
	load := controller.Load() + controller.Queued()
	if home != "" && p.owners[id] != p.owners[home] && len(p.snapshots) > 0 {
		load = p.snapshots[len(p.snapshots)-1].loads[id]
	}
	return waxplace.Candidate{ID: id, Load: load, Capacity: controller.Bound(p.loadLimit(p.sim.byID[id]))}
}

// domains returns the domains with an eligible engine, in rendezvous order of the
// key.
func (p *ownerPolicy) domains(key string) []string {
	if p.flat {
		return []string{allDomains}
	}
	var names []string
	for i := range p.sim.opts.Domains {
		if len(p.sim.eligible(domainName(i))) > 0 {
			names = append(names, domainName(i))
		}
	}
	return waxplace.Rank(key, names)
}

func (p *ownerPolicy) place(j *job) {
	domains := p.domains(j.key)
	if len(domains) == 0 || len(p.sim.eligible(allDomains)) == 0 {
		p.sim.reject(waxfleet.CodeNoBackendServer)
		return
	}
	ids := p.sim.eligible(domains[0])
	j.home = waxplace.First(j.key, ids)
	for {
		ranked := p.candidates(j.key, ids, j.home)
		exception, _ := p.exceptions[j.home].Server(j.key)
		if e := p.sim.byID[exception]; e != nil && e.eligible() && e.domain != domains[0] && !p.flat {
			ranked = append(ranked, p.candidate(exception, j.home))
		}
		choice := waxplace.Choose(ranked, exception, j.excluded)
		if choice.Reason == waxplace.ReasonFull {
			p.placeWhenFull(j, domains, choice)
			return
		}
		spillAt := p.sim.now
		if choice.CacheExpected {
			spillAt = j.record.Timestamp + j.tier.Patience()
		}
		if p.tryEngine(j, choice.ID, spillAt) {
			return
		}
		if j.redirects++; j.redirects > maxRedirects {
			p.sim.reject(waxfleet.CodeOverloaded)
			return
		}
	}
}

// placeWhenFull tries the engines of the other domains. If none accepts the job, it
// queues the job at the chosen engine until the job's deadline.
func (p *ownerPolicy) placeWhenFull(j *job, domains []string, choice waxplace.Choice) {
	for _, domain := range domains[1:] {
		for _, c := range p.candidates(j.key, p.sim.eligible(domain), "") {
			if j.excluded[c.ID] || c.Load >= c.Capacity {
				continue
			}
			if p.tryEngine(j, c.ID, p.sim.now) {
				return
			}
		}
	}
	if !p.tryEngine(j, choice.ID, p.deadline(j)) {
		p.sim.reject(waxfleet.CodeDeadlineWouldPass)
	}
}

func (p *ownerPolicy) deadline(j *job) waxfleet.Millis { return j.record.Timestamp + j.tier.Deadline() }

// tryEngine offers the job to the owner of an engine and reports whether it was
// submitted or queued. Otherwise it excludes the engine for this job.
func (p *ownerPolicy) tryEngine(j *job, id string, spillAt waxfleet.Millis) bool {
	e, controller := p.sim.byID[id], p.controllers[id]
	request := waxadmit.NewRequest(j.id, j.record.Workspace, 1, j.tier.Priority(), spillAt, p.deadline(j))
	switch controller.Offer(request, p.sim.now, p.loadLimit(e)) {
	case waxadmit.Admit:
		if p.dispatch(j, e) {
			return true
		}
	case waxadmit.Wait:
		p.waiting[j.id] = j
		p.sim.scheduleAt(min(spillAt, p.deadline(j)), func() { p.expireWaiting(e) })
		return true
	case waxadmit.Overflow:
	}
	j.excluded[id] = true
	return false
}

// dispatch submits an admitted job and reports whether the engine accepted it. If the
// engine rejects the job, the controller frees its slot and shrinks the concurrency
// window.
func (p *ownerPolicy) dispatch(j *job, e *engine) bool {
	j.submittedAt = p.sim.now
	if !p.sim.submit(j, e) {
		p.controllers[e.id].End(waxadmit.Outcome{Overloaded: true, TimeToFirstByte: -1}, p.sim.now)
		return false
	}
	p.exceptions[j.home].Set(j.key, e.id, j.home)
	return true
}

// expireWaiting places the jobs again whose wait at e has timed out.
func (p *ownerPolicy) expireWaiting(e *engine) {
	for _, request := range p.controllers[e.id].Expire(p.sim.now) {
		p.placeAgain(request, e)
	}
}

// placeAgain places a job that waited at e on another engine, or rejects it if its
// deadline has passed.
func (p *ownerPolicy) placeAgain(request waxadmit.Request, e *engine) {
	j := p.waiting[request.ID()]
	delete(p.waiting, request.ID())
	if p.sim.now >= p.deadline(j) {
		p.sim.reject(waxfleet.CodeDeadlineWouldPass)
		return
	}
	j.excluded[e.id] = true
	p.place(j)
}

// serveQueue dispatches the waiting jobs that e can admit now.
func (p *ownerPolicy) serveQueue(e *engine) {
	controller := p.controllers[e.id]
	if controller.Queued() == 0 {
		return
	}
	if !e.eligible() {
		for _, request := range controller.Flush() {
			p.placeAgain(request, e)
		}
		return
	}
	p.expireWaiting(e)
	for _, request := range controller.AdmitQueued(p.loadLimit(e)) {
		j := p.waiting[request.ID()]
		delete(p.waiting, request.ID())
		if !p.dispatch(j, e) {
			j.excluded[e.id] = true
			p.place(j)
		}
	}
}

func (p *ownerPolicy) jobCompleted(j *job) {
	outcome := waxadmit.Outcome{OK: true, TimeToFirstByte: j.firstTokenAt - j.submittedAt}
	p.controllers[j.engine.id].End(outcome, p.sim.now)
	p.serveQueue(j.engine)
}

func (p *ownerPolicy) jobAborted(j *job) {
	p.controllers[j.engine.id].End(waxadmit.Outcome{TimeToFirstByte: -1}, p.sim.now)
}
