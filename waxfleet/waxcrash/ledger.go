package waxcrash

import (
	"cmp"
	"slices"
	"sync"

	lru "github.com/hashicorp/golang-lru/v2"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxgossip"
)

const (
	// recordTTL is the time after the latest crash at which the evidence about a trait
	// expires.
	recordTTL waxfleet.Millis = 3_600_000
	// banThreshold is the number of independent crashes at which a trait is banned.
	// banThresholdAnswered applies to a trait with an answer shortly before the first
	// crash: it is more likely in use by many requests than the cause.
	banThreshold         = 2
	banThresholdAnswered = 4
	// minAlike is the minimum number of crashes that are alike: they are spread over
	// minAlikeSpread, and over alikeFactor x the spread of their times from send to crash.
	minAlike                       = 4
	alikeFactor                    = 4
	minAlikeSpread waxfleet.Millis = 100
	// answerTTL is the time for which an answer is remembered.
	answerTTL waxfleet.Millis = 60_000
	// minTrialDelay is the time after the crash that led to a ban at which the trait is
	// tried again, because a ban may be wrong and only an answer lifts it. Each further crash
	// triples it, up to maxTrialDelay.
	minTrialDelay waxfleet.Millis = 10_000
	maxTrialDelay waxfleet.Millis = 600_000
	// manyCrashes is the number of crashes, independent or not, from which trials are at
	// least manyCrashesDelay apart: by then the fleet has to know the trait.
	manyCrashes                      = 5
	manyCrashesDelay waxfleet.Millis = 90_000
	// trialStagger is the delay between the instances that may try a trait, so that one
	// of them tries first and the others hear of the trial.
	trialStagger waxfleet.Millis = 500
	// sameTrialPeriod is the time within which two reports are of the same trial. It is short
	// compared with minTrialDelay.
	sameTrialPeriod waxfleet.Millis = 2_000
	// maxRecords is the maximum number of traits with evidence, maxCrashes that of
	// crashes per trait, and maxAnswers that of traits whose answers are remembered.
	maxRecords = 5_000
	maxCrashes = 16
	maxAnswers = 20_000
)

// event is a crash or an answer that other instances have to learn of.
type event struct {
	trait      Trait
	server     uint64
	sentAt, at waxfleet.Millis
	// wallSentAt is the Unix time of the send if the crash was read back, otherwise 0.
	wallSentAt waxfleet.Millis
}

// trial is a request with a banned trait that an instance has sent.
type trial struct {
	trait uint64
	at    waxfleet.Millis
}

// Ledger holds the evidence known to this instance. It is safe for concurrent use.
type Ledger struct {
	clock *waxfleet.Clock
	rank  func(trait uint64) int

	mu      sync.Mutex
	records map[uint64]*record
	answers *lru.Cache[uint64, waxfleet.Millis]
	// bans holds the number of independent crashes of each banned trait.
	bans    map[uint64]int
	updates waxgossip.Queue[event]
	trials  waxgossip.Queue[trial]
}

// New returns an empty ledger. rank returns the position of this instance among those
// that may try a banned trait, from 0.
func New(clock *waxfleet.Clock, rank func(trait uint64) int) *Ledger {
	answers, err := lru.New[uint64, waxfleet.Millis](maxAnswers)
	if err != nil {
		panic(err) // unreachable: the size is positive
	}
	return &Ledger{clock: clock, rank: rank, records: map[uint64]*record{}, answers: answers, bans: map[uint64]int{}}
}

// RecordCrash records that a server crashed while a request with the traits was beginning.
// server identifies the incarnation, and must not be 0.
func (l *Ledger) RecordCrash(server uint64, traits []Trait, sentAt, crashedAt waxfleet.Millis) []Change {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, t := range traits {
		l.addCrash(event{trait: t, server: server, sentAt: sentAt, at: crashedAt}, l.updates.AddAll)
	}
	return l.updateBans()
}

