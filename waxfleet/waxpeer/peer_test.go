package waxpeer

import (
	"context"
	"io"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxcache"
	"waxwingdrift.org/waxfleet/waxwire"
)

func counts(incarnation int64, sequence uint64, inFlight, pending uint32) *waxwire.LoadDatagram {
	return &waxwire.LoadDatagram{
		Instance: HashOf("r1"), Incarnation: incarnation, Sequence: sequence,
		Servers: []uint32{ServerHash("e1")}, InFlight: []uint32{inFlight}, PendingTokens: []uint32{pending}, Revisions: []uint64{9, 4},
	}
}

// TestLoads guards against counts of late datagrams, of an instance that has
// started again, and of one that is gone.
func TestLoads(t *testing.T) {
	is := is.New(t)
	clock := waxfleet.NewManualClock(1_000)
	l := NewLoads(clock)
	is.True(l.Take(counts(5, 2, 3, 900)))
	is.True(!l.Take(counts(5, 1, 7, 0))) // late
	is.Equal(l.Counts()[ServerHash("e1")], Count{InFlight: 3, Pending: 900})
	is.True(l.Alive("r1"))
	is.True(!l.Alive("r2"))
	is.Equal(l.Revisions(), []uint64{9, 4})

	is.True(l.Take(counts(6, 1, 1, 0))) // started again
	is.True(!l.Take(counts(5, 3, 9, 0)))
	is.Equal(l.Counts()[ServerHash("e1")].InFlight, 1)

	clock.Advance(silence)
	is.Equal(len(l.Counts()), 0)
	is.True(!l.Alive("r1"))
	n, _ := l.Heard()
	is.Equal(n, 0)
}

// TestExchange guards against instances that do not learn each other's counts
// and holdings, and against one that starts late and learns nothing of before.
func TestExchange(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	clock := waxfleet.NewClock()
	key := waxcache.NewKey([]waxfleet.PromptPart{{ID: "a", Tokens: 500}, {ID: "own", Tokens: 5}})
	addresses := map[string]string{"r1": free(t), "r2": free(t)}
	start := func(name string, holders *waxcache.Holders, inFlight int) *Loads {
		loads := NewLoads(clock)
		e, err := NewExchanger(ctx, loads, Options{
			Instance: name, Address: addresses[name], Clock: clock, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
			Counts:    func() map[string]Count { return map[string]Count{"e1": {InFlight: inFlight}} },
			Revisions: func() []uint64 { return []uint64{uint64(inFlight)} }, Holders: holders,
		})
		is.NoErr(err)
		e.SetPeers(addresses)
		return loads
	}
	early, late := waxcache.NewHolders(), waxcache.NewHolders()
	early.Sent(key, 7)
	for range 10 {
		early.News(10) // was told before the other instance started
	}
	first := start("r1", early, 2)
	second := start("r2", late, 5)
	deadline := time.Now().Add(20 * time.Second)
	for late.Held(key)[7] != 500 || first.Counts()[ServerHash("e1")].InFlight != 5 || second.Counts()[ServerHash("e1")].InFlight != 2 {
		if time.Now().After(deadline) {
			t.Fatalf("held %v, counts %v and %v", late.Held(key), first.Counts(), second.Counts())
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// free returns a datagram address of 127.0.0.1 that was free just now.
func free(t *testing.T) string {
	t.Helper()
	c, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	return c.LocalAddr().String()
}
