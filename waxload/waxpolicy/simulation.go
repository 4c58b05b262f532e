package waxpolicy

import (
	"container/heap"
	"math/rand/v2"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxplace"
	"waxwingdrift.org/waxload/waxtrace"
)

// event is a function that runs at a time. Events of equal time run in the order in
// which they were scheduled.
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

// placer implements a placement policy. place submits the job to an engine, queues it
// or rejects it. The simulation calls jobCompleted or jobAborted at the end of a job
// that an engine had accepted; a job is aborted when its engine stops. It calls tick
// every tickInterval.
type placer interface {
	place(j *job)
	jobCompleted(j *job)
	jobAborted(j *job)
	tick()
}

// simulation is the state of one run with one policy, trace and seed.
type simulation struct {
	opts     Options
	scenario Scenario
	rng      *rand.Rand
	now      waxfleet.Millis
	eventSeq uint64
	events   eventHeap
	engines  []*engine
	byID     map[string]*engine
	policy   placer
	openJobs int
	stats    collector
}

const (
	sampleInterval waxfleet.Millis = 100
	// tickInterval is the interval at which owners exchange loads.
	tickInterval waxfleet.Millis = 100
	// maxAttempts is the number of aborted attempts after which a request fails.
	maxAttempts = 3
)

// Run simulates the records under one policy. rng draws the entry router of each
// request and the choices of the random policies. Equal arguments give an equal
// outcome. An unknown policy or invalid options give an error with
// CodeSettingInvalid.
func Run(records []waxtrace.Record, policy Policy, opts Options, scenario Scenario, rng *rand.Rand) (Outcome, error) {
	sim, err := newSimulation(records, policy, opts, scenario, rng)
	if err != nil {
		return Outcome{}, err
	}
	sim.run()
	return sim.stats.outcome(policy, scenario), nil
}

func newSimulation(records []waxtrace.Record, policy Policy, opts Options, scenario Scenario, rng *rand.Rand) (*simulation, error) {
	if err := opts.validate(); err != nil {
		return nil, err
	}
	sim := &simulation{opts: opts, scenario: scenario, rng: rng, byID: map[string]*engine{}}
	blocks := opts.CacheBlocks
	if blocks == 0 {
		blocks = int(opts.CacheShare * waxtrace.MeanLiveBlocks(records) / float64(opts.Engines))
	}
	for i := range opts.Engines {
		e := newEngine(engineName(i), domainName(i%opts.Domains), blocks)
		sim.engines = append(sim.engines, e)
		sim.byID[e.id] = e
	}
	p, err := newPlacer(sim, policy)
	if err != nil {
		return nil, err
	}
	sim.policy = p
	sim.scheduleAll(records)
	return sim, nil
}

func (sim *simulation) scheduleAll(records []waxtrace.Record) {
	reusable := waxtrace.ReusableTokens(records)
	last := waxfleet.Millis(0)
	for i, record := range records {
		if record.AtMostOnce {
			continue
		}
		tier := sim.opts.tier(record.Tier)
		j := &job{
			id: uint64(i + 1), record: record, tier: tier,
			key:    record.Workspace + "/" + record.Chat,
			router: sim.rng.IntN(sim.opts.Routers), excluded: map[string]bool{},
		}
		sim.stats.requests++
		sim.stats.reusableTokens += reusable[i]
		sim.openJobs++
		last = record.Timestamp
		sim.scheduleAt(record.Timestamp, func() { sim.policy.place(j) })
	}
	for _, c := range sim.scenario.changes(sim.opts, last) {
		sim.scheduleAt(c.at, func() { c.apply(sim) })
	}
	sim.scheduleEvery(sampleInterval, last, sim.sampleLoad)
	sim.scheduleAt(0, sim.tick)
}

func (sim *simulation) scheduleAt(at waxfleet.Millis, run func()) {
	sim.eventSeq++
	heap.Push(&sim.events, event{at: at, seq: sim.eventSeq, run: run})
}

// scheduleEvery calls run now and then at the interval until last.
func (sim *simulation) scheduleEvery(interval, last waxfleet.Millis, run func()) {
	if sim.now > last {
		return
	}
	run()
	sim.scheduleAt(sim.now+interval, func() { sim.scheduleEvery(interval, last, run) })
}

// tick runs the policy's periodic work as long as jobs are open, so that queues
// drain after the last arrival.
func (sim *simulation) tick() {
	if sim.openJobs == 0 {
		return
	}
	sim.policy.tick()
	sim.scheduleAt(sim.now+tickInterval, sim.tick)
}

func (sim *simulation) run() {
	for len(sim.events) > 0 && sim.openJobs > 0 {
		e := heap.Pop(&sim.events).(event)
		sim.now = e.at
		e.run()
	}
}