// RecordAnswer records that a server answered a request with the traits. It reports
// whether there are updates for other instances.
func (l *Ledger) RecordAnswer(traits []Trait) (updated bool, changes []Change) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	for _, t := range traits {
		l.answers.Add(t.hash, now)
		if r := l.records[t.hash]; r != nil && r.answer(now) {
			l.updates.AddAll(event{trait: t, at: now})
			updated = true
		}
	}
	if updated {
		changes = l.updateBans()
	}
	return updated, changes
}

// Merge adds the reports of another instance, and queues those that are new for the scope.
// It reports whether there were any.
func (l *Ledger) Merge(reports []Report, scope waxgossip.Scope) (updated bool, changes []Change) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	relay := func(e event) {
		l.updates.Add(scope, e)
		updated = true
	}
	for _, v := range reports {
		e := event{trait: v.trait, server: v.server, sentAt: now - v.sentAgo, at: now - v.ago, wallSentAt: v.wallSentAt}
		if v.server != 0 {
			l.addCrash(e, relay)
			continue
		}
		if r := l.records[v.trait.hash]; r != nil && r.answer(e.at) {
			relay(e)
		}
	}
	if updated {
		changes = l.updateBans()
	}
	return updated, changes
}

// addCrash adds a crash and queues it if it is new. An answer that this instance remembers
// is queued for all, whoever reported the crash. The caller holds the lock.
func (l *Ledger) addCrash(e event, enqueue func(event)) {
	r := l.records[e.trait.hash]
	if r == nil {
		if len(l.records) >= maxRecords {
			l.evict()
		}
		r = &record{trait: e.trait, wallOffset: l.clock.Wall() - l.clock.Now()}
		if e.wallSentAt != 0 {
			r.wallOffset = e.wallSentAt - e.sentAt
		}
		l.records[e.trait.hash] = r
	}
	if !r.add(crash{server: e.server, sentAt: e.sentAt, at: e.at, estimated: e.wallSentAt != 0}) {
		return
	}
	enqueue(e)
	if at, ok := l.answers.Get(e.trait.hash); ok && (!r.answered || at > r.answeredAt) && r.answer(at) {
		l.updates.AddAll(event{trait: e.trait, at: at})
	}
}

// evict drops the record with the fewest crashes, and of those the one with the earliest.
// The caller holds the lock.
func (l *Ledger) evict() {
	var first *record
	for _, r := range l.records {
		if first == nil || cmp.Or(cmp.Compare(len(r.crashes), len(first.crashes)), cmp.Compare(r.lastCrashAt(), first.lastCrashAt())) < 0 {
			first = r
		}
	}
	delete(l.records, first.trait.hash)
}

// updateBans bans the traits that explain the crashes, and returns the changes. It starts
// with the trait with the most crashes; the crashes that one trait explains count against
// no other, so that requests that ran beside its requests stay in service. The caller
// holds the lock.
func (l *Ledger) updateBans() []Change {
	now := l.clock.Now()
	var open []*record
	for hash, r := range l.records {
		if now-r.lastCrashAt() >= recordTTL {
			delete(l.records, hash)
			continue
		}
		if len(r.crashes) >= banThreshold {
			open = append(open, r)
		}
	}
	explained, bans := map[uint64]bool{}, map[uint64]int{}
	for {
		var top *record
		most := 0
		for _, r := range open {
			n := r.evidence(explained)
			if _, banned := bans[r.trait.hash]; banned || n < r.banThreshold() {
				continue
			}
			if top == nil || cmp.Or(cmp.Compare(n, most), cmp.Compare(r.trait.specificity, top.trait.specificity),
				cmp.Compare(r.trait.hash, top.trait.hash)) > 0 {
				top, most = r, n
			}
		}
		if top == nil {
			break
		}
		bans[top.trait.hash] = most
		for _, c := range top.crashes {
			if top.counts(c) {
				explained[c.server] = true
			}
		}
	}
	changes := l.changes(bans)
	l.bans = bans
	return changes
}

