package waxpolicy

import (
	"fmt"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxadmit"
	"waxwingdrift.org/waxfleet/waxplace"
)

const (
	// maxRedirects is how many redirects the entry follows.
	maxRedirects = 4
	// allDomains is the name of the only domain when domains are ignored.
	allDomains = ""
)

// owner is the policy of the design page: each engine has one owner that counts
// its load exactly; the owner of a chat's home engine decides where it goes.
type owner struct {
	r *replay
	// flat ranks all engines at once in place of domain first.
	flat    bool
	servers map[string]*waxadmit.Controller
	// tables are the exceptions at the owner of each home engine.
	tables map[string]*waxplace.Exceptions
	owners map[string]string
	// views are the loads as the last digests had them, newest last.
	views   []view
	waiting map[uint64]*job
	// totals are by domain the loads of all warm engines, as its owners see them.
	totals map[string]waxfleet.ServiceTotal
}

type view struct {
	at    waxfleet.Millis
	loads map[string]int
}

func newOwner(r *replay, flat bool) *owner {
	o := &owner{
		r: r, flat: flat,
		servers: map[string]*waxadmit.Controller{},
		tables:  map[string]*waxplace.Exceptions{},
		owners:  map[string]string{},
		waiting: map[uint64]*job{},
		totals:  map[string]waxfleet.ServiceTotal{},
	}
	for _, e := range r.engines {
		o.servers[e.id] = waxadmit.NewController(r.opts.Limits)
		o.tables[e.id] = waxplace.NewExceptions(r.opts.Exceptions)
		o.owners[e.id] = waxplace.First(e.id, routersIn(e.domain, r.opts))
	}
	return o
}

// routersIn returns the routers of a domain. A domain without one is served by
// router 0.
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

// tick takes load reports and digests and admits what has a place now.
func (o *owner) tick() {
	now := o.r.now
	v := view{at: now, loads: map[string]int{}}
	for _, e := range o.r.engines {
		v.loads[e.id] = o.servers[e.id].Load()
		if e.up && now%reportPeriod == 0 {
			report := waxfleet.NewLoadReport(e.inFlight(), e.cold(now), false, fmt.Sprint("incarnation-", e.generation))
			o.servers[e.id].Window().Report(report)
		}
	}
	o.views = append(o.views, v)
	for len(o.views) > 1 && o.views[1].at <= now-o.r.opts.ViewLag {
		o.views = o.views[1:]
	}
	for i := range o.r.opts.Domains {
		o.sampleTotal(domainName(i))
	}
	for _, e := range o.r.engines {
		o.serveQueue(e)
	}
}

// sampleTotal keeps the total that owners in the domain see: their own domain as
// in the last digests, the others ViewLag later.
func (o *owner) sampleTotal(domain string) {
	newest := o.views[len(o.views)-1]
	older := o.views[0]
	for _, v := range o.views {
		if v.at <= o.r.now-o.r.opts.ViewLag {
			older = v
		}
	}
	total, servers := 0, 0
	for _, e := range o.r.engines {
		if !e.eligible() || e.cold(o.r.now) {
			continue
		}
		servers++
		if e.domain == domain {
			total += newest.loads[e.id]
		} else {
			total += older.loads[e.id]
		}
	}
	o.totals[domain] = waxfleet.NewServiceTotal("", domain, total, servers, 0)
}

// limit is the load limit that the owner of e uses.
func (o *owner) limit(e *engine) int {
	total, servers := o.totals[e.domain].InFlight(), o.totals[e.domain].Servers()
	if o.r.opts.ViewLag == 0 {
		total, servers = o.r.total()
	}
	return waxplace.AdmissionLimit(o.r.opts.Limits, total, servers)
}

// candidates are the engines in rendezvous order as the owner of home sees them:
// its own exactly, the others as in the last digests.
func (o *owner) candidates(key string, ids []string, home string) []waxplace.Candidate {
	ranked := waxplace.Rank(key, ids)
	list := make([]waxplace.Candidate, len(ranked))
	for i, id := range ranked {
		list[i] = o.candidate(id, home)
	}
	return list
}

func (o *owner) candidate(id, home string) waxplace.Candidate {
	s := o.servers[id]
	load := s.Load() + s.Queued()
	if home != "" && o.owners[id] != o.owners[home] && len(o.views) > 0 {
		load = o.views[len(o.views)-1].loads[id]
	}
	return waxplace.Candidate{ID: id, Load: load, Bound: s.Bound(o.limit(o.r.byID[id]))}
}

// domains are those with an eligible engine, in rendezvous order of the key.
func (o *owner) domains(key string) []string {
	if o.flat {
		return []string{allDomains}
	}
	var names []string
	for i := range o.r.opts.Domains {
		if len(o.r.eligible(domainName(i))) > 0 {
			names = append(names, domainName(i))
		}
	}
	return waxplace.Rank(key, names)
}

