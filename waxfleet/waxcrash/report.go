package waxcrash

import "waxwingdrift.org/waxfleet"

// Report is evidence about one trait, as instances exchange it: a crash of a server, or an
// answer that did not crash its server.
type Report struct {
	trait  Trait
	server uint64
	// sentAgo and ago are the ages of the send and of the crash or answer.
	sentAgo, ago waxfleet.Millis
	// wallSentAt is the Unix time of the send in a report that was read back, whose ages may
	// therefore be as wrong as wall clocks are; otherwise 0.
	wallSentAt waxfleet.Millis
}

// NewReport returns a report. server identifies the incarnation that crashed; 0 stands
// for an answer. sentAgo is the time since the request was sent, and ago the time since
// the crash or the answer.
func NewReport(trait Trait, server uint64, sentAgo, ago waxfleet.Millis) Report {
	return Report{trait: trait, server: server, sentAgo: max(sentAgo, ago, 0), ago: max(ago, 0)}
}

// Trait returns the trait that the report is about.
func (r Report) Trait() Trait { return r.trait }

// Server returns the incarnation that crashed; 0 for an answer.
func (r Report) Server() uint64 { return r.server }

// SentAgo returns the time since the request was sent.
func (r Report) SentAgo() waxfleet.Millis { return r.sentAgo }

// Ago returns the time since the crash or the answer.
func (r Report) Ago() waxfleet.Millis { return r.ago }

// Trial is a request with a banned trait, as instances tell each other of it: one of them sends
// it, to find out whether it still crashes servers, and the others wait for the result.
type Trial struct {
	trait uint64
	ago   waxfleet.Millis
}

// NewTrial returns a trial of the trait with a hash. ago is the time since the request was sent.
func NewTrial(trait uint64, ago waxfleet.Millis) Trial { return Trial{trait: trait, ago: max(ago, 0)} }

// Trait returns the hash of the trait.
func (t Trial) Trait() uint64 { return t.trait }

// Ago returns the time since the request was sent.
func (t Trial) Ago() waxfleet.Millis { return t.ago }

// Change is a trait that was banned or released.
type Change struct {
	trait   Trait
	banned  bool
	crashes int
}

// Trait returns the trait.
func (c Change) Trait() Trait { return c.trait }

// Banned reports whether the trait was banned; otherwise it was released.
func (c Change) Banned() bool { return c.banned }

// Crashes returns the number of independent crashes that count against the trait.
func (c Change) Crashes() int { return c.crashes }

// Verdict says whether a request may be sent.
type Verdict struct {
	banned, trial bool
	trait         Trait
	crashes       int
	retryAfter    waxfleet.Millis
}

// Banned reports whether the request must not be sent.
func (v Verdict) Banned() bool { return v.banned }

// Trial reports whether the request is a trial of a banned trait, of which other instances have
// to hear.
func (v Verdict) Trial() bool { return v.trial }

// Trait returns the trait that is banned.
func (v Verdict) Trait() Trait { return v.trait }

// Crashes returns the number of independent crashes that count against the trait.
func (v Verdict) Crashes() int { return v.crashes }

// RetryAfter returns the time until the trait may be tried again.
func (v Verdict) RetryAfter() waxfleet.Millis { return v.retryAfter }
