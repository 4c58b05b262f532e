package waxpolicy

import (
	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxplace"
)

// ownerlessPolicy is a policy without owners: the entry router submits the job
// immediately. order returns the engines to try, best first.
type ownerlessPolicy struct {
	sim   *simulation
	order func(j *job) []string
}

// maxEngines is the maximum number of engines to try. It matches the first choice and
// maxRedirects redirects of ownerPolicy.
const maxEngines = 5

func (b *ownerlessPolicy) place(j *job) {
	order := b.order(j)
	if len(order) == 0 {
		b.sim.reject(waxfleet.CodeNoBackendServer)
		return
	}
	for i, id := range order {
		if i == maxEngines {
			break
		}
		if b.sim.submit(j, b.sim.byID[id]) {
			return
		}
	}
	b.sim.reject(waxfleet.CodeOverloaded)
}

func (b *ownerlessPolicy) completed(*job) {}
func (b *ownerlessPolicy) aborted(*job)   {}
func (b *ownerlessPolicy) tick()          {}

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

// staleLoadPolicy is bounded-load rendezvous hashing by independent routers. Each router
// estimates the load of an engine as that of the engine's last report, which is up
// to reportPeriod old, plus the requests that it has sent itself since then.
type staleLoadPolicy struct {
	ownerlessPolicy
	reportedAt waxfleet.Millis
	reported   map[string]int
	// sent counts the requests since the last report, by router and engine.
	sent []map[string]int
}

const reportPeriod waxfleet.Millis = 1000

func newStaleLoadPolicy(sim *simulation) *staleLoadPolicy {
	l := &staleLoadPolicy{reportedAt: -reportPeriod}
	l.ownerlessPolicy = ownerlessPolicy{sim: sim, order: l.rank}
	return l
}

func (l *staleLoadPolicy) place(j *job) {
	l.refreshReport()
	before := j.sendSeq
	l.ownerlessPolicy.place(j)
	if j.sendSeq != before {
		l.sent[j.router][j.engine.id]++
	}
}

// refreshReport reads the loads of all engines if the last report is reportPeriod
// old.
func (l *staleLoadPolicy) refreshReport() {
	if l.sim.now-l.reportedAt < reportPeriod {
		return
	}
	l.reportedAt = l.sim.now
	l.reported = map[string]int{}
	for _, e := range l.sim.engines {
		l.reported[e.id] = e.inFlight()
	}
	l.sent = make([]map[string]int, l.sim.opts.Routers)
	for i := range l.sent {
		l.sent[i] = map[string]int{}
	}
}

// rank returns the eligible engines in rendezvous order, those below the load limit
// first.
func (l *staleLoadPolicy) rank(j *job) []string {
	ids := l.sim.eligible("")
	total := 0
	load := make(map[string]int, len(ids))
	for _, id := range ids {
		load[id] = l.reported[id] + l.sent[j.router][id]
		total += load[id]
	}
	limit := waxplace.LoadLimit(l.sim.opts.Limits, total, len(ids))
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
