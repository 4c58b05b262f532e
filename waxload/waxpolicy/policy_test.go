package waxpolicy

import (
	"bytes"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxload/waxtrace"
)

const testDurationMillis = 2 * 60_000

func testTrace(t *testing.T, opts Options, scenario Scenario) []waxtrace.Record {
	t.Helper()
	o := TraceOptions(opts, 0.6)
	o.Duration = testDurationMillis
	o.ThinkTimeDivisor = 4
	records, err := waxtrace.Generate(scenario.TraceOptions(o))
	is.New(t).NoErr(err)
	return records
}

func run(t *testing.T, p Policy, opts Options, scenario Scenario, records []waxtrace.Record) Outcome {
	t.Helper()
	outcome, err := Run(records, p, opts, scenario, rand.New(rand.NewPCG(1, 2)))
	is.New(t).NoErr(err)
	return outcome
}

// TestDeterminism guards against results that depend on map order or on any input
// but the arguments.
func TestDeterminism(t *testing.T) {
	is := is.New(t)
	trace := TraceOptions(DefaultOptions(), 0.6)
	trace.Duration = testDurationMillis
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

// TestLimitAtAdmission guards against an owner that admits above the load limit when
// it knows the exact mean load. As a control, plain rendezvous hashing must exceed
// the limit.
func TestLimitAtAdmission(t *testing.T) {
	opts := DefaultOptions()
	opts.ViewLag = 0
	for _, scenario := range Scenarios() {
		t.Run(string(scenario), func(t *testing.T) {
			is := is.New(t)
			records := testTrace(t, opts, scenario)
			for _, p := range []Policy{Owner, OwnerWait2000, OwnerFlat} {
				o := run(t, p, opts, scenario, records)
				is.True(o.MaxLimitRatio > 0.9) // the limit is reached
				is.True(o.MaxLimitRatio <= 1)
				is.Equal(o.OverLimitShare, 0.0)
			}
			plain := run(t, Rendezvous, opts, scenario, records)
			is.True(plain.MaxLimitRatio > 1.2)
			is.True(plain.OverLimitShare > 0.05)
		})
	}
}

// TestEveryRequestEnds guards against jobs that stay in a queue forever, or that are
// counted twice after their engine stops.
func TestEveryRequestEnds(t *testing.T) {
	for _, scenario := range Scenarios() {
		records := testTrace(t, DefaultOptions(), scenario)
		for _, p := range Policies() {
			t.Run(string(scenario)+"/"+string(p), func(t *testing.T) {
				is := is.New(t)
				sim, err := newSimulation(records, p, DefaultOptions(), scenario, rand.New(rand.NewPCG(1, 2)))
				is.NoErr(err)
				sim.run()
				rejected := 0
				for _, n := range sim.stats.rejected {
					rejected += n
				}
				is.Equal(sim.openJobs, 0)
				for _, e := range sim.engines {
					is.Equal(e.inFlight(), 0)
				}
				is.Equal(len(sim.stats.ttft)+rejected, len(records))
			})
		}
	}
}

// TestReuseOrder guards against a cache model in which rendezvous hashing does not
// improve cache reuse over random placement.
func TestReuseOrder(t *testing.T) {
	is := is.New(t)
	opts := DefaultOptions()
	opts.CacheShare = 4
	records := testTrace(t, opts, Steady)
	plain := run(t, Rendezvous, opts, Steady, records)
	random := run(t, Random, opts, Steady, records)
	owner := run(t, Owner, opts, Steady, records)
	is.True(plain.CacheReuse > owner.CacheReuse)
	is.True(owner.CacheReuse > random.CacheReuse+0.1)
	is.True(plain.CacheReuse <= 1)
}

// TestEngine guards against a wrong timing of the engine model. It sends two requests
// of one chat at 1024 tokens/s: one of 1024 tokens, and one of 1536 tokens, of which
// 1024 are cached.
func TestEngine(t *testing.T) {
	is := is.New(t)
	opts := DefaultOptions()
	opts.Engines, opts.Domains, opts.PrefillRate, opts.TokenInterval, opts.CacheBlocks = 1, 1, 1024, 10, 8
	records := []waxtrace.Record{
		{Timestamp: 0, InputLength: 1024, OutputLength: 10, HashIDs: []uint64{1, 2}, Chat: "c", Tier: "express"},
		{Timestamp: 5000, InputLength: 1536, OutputLength: 10, HashIDs: []uint64{1, 2, 3}, Chat: "c", Tier: "express"},
	}
	o := run(t, Rendezvous, opts, Steady, records)
	is.Equal(o.CacheReuse, 1.0)
	is.Equal(o.TTFTP50, 510.0)
	is.Equal(o.TTFTP95, 1010.0)
	is.Equal(o.RejectedShare, 0.0)
}

// TestColdEngine guards against a restarted engine that accepts more than its cold
// window, and against an owner that ignores the report that an engine is cold.
func TestColdEngine(t *testing.T) {
	is := is.New(t)
	records := testTrace(t, DefaultOptions(), Domain)
	plain := run(t, Rendezvous, DefaultOptions(), Domain, records)
	owner := run(t, Owner, DefaultOptions(), Domain, records)
	is.True(plain.ColdRejections > 0)
	is.True(owner.ColdRejections < plain.ColdRejections)
}

// TestSettings guards against accepting an unknown policy or scenario.
func TestSettings(t *testing.T) {
	is := is.New(t)
	_, err := Run(nil, "best", DefaultOptions(), Steady, rand.New(rand.NewPCG(1, 2)))
	is.Equal(waxfleet.CodeOf(err), waxfleet.CodeSettingInvalid)
	_, err = Compare(Policies(), "calm", []uint64{1}, DefaultOptions(), waxtrace.DefaultOptions())
	is.Equal(waxfleet.CodeOf(err), waxfleet.CodeSettingInvalid)
}