func (o *owner) place(j *job) {
	domains := o.domains(j.key)
	if len(domains) == 0 || len(o.r.eligible(allDomains)) == 0 {
		o.r.refuse(waxfleet.CodeNoBackendServer)
		return
	}
	ids := o.r.eligible(domains[0])
	j.home = waxplace.First(j.key, ids)
	for {
		ranked := o.candidates(j.key, ids, j.home)
		holder, _ := o.tables[j.home].Server(j.key)
		if e := o.r.byID[holder]; e != nil && e.eligible() && e.domain != domains[0] && !o.flat {
			ranked = append(ranked, o.candidate(holder, j.home))
		}
		choice := waxplace.Choose(ranked, holder, j.excluded)
		if choice.Reason == waxplace.ReasonFull {
			o.placeFull(j, domains, choice)
			return
		}
		spillAt := o.r.now
		if choice.CacheExpected {
			spillAt = j.record.Timestamp + j.tier.Patience()
		}
		if o.offer(j, choice.ID, spillAt) {
			return
		}
		if j.redirects++; j.redirects > maxRedirects {
			o.r.refuse(waxfleet.CodeOverloaded)
			return
		}
	}
}

// placeFull tries the other domains and then queues at the holder until the
// deadline.
func (o *owner) placeFull(j *job, domains []string, choice waxplace.Choice) {
	for _, domain := range domains[1:] {
		for _, c := range o.candidates(j.key, o.r.eligible(domain), "") {
			if j.excluded[c.ID] || c.Load >= c.Bound {
				continue
			}
			if o.offer(j, c.ID, o.r.now) {
				return
			}
		}
	}
	if !o.offer(j, choice.ID, o.deadline(j)) {
		o.r.refuse(waxfleet.CodeDeadlineWouldPass)
	}
}

func (o *owner) deadline(j *job) waxfleet.Millis { return j.record.Timestamp + j.tier.Deadline() }

// offer asks the owner of an engine for a place and reports whether it took the
// job; otherwise the engine is excluded for this job.
func (o *owner) offer(j *job, id string, spillAt waxfleet.Millis) bool {
	e, s := o.r.byID[id], o.servers[id]
	t := waxadmit.NewRequest(j.id, j.record.Workspace, 1, j.tier.Priority(), spillAt, o.deadline(j))
	switch s.Offer(t, o.r.now, o.limit(e)) {
	case waxadmit.Admit:
		if o.dispatch(j, e) {
			return true
		}
	case waxadmit.Wait:
		o.waiting[j.id] = j
		o.r.at(min(spillAt, o.deadline(j)), func() { o.expire(e) })
		return true
	case waxadmit.Spill:
	}
	j.excluded[id] = true
	return false
}

// dispatch sends an admitted job. A refusal by the engine gives the place back
// and cuts the window.
func (o *owner) dispatch(j *job, e *engine) bool {
	j.submitted = o.r.now
	if !o.r.send(j, e) {
		o.servers[e.id].End(waxadmit.Outcome{Overloaded: true, FirstByte: -1}, o.r.now)
		return false
	}
	o.tables[j.home].Set(j.key, e.id, j.home)
	return true
}

func (o *owner) expire(e *engine) {
	for _, t := range o.servers[e.id].Expire(o.r.now) {
		o.elsewhere(t, e)
	}
}

// elsewhere places a job again whose wait at e is over.
func (o *owner) elsewhere(t waxadmit.Request, e *engine) {
	j := o.waiting[t.ID()]
	delete(o.waiting, t.ID())
	if o.r.now >= o.deadline(j) {
		o.r.refuse(waxfleet.CodeDeadlineWouldPass)
		return
	}
	j.excluded[e.id] = true
	o.place(j)
}

func (o *owner) serveQueue(e *engine) {
	s := o.servers[e.id]
	if s.Queued() == 0 {
		return
	}
	if !e.eligible() {
		for _, t := range s.Flush() {
			o.elsewhere(t, e)
		}
		return
	}
	o.expire(e)
	for _, t := range s.Next(o.limit(e)) {
		j := o.waiting[t.ID()]
		delete(o.waiting, t.ID())
		if !o.dispatch(j, e) {
			j.excluded[e.id] = true
			o.place(j)
		}
	}
}

func (o *owner) ended(j *job) {
	outcome := waxadmit.Outcome{OK: true, FirstByte: j.firstToken - j.submitted}
	o.servers[j.engine.id].End(outcome, o.r.now)
	o.serveQueue(j.engine)
}

func (o *owner) lost(j *job) {
	o.servers[j.engine.id].End(waxadmit.Outcome{FirstByte: -1}, o.r.now)
}
