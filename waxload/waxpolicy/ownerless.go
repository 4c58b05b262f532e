package waxpolicy

import (
	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxplace"
)

// ownerlessPolicy is a policy without owners: the entry router submits the job
// immediately. rank returns the engines to try, best first.
type ownerlessPolicy struct {
	sim  *simulation
	rank func(j *job) []string
}

// maxEngineAttempts is the maximum number of engines to try for a job. It equals the
// first choice and the maxRedirects redirects of ownerPolicy.
const maxEngineAttempts = 5

func (p *ownerlessPolicy) place(j *job) {
	ranked := p.rank(j)
	if len(ranked) == 0 {
		p.sim.reject(waxfleet.CodeNoBackendServer)
		return
	}
	for i, id := range ranked {
		if i == maxEngineAttempts {
			break
		}
		if p.sim.submit(j, p.sim.byID[id]) {
			return
		}
	}
	p.sim.reject(waxfleet.CodeOverloaded)
}

func (p *ownerlessPolicy) jobCompleted(*job) {}
func (p *ownerlessPolicy) jobAborted(*job)   {}
func (p *ownerlessPolicy) tick()             {}

// shuffled returns the eligible engines in random order.
func shuffled(sim *simulation) []string {
	ids := sim.eligible("")
	sim.rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	return ids
}

// leastOfTwo returns the eligible engines in random order, with the first two sorted
// by their exact load (power of two choices).
func leastOfTwo(sim *simulation) []string {
	ids := shuffled(sim)
	if len(ids) > 1 && sim.byID[ids[1]].inFlight() < sim.byID[ids[0]].inFlight() {
		ids[0], ids[1] = ids[1], ids[0]
	}
	return ids
}

// staleLoadPolicy is bounded-load rendezvous hashing by independent routers. Each
// router estimates the load of an engine as the load in the engine's last report plus
// the requests that the router itself has sent since then. The report is up to
// reportInterval old.
type staleLoadPolicy struct {
	ownerlessPolicy
	reportedAt waxfleet.Millis
	reported   map[string]int
	// sent counts the requests since the last report, by router and engine.
	sent []map[string]int
}

// reportInterval is the interval between load reports of the engines.
const reportInterval waxfleet.Millis = 1000

func newStaleLoadPolicy(sim *simulation) *staleLoadPolicy {
	p := &staleLoadPolicy{reportedAt: -reportInterval}
	p.ownerlessPolicy = ownerlessPolicy{sim: sim, rank: p.rank}
	return p
}

func (p *staleLoadPolicy) place(j *job) {
	p.refreshReport()
	seqBefore := j.attemptSeq
	p.ownerlessPolicy.place(j)
	if j.attemptSeq != seqBefore {
		p.sent[j.router][j.engine.id]++
	}
}

// refreshReport reads the loads of all engines if the last report is reportInterval
// old.
func (p *staleLoadPolicy) refreshReport() {
	if p.sim.now-p.reportedAt < reportInterval {
		return
	}
	p.reportedAt = p.sim.now
	p.reported = map[string]int{}
	for _, e := range p.sim.engines {
		p.reported[e.id] = e.inFlight()
	}
	p.sent = make([]map[string]int, p.sim.opts.Routers)
	for i := range p.sent {
		p.sent[i] = map[string]int{}
	}
}

// rank returns the eligible engines in rendezvous order, those below the load limit
// first.
func (p *staleLoadPolicy) rank(j *job) []string {
	ids := p.sim.eligible("")
	total := 0
	load := make(map[string]int, len(ids))
	for _, id := range ids {
		load[id] = p.reported[id] + p.sent[j.router][id]
		total += load[id]
	}
	limit := waxplace.LoadLimit(p.sim.opts.Limits, total, len(ids))
	var belowLimit, atLimit []string
	for _, id := range waxplace.Rank(j.key, ids) {
		if load[id] < limit {
			belowLimit = append(belowLimit, id)
		} else {
			atLimit = append(atLimit, id)
		}
	}
	return append(belowLimit, atLimit...)
}

// rendezvousOrder returns the eligible engines in rendezvous order of the job's chat.
func rendezvousOrder(sim *simulation, j *job) []string { return waxplace.Rank(j.key, sim.eligible("")) }