// changes returns the differences between the current bans and the next ones. The caller
// holds the lock.
func (l *Ledger) changes(next map[uint64]int) []Change {
	var out []Change
	for hash, n := range next {
		if l.bans[hash] != n {
			out = append(out, Change{trait: l.records[hash].trait, banned: true, crashes: n})
		}
	}
	for hash := range l.bans {
		if _, banned := next[hash]; !banned {
			c := Change{trait: Trait{hash: hash}}
			if r := l.records[hash]; r != nil {
				c.trait = r.trait
			}
			out = append(out, c)
		}
	}
	slices.SortFunc(out, func(a, b Change) int { return cmp.Compare(a.trait.hash, b.trait.hash) })
	return out
}

// Check decides whether a request with the traits may be sent. When a banned trait is due
// for a trial, it may, and the trial counts as made.
func (l *Ledger) Check(traits []Trait) Verdict { return l.check(traits, true) }

// Peek decides like Check, but a trial does not count as made.
func (l *Ledger) Peek(traits []Trait) Verdict { return l.check(traits, false) }

func (l *Ledger) check(traits []Trait, try bool) Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.bans) == 0 {
		return Verdict{}
	}
	now := l.clock.Now()
	var due []*record
	for _, t := range traits {
		n, banned := l.bans[t.hash]
		if !banned {
			continue
		}
		r := l.records[t.hash]
		delay := r.trialDelay(n)
		if at := l.trialAt(r, delay); now < at {
			return Verdict{banned: true, trait: r.trait, crashes: n, retryAfter: max(r.lastCrashAt()+delay-now, trialStagger)}
		}
		due = append(due, r)
	}
	if !try {
		return Verdict{}
	}
	for _, r := range due {
		r.trialAt, r.tried = now, true
		l.trials.AddAll(trial{trait: r.trait.hash, at: now})
	}
	return Verdict{trial: len(due) > 0}
}

// trialAt returns the time at which this instance may try a banned trait again.
func (l *Ledger) trialAt(r *record, delay waxfleet.Millis) waxfleet.Millis {
	at := r.lastCrashAt() + delay + r.trialTolerance() + waxfleet.Millis(l.rank(r.trait.hash))*trialStagger
	if r.tried {
		at = max(at, r.trialAt+delay)
	}
	return at
}

// Crashes returns the number of independent crashes of a banned trait; 0 if it is not
// banned.
func (l *Ledger) Crashes(t Trait) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bans[t.hash]
}

// MergeTrials adds the trials of other instances, and queues those that are new for the scope. It
// reports whether there were any.
func (l *Ledger) MergeTrials(trials []Trial, scope waxgossip.Scope) (updated bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	for _, v := range trials {
		r, at := l.records[v.trait], now-v.ago
		if r == nil || r.tried && at < r.trialAt+sameTrialPeriod {
			continue
		}
		r.trialAt, r.tried = at, true
		l.trials.Add(scope, trial{trait: v.trait, at: at})
		updated = true
	}
	return updated
}

// NextTrials returns at most limit trials for the next datagram of the scope.
func (l *Ledger) NextTrials(scope waxgossip.Scope, limit int) []Trial {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	var out []Trial
	for _, t := range l.trials.Next(scope, limit) {
		out = append(out, NewTrial(t.trait, now-t.at))
	}
	return out
}

// NextReports returns at most limit reports for the next datagram of the scope.
func (l *Ledger) NextReports(scope waxgossip.Scope, limit int) []Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	var out []Report
	for _, e := range l.updates.Next(scope, limit) {
		out = append(out, e.report(now))
	}
	return out
}

// All returns all evidence, for an instance that has just started.
func (l *Ledger) All() []Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	var out []Report
	for _, r := range l.records {
		for _, c := range r.crashes {
			out = append(out, event{trait: r.trait, server: c.server, sentAt: c.sentAt, at: c.at}.report(now))
		}
		if r.answered {
			out = append(out, event{trait: r.trait, at: r.answeredAt}.report(now))
		}
	}
	return out
}

// report returns the event in the form that instances exchange.
func (e event) report(now waxfleet.Millis) Report {
	return NewReport(e.trait, e.server, now-e.sentAt, now-e.at)
}
