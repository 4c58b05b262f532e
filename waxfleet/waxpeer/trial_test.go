package waxpeer

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxcache"
	"waxwingdrift.org/waxfleet/waxcrash"
	"waxwingdrift.org/waxfleet/waxlimit"
	"waxwingdrift.org/waxfleet/waxorigin"
)

// TestTrialIsTold guards against instances that try a banned trait one after the other, because
// none hears of the trial of the one before.
func TestTrialIsTold(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	clock := waxfleet.NewManualClock(1_000_000)
	bad := []waxcrash.Trait{waxcrash.RequestTrait("bad")}
	peers := []Peer{
		{Name: "r1", FailureDomain: "caerdydd", Address: freeAddress()},
		{Name: "r2", FailureDomain: "caerdydd", Address: freeAddress()},
	}
	crashes := map[string]*waxcrash.Ledger{}
	var exchangers []*Exchanger
	for _, p := range peers {
		crashes[p.Name] = newLedger(clock)
		for server := range uint64(2) {
			crashes[p.Name].RecordCrash(server+1, bad, clock.Now(), clock.Now())
		}
		e, err := NewExchanger(ctx, NewLoads(clock, "caerdydd"), Options{
			Self: p, Clock: clock, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
			Counts: func() map[uint32]ServerLoad { return nil }, Revisions: func() []waxfleet.Revision { return nil },
			ConfigVersion: func() uint64 { return 1 }, Ages: func() []waxfleet.Millis { return nil },
			UnreachableServices: func() []uint64 { return nil }, StoreReachable: func() bool { return true },
			CacheIndex: waxcache.NewIndex(), Crashes: crashes[p.Name], Limits: waxlimit.New(clock), Origins: waxorigin.NewStreams(clock),
		})
		is.NoErr(err)
		e.SetPeers(peers)
		exchangers = append(exchangers, e)
	}
	clock.Advance(600_000)
	is.True(!crashes["r2"].Peek(bad).Banned()) // a trial is due
	v := crashes["r1"].Check(bad)
	is.True(!v.Banned() && v.Trial())
	exchangers[0].Flush()
	for deadline := time.Now().Add(20 * time.Second); !crashes["r2"].Peek(bad).Banned(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the other instance has not heard of the trial")
		}
		clock.Advance(1)
	}
}
