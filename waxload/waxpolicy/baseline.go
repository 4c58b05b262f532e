package waxpolicy

import (
	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxplace"
)

// baseline is a policy without owners: the entry router sends the job at once.
// order returns the engines to try, best first.
type baseline struct {
	r     *replay
	order func(j *job) []string
}

// maxTries is the first choice and four more, as for redirects.
const maxTries = 5

func (b *baseline) place(j *job) {
	order := b.order(j)
	if len(order) == 0 {
		b.r.refuse(waxfleet.CodeNoBackendServer)
		return
	}
	for i, id := range order {
		if i == maxTries {
			break
		}
		if b.r.send(j, b.r.byID[id]) {
			return
		}
	}
	b.r.refuse(waxfleet.CodeOverloaded)
}

func (b *baseline) ended(*job) {}
func (b *baseline) lost(*job)  {}
func (b *baseline) tick()      {}

// shuffled returns the eligible engines in random order.
func shuffled(r *replay) []string {
	ids := r.eligible("")
	r.rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	return ids
}

// leastOfTwo orders two random engines by their exact load.
func leastOfTwo(r *replay) []string {
	ids := shuffled(r)
	if len(ids) > 1 && r.byID[ids[1]].inFlight() < r.byID[ids[0]].inFlight() {
		ids[0], ids[1] = ids[1], ids[0]
	}
	return ids
}

// lagging is bounded-load rendezvous hashing as routers do it that decide
// alone: on the engines' reports, which are up to reportPeriod old, plus what
// the router itself has sent since the report.
type lagging struct {
	baseline
	reportAt waxfleet.Millis
	reported map[string]int
	// sent counts by router and engine what was sent since the report.
	sent []map[string]int
}

const reportPeriod waxfleet.Millis = 1000

func newLagging(r *replay) *lagging {
	l := &lagging{reportAt: -reportPeriod}
	l.baseline = baseline{r: r, order: l.rank}
	return l
}

func (l *lagging) place(j *job) {
	l.refresh()
	before := j.sends
	l.baseline.place(j)
	if j.sends != before {
		l.sent[j.router][j.engine.id]++
	}
}

// refresh takes a new report once per period.
func (l *lagging) refresh() {
	if l.r.now-l.reportAt < reportPeriod {
		return
	}
	l.reportAt = l.r.now
	l.reported = map[string]int{}
	for _, e := range l.r.engines {
		l.reported[e.id] = e.inFlight()
	}
	l.sent = make([]map[string]int, l.r.opts.Routers)
	for i := range l.sent {
		l.sent[i] = map[string]int{}
	}
}

func (l *lagging) rank(j *job) []string {
	ids := l.r.eligible("")
	total := 0
	load := make(map[string]int, len(ids))
	for _, id := range ids {
		load[id] = l.reported[id] + l.sent[j.router][id]
		total += load[id]
	}
	limit := waxplace.LoadLimit(l.r.opts.Limits, total, len(ids))
	var free, full []string
	for _, id := range waxplace.Rank(j.key, ids) {
		if load[id] < limit {
			free = append(free, id)
		} else {
			full = append(full, id)
		}
	}
	return append(free, full...)
}

// rankAll returns the eligible engines in rendezvous order of the chat.
func rankAll(r *replay, j *job) []string { return waxplace.Rank(j.key, r.eligible("")) }
