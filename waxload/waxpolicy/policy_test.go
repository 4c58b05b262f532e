package waxpolicy

import (
	"bytes"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxload/waxtrace"
)

const testMillis = 2 * 60_000

func testTrace(t *testing.T, opts Options, scenario Scenario) []waxtrace.Record {
	t.Helper()
	o := TraceOptions(opts, 0.6)
	o.Duration = testMillis
	o.ThinkTimeDivisor = 4
	records, err := waxtrace.Generate(scenario.Trace(o))
	is.New(t).NoErr(err)
	return records
}

func run(t *testing.T, p Policy, opts Options, scenario Scenario, records []waxtrace.Record) Outcome {
	t.Helper()
	outcome, err := Run(records, p, opts, scenario, rand.New(rand.NewPCG(1, 2)))
	is.New(t).NoErr(err)
	return outcome
}

// TestDeterminism guards against map order or another hidden input in a replay.
func TestDeterminism(t *testing.T) {
	is := is.New(t)
	trace := TraceOptions(DefaultOptions(), 0.6)
	trace.Duration = testMillis
	output := func() []byte {
		summaries, err := Compare(Policies(), Flap, []uint64{1, 2}, DefaultOptions(), trace)
		is.NoErr(err)
		var b bytes.Buffer
		is.NoErr(WriteJSON(&b, summaries))
		is.NoErr(WriteTable(&b, summaries))
		return b.Bytes()
	}
	is.True(bytes.Equal(output(), output()))
}

// TestLimitAtAdmission guards against an owner that admits above the limit of
// the mean that it knows. Plain hashing has to fail the same check.
func TestLimitAtAdmission(t *testing.T) {
	opts := DefaultOptions()
	opts.ViewLag = 0
	for _, scenario := range Scenarios() {
		t.Run(string(scenario), func(t *testing.T) {
			is := is.New(t)
			records := testTrace(t, opts, scenario)
			for _, p := range []Policy{Owner, OwnerWait2000, OwnerFlat} {
				o := run(t, p, opts, scenario, records)
				is.True(o.LimitRatio > 0.9) // the limit is reached
				is.True(o.LimitRatio <= 1)
				is.Equal(o.OverLimit, 0.0)
			}
			plain := run(t, Rendezvous, opts, scenario, records)
			is.True(plain.LimitRatio > 1.2)
			is.True(plain.OverLimit > 0.05)
		})
	}
}

// TestEveryRequestEnds guards against jobs that are lost in a queue, or counted
// twice when an engine dies under them.
func TestEveryRequestEnds(t *testing.T) {
	for _, scenario := range Scenarios() {
		records := testTrace(t, DefaultOptions(), scenario)
		for _, p := range Policies() {
			t.Run(string(scenario)+"/"+string(p), func(t *testing.T) {
				is := is.New(t)
				r, err := newReplay(records, p, DefaultOptions(), scenario, rand.New(rand.NewPCG(1, 2)))
				is.NoErr(err)
				r.drain()
				refused := 0
				for _, n := range r.stats.refused {
					refused += n
				}
				is.Equal(r.open, 0)
				for _, e := range r.engines {
					is.Equal(e.inFlight(), 0)
				}
				is.Equal(len(r.stats.first)+refused, len(records))
			})
		}
	}
}

// TestReuseOrder guards against a cache model in which hashing does not pay.
func TestReuseOrder(t *testing.T) {
	is := is.New(t)
	opts := DefaultOptions()
	opts.CacheShare = 4
	records := testTrace(t, opts, Steady)
	plain := run(t, Rendezvous, opts, Steady, records)
	random := run(t, Random, opts, Steady, records)
	owner := run(t, Owner, opts, Steady, records)
	is.True(plain.Reuse > owner.Reuse)
	is.True(owner.Reuse > random.Reuse+0.1)
	is.True(plain.Reuse <= 1)
}

// TestEngine guards the arithmetic of the engine model on two requests of one
// chat: 1024 tokens at 1024 tokens/s, then 512 more with the first part cached.
func TestEngine(t *testing.T) {
	is := is.New(t)
	opts := DefaultOptions()
	opts.Engines, opts.Domains, opts.PrefillRate, opts.TokenInterval, opts.CacheBlocks = 1, 1, 1024, 10, 8
	records := []waxtrace.Record{
		{Timestamp: 0, InputLength: 1024, OutputLength: 10, HashIDs: []uint64{1, 2}, Chat: "c", Tier: "express"},
		{Timestamp: 5000, InputLength: 1536, OutputLength: 10, HashIDs: []uint64{1, 2, 3}, Chat: "c", Tier: "express"},
	}
	o := run(t, Rendezvous, opts, Steady, records)
	is.Equal(o.Reuse, 1.0)
	is.Equal(o.FirstP50, 510.0)
	is.Equal(o.FirstP95, 1010.0)
	is.Equal(o.Refused, 0.0)
}

// TestColdEngine guards against a returning engine that takes more than it can
// bear, and against an owner whose window ignores the report of being cold.
func TestColdEngine(t *testing.T) {
	is := is.New(t)
	records := testTrace(t, DefaultOptions(), Domain)
	plain := run(t, Rendezvous, DefaultOptions(), Domain, records)
	owner := run(t, Owner, DefaultOptions(), Domain, records)
	is.True(plain.ColdRefusals > 0)
	is.True(owner.ColdRefusals < plain.ColdRefusals)
}

// TestSettings guards against unknown names that run as something else.
func TestSettings(t *testing.T) {
	is := is.New(t)
	_, err := Run(nil, "best", DefaultOptions(), Steady, rand.New(rand.NewPCG(1, 2)))
	is.Equal(waxfleet.CodeOf(err), waxfleet.CodeSettingInvalid)
	_, err = Compare(Policies(), "calm", []uint64{1}, DefaultOptions(), waxtrace.DefaultOptions())
	is.Equal(waxfleet.CodeOf(err), waxfleet.CodeSettingInvalid)
}
