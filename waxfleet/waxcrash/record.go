package waxcrash

import (
	"cmp"
	"math"
	"slices"

	"waxwingdrift.org/waxfleet"
)

// crash is the crash of a server while a request was beginning there.
type crash struct {
	server     uint64
	sentAt, at waxfleet.Millis
	// estimated is set if the times were derived from stored Unix times.
	estimated bool
}

// record is the evidence about one trait.
type record struct {
	trait Trait
	// wallOffset is the Unix time of time 0 of the clock, for crashes that outlast the process.
	// It stays as it was at the first crash, so that the times between crashes are right in
	// the text, whatever the wall clock does.
	wallOffset waxfleet.Millis
	// crashes is sorted by time, and holds at most maxCrashes.
	crashes []crash
	// answeredAt is the time of the latest known answer; answered is false without one.
	answeredAt waxfleet.Millis
	answered   bool
	// trialAt is the time of the latest known trial by any instance; tried is false before it.
	trialAt waxfleet.Millis
	tried   bool
}

// add adds a crash, and reports whether it was new.
func (r *record) add(c crash) bool {
	if slices.ContainsFunc(r.crashes, func(known crash) bool { return known.server == c.server }) {
		return false
	}
	r.crashes = append(r.crashes, c)
	// A request that is sent again at once may crash its server in the same millisecond.
	slices.SortFunc(r.crashes, func(a, b crash) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.sentAt, b.sentAt)) })
	if len(r.crashes) > maxCrashes {
		r.crashes = r.crashes[len(r.crashes)-maxCrashes:]
	}
	return true
}

// counts reports whether a crash counts against the trait: a request with a trait that
// crashes servers is never answered.
func (r *record) counts(c crash) bool { return !r.answered || c.at > r.answeredAt }

// answer records an answer, and reports whether it is of use: the first known one, or one
// after a crash that counted.
func (r *record) answer(at waxfleet.Millis) bool {
	if r.answered && !slices.ContainsFunc(r.crashes, func(c crash) bool { return r.counts(c) && c.at <= at }) {
		return false
	}
	r.answered, r.answeredAt = true, at
	return true
}

// independentCrashes returns the number of crashes that are neither explained by another
// trait nor the effect of one event. Servers that fail together fail with requests that
// were all sent before; a trait that crashes servers does so again with later requests.
func (r *record) independentCrashes(explained map[uint64]bool) int {
	n := 0
	var last waxfleet.Millis
	for _, c := range r.crashes {
		if explained[c.server] || !r.counts(c) || n > 0 && c.sentAt < last {
			continue
		}
		n++
		last = c.at
	}
	return n
}

// alike reports whether crashes that are neither explained by another trait nor independent are
// still the effect of the trait: at least half of the servers crashed the same time after their
// request was sent, and they crashed one after the other. Servers that fail together fail at the
// same time, however long their requests have been running. A server that has several requests
// with the trait crashes because of the first one, and may be reported with a later one.
func (r *record) alike(explained map[uint64]bool) bool {
	var crashes []crash
	for _, c := range r.crashes {
		if r.counts(c) && !explained[c.server] {
			crashes = append(crashes, c)
		}
	}
	need := max(minAlike, r.banThreshold(), (len(crashes)+1)/2)
	if len(crashes) < need {
		return false
	}
	delay := func(c crash) waxfleet.Millis { return c.at - c.sentAt }
	slices.SortFunc(crashes, func(a, b crash) int { return cmp.Compare(delay(a), delay(b)) })
	for i := range len(crashes) - need + 1 {
		group := crashes[i : i+need]
		first, last := group[0].at, group[0].at
		for _, c := range group {
			first, last = min(first, c.at), max(last, c.at)
		}
		if last-first >= max(minAlikeSpread, alikeFactor*(delay(group[need-1])-delay(group[0]))) {
			return true
		}
	}
	return false
}

// evidence returns the number of crashes that decide on a ban: independent ones, or as many as a
// ban needs if the crashes are alike.
func (r *record) evidence(explained map[uint64]bool) int {
	n := r.independentCrashes(explained)
	if n < r.banThreshold() && r.alike(explained) {
		return r.banThreshold()
	}
	return n
}

// banThreshold returns the number of independent crashes at which the trait is banned.
func (r *record) banThreshold() int {
	i := slices.IndexFunc(r.crashes, r.counts)
	if i >= 0 && r.answered && r.crashes[i].at-r.answeredAt < answerTTL {
		return banThresholdAnswered
	}
	return banThreshold
}

// lastCrashAt returns the time of the latest crash.
func (r *record) lastCrashAt() waxfleet.Millis { return r.crashes[len(r.crashes)-1].at }

// trialTolerance returns the time by which the latest crash may be younger than its times say.
func (r *record) trialTolerance() waxfleet.Millis {
	if r.crashes[len(r.crashes)-1].estimated {
		return wallTolerance
	}
	return 0
}

// trialDelay returns the delay after the latest crash of the next trial of a trait that is
// banned after so many independent crashes.
func (r *record) trialDelay(independent int) waxfleet.Millis {
	total := 0
	for _, c := range r.crashes {
		if r.counts(c) {
			total++
		}
	}
	delay := waxfleet.Millis(min(float64(minTrialDelay)*math.Pow(3, float64(independent-r.banThreshold())), float64(maxTrialDelay)))
	if total >= manyCrashes {
		return max(delay, manyCrashesDelay)
	}
	return delay
}
