package waxpolicy

import (
	"container/heap"
	"math/rand/v2"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxplace"
	"waxwingdrift.org/waxload/waxtrace"
)

// event is a step at a time; equal times run in the order of their creation.
type event struct {
	at  waxfleet.Millis
	seq uint64
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].seq < h[j].seq
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// placer is a placement policy. place sends the job to an engine, queues it, or
// refuses it. ended and lost tell the end of a job that the engine had accepted.
type placer interface {
	place(j *job)
	ended(j *job)
	lost(j *job)
	tick()
}

// replay is the state of one run: one policy, one trace, one seed.
type replay struct {
	opts     Options
	scenario Scenario
	rng      *rand.Rand
	now      waxfleet.Millis
	seq      uint64
	events   eventHeap
	engines  []*engine
	byID     map[string]*engine
	policy   placer
	open     int
	stats    collector
}

const (
	samplePeriod waxfleet.Millis = 100
	// tickPeriod is the period of the loads that owners tell each other.
	tickPeriod waxfleet.Millis = 100
	// maxAttempts bounds how often a request starts again after its engine died.
	maxAttempts = 3
)

// Run replays the records under one policy. rng is used for the routers and for
// the random policies. Equal arguments give an equal outcome.
func Run(records []waxtrace.Record, policy Policy, opts Options, scenario Scenario, rng *rand.Rand) (Outcome, error) {
	r, err := newReplay(records, policy, opts, scenario, rng)
	if err != nil {
		return Outcome{}, err
	}
	r.drain()
	return r.stats.outcome(policy, scenario), nil
}

func newReplay(records []waxtrace.Record, policy Policy, opts Options, scenario Scenario, rng *rand.Rand) (*replay, error) {
	if err := opts.check(); err != nil {
		return nil, err
	}
	r := &replay{opts: opts, scenario: scenario, rng: rng, byID: map[string]*engine{}}
	blocks := opts.CacheBlocks
	if blocks == 0 {
		blocks = int(opts.CacheShare * waxtrace.MeanLiveBlocks(records) / float64(opts.Engines))
	}
	for i := range opts.Engines {
		e := newEngine(engineName(i), domainName(i%opts.Domains), blocks)
		r.engines = append(r.engines, e)
		r.byID[e.id] = e
	}
	p, err := newPlacer(r, policy)
	if err != nil {
		return nil, err
	}
	r.policy = p
	r.schedule(records)
	return r, nil
}

func (r *replay) schedule(records []waxtrace.Record) {
	unlimited := waxtrace.ReusableTokens(records)
	last := waxfleet.Millis(0)
	for i, record := range records {
		if record.AtMostOnce {
			continue
		}
		tier := r.opts.tier(record.Tier)
		j := &job{
			id: uint64(i + 1), record: record, tier: tier,
			key:    record.Workspace + "/" + record.Chat,
			router: r.rng.IntN(r.opts.Routers), excluded: map[string]bool{},
		}
		r.stats.requests++
		r.stats.unlimited += unlimited[i]
		r.open++
		last = record.Timestamp
		r.at(record.Timestamp, func() { r.policy.place(j) })
	}
	for _, s := range r.scenario.steps(r.opts, last) {
		r.at(s.at, func() { s.apply(r) })
	}
	r.every(samplePeriod, last, r.sample)
	r.at(0, r.tick)
}

func (r *replay) at(at waxfleet.Millis, run func()) {
	r.seq++
	heap.Push(&r.events, event{at: at, seq: r.seq, run: run})
}

func (r *replay) every(period, last waxfleet.Millis, run func()) {
	if r.now > last {
		return
	}
	run()
	r.at(r.now+period, func() { r.every(period, last, run) })
}

// tick runs the policy's periodic work as long as requests are open: queues must
// empty after the last arrival.
func (r *replay) tick() {
	if r.open == 0 {
		return
	}
	r.policy.tick()
	r.at(r.now+tickPeriod, r.tick)
}