// eligible returns the IDs of the engines of a failure domain that are running and in
// service.
// An empty domain means all domains.
func (sim *simulation) eligible(domain string) []string {
	var ids []string
	for _, e := range sim.engines {
		if e.eligible() && (domain == "" || e.domain == domain) {
			ids = append(ids, e.id)
		}
	}
	return ids
}

// totalLoad returns the number of requests in flight at the eligible warm engines
// and the number of these engines. Their quotient is the mean load.
func (sim *simulation) totalLoad() (inFlight, servers int) {
	for _, e := range sim.engines {
		if e.eligible() && !e.cold(sim.now) {
			inFlight += e.inFlight()
			servers++
		}
	}
	return inFlight, servers
}

// submit submits the job to the engine. It returns false if the engine rejects it.
func (sim *simulation) submit(j *job, e *engine) bool {
	if e.rejectsNext(sim.now, sim.opts.ColdWindow) {
		sim.stats.coldRejections++
		return false
	}
	total, servers := sim.totalLoad()
	sim.stats.recordAdmission(e.inFlight()+1, waxplace.LoadLimit(sim.opts.Limits, total, servers))
	j.engine = e
	j.attemptSeq++
	j.admittedAt = sim.now
	e.jobs = append(e.jobs, j)
	if e.busySlots < sim.opts.Slots {
		sim.startPrefill(j)
	} else {
		e.waiting = append(e.waiting, j)
	}
	return true
}

// startPrefill assigns a batch slot to the job and schedules the end of its prefill.
func (sim *simulation) startPrefill(j *job) {
	e := j.engine
	e.busySlots++
	j.cachedTokens = e.cachedTokens(j.record)
	rate := sim.opts.PrefillRate
	if e.cold(sim.now) {
		rate /= sim.opts.ColdSlowdown
	}
	prefill := waxfleet.Millis(float64(j.record.InputLength-j.cachedTokens) / rate * 1000)
	e.prefillFreeAt = max(sim.now, e.prefillFreeAt) + prefill + sim.opts.TokenInterval
	seq := j.attemptSeq
	sim.scheduleAt(e.prefillFreeAt, func() { sim.finishPrefill(j, seq) })
}

func (sim *simulation) finishPrefill(j *job, seq int) {
	if j.attemptSeq != seq {
		return
	}
	e := j.engine
	j.firstTokenAt = sim.now
	e.cachePrompt(j.record)
	end := sim.now + waxfleet.Millis(j.record.OutputLength)*sim.opts.TokenInterval
	sim.scheduleAt(end, func() { sim.finishDecode(j, seq) })
}

func (sim *simulation) finishDecode(j *job, seq int) {
	if j.attemptSeq != seq {
		return
	}
	e := j.engine
	e.busySlots--
	e.removeJob(j)
	if len(e.waiting) > 0 && e.busySlots < sim.opts.Slots {
		sim.startPrefill(e.popWaiting())
	}
	sim.openJobs--
	sim.stats.recordCompletion(j)
	sim.policy.jobCompleted(j)
}

// reject ends a job that no engine completes.
func (sim *simulation) reject(code waxfleet.Code) {
	sim.openJobs--
	sim.stats.recordRejection(code)
}

// stopEngine stops the engine and places its jobs again. A job fails after maxAttempts
// aborted attempts.
func (sim *simulation) stopEngine(e *engine) {
	if !e.up {
		return
	}
	jobs := e.jobs
	e.up = false
	e.incarnation++
	e.jobs, e.waiting, e.busySlots = nil, nil, 0
	e.prefillFreeAt = 0
	e.resetCache()
	for _, j := range jobs {
		sim.policy.jobAborted(j)
	}
	for _, j := range jobs {
		j.abortedAttempts++
		j.attemptSeq++ // invalidates the events of the aborted attempt
		if j.abortedAttempts >= maxAttempts {
			sim.reject(waxfleet.CodeBackendDied)
			continue
		}
		j.excluded, j.redirects = map[string]bool{}, 0
		sim.policy.place(j)
	}
}

// startEngine starts a stopped engine. It is cold and its cache is empty.
func (sim *simulation) startEngine(e *engine) {
	e.up = true
	e.coldUntil = sim.now + sim.opts.WarmupDuration
}

func (sim *simulation) sampleLoad() {
	total, servers := sim.totalLoad()
	if servers == 0 {
		return
	}
	mean := float64(total) / float64(servers)
	highest := 0
	for _, e := range sim.engines {
		if e.eligible() {
			highest = max(highest, e.inFlight())
		}
	}
	sim.stats.recordLoad(float64(highest), mean)
}