func (r *replay) drain() {
	for len(r.events) > 0 && r.open > 0 {
		e := heap.Pop(&r.events).(event)
		r.now = e.at
		e.run()
	}
}

// eligible returns the ids of the engines that may get new work; an empty
// domain means all of them.
func (r *replay) eligible(domain string) []string {
	var ids []string
	for _, e := range r.engines {
		if e.eligible() && (domain == "" || e.domain == domain) {
			ids = append(ids, e.id)
		}
	}
	return ids
}

// total returns the requests in flight at the eligible warm engines, and their
// number: the mean load is taken over these.
func (r *replay) total() (inFlight, servers int) {
	for _, e := range r.engines {
		if e.eligible() && !e.cold(r.now) {
			inFlight += e.inFlight()
			servers++
		}
	}
	return inFlight, servers
}

// send gives the job to the engine, or returns false when the engine refuses.
func (r *replay) send(j *job, e *engine) bool {
	if e.refuses(r.now, r.opts.ColdCapacity) {
		r.stats.coldRefusals++
		return false
	}
	total, servers := r.total()
	r.stats.admission(e.inFlight()+1, waxplace.LoadLimit(r.opts.Limits, total, servers))
	j.engine = e
	j.sends++
	j.admitted = r.now
	e.jobs = append(e.jobs, j)
	if e.running < r.opts.Slots {
		r.start(j)
	} else {
		e.waiting = append(e.waiting, j)
	}
	return true
}

// start gives the job a batch slot.
func (r *replay) start(j *job) {
	e := j.engine
	e.running++
	j.cached = e.hit(j.record)
	rate := r.opts.PrefillRate
	if e.cold(r.now) {
		rate /= r.opts.ColdSlowdown
	}
	work := waxfleet.Millis(float64(j.record.InputLength-j.cached) / rate * 1000)
	e.prefillFree = max(r.now, e.prefillFree) + work + r.opts.TokenInterval
	send := j.sends
	r.at(e.prefillFree, func() { r.prefilled(j, send) })
}

func (r *replay) prefilled(j *job, send int) {
	if j.sends != send {
		return
	}
	e := j.engine
	j.firstToken = r.now
	e.store(j.record)
	end := r.now + waxfleet.Millis(j.record.OutputLength)*r.opts.TokenInterval
	r.at(end, func() { r.finish(j, send) })
}

func (r *replay) finish(j *job, send int) {
	if j.sends != send {
		return
	}
	e := j.engine
	e.running--
	e.remove(j)
	if len(e.waiting) > 0 && e.running < r.opts.Slots {
		r.start(e.nextWaiting())
	}
	r.open--
	r.stats.served(j)
	r.policy.ended(j)
}

// refuse ends a job that no engine ran.
func (r *replay) refuse(code waxfleet.Code) {
	r.open--
	r.stats.refuse(code)
}

// kill takes the engine down; its jobs start again elsewhere.
func (r *replay) kill(e *engine) {
	if !e.up {
		return
	}
	jobs := e.jobs
	e.up = false
	e.generation++
	e.jobs, e.waiting, e.running = nil, nil, 0
	e.prefillFree = 0
	e.clearCache()
	for _, j := range jobs {
		r.policy.lost(j)
	}
	for _, j := range jobs {
		j.attempts++
		j.sends++ // events of the ended attempt no longer apply
		if j.attempts >= maxAttempts {
			r.refuse(waxfleet.CodeBackendDied)
			continue
		}
		j.excluded, j.redirects = map[string]bool{}, 0
		r.policy.place(j)
	}
}

// revive brings the engine back, cold and with an empty cache.
func (r *replay) revive(e *engine) {
	e.up = true
	e.coldUntil = r.now + r.opts.ColdTime
}

func (r *replay) sample() {
	total, servers := r.total()
	if servers == 0 {
		return
	}
	mean := float64(total) / float64(servers)
	highest := 0
	for _, e := range r.engines {
		if e.eligible() {
			highest = max(highest, e.inFlight())
		}
	}
	r.stats.load(float64(highest), mean)
}
