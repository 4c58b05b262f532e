package waxplatform_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"
	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxstandin/waxplatform"
)

type testPlatform struct {
	platform *waxplatform.Platform
	clock    *waxfleet.Clock
	client   *http.Client
}

func newTestPlatform(t *testing.T, opts waxplatform.Options) *testPlatform {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	opts.Clock = waxfleet.NewManualClock(1_000)
	p, err := waxplatform.New(ctx, opts)
	if err != nil {
		t.Fatal(err)
	}
	// net/http retries a read if a reused connection is closed. Without keep-alive, no
	// connection is reused.
	transport := &http.Transport{DisableKeepAlives: true}
	return &testPlatform{platform: p, clock: opts.Clock, client: &http.Client{Transport: transport}}
}

// call returns the status, the ETag and the body, or "cut" if the connection is
// closed without a complete response.
func (p *testPlatform) call(method, path, header, body string) string {
	req, err := http.NewRequestWithContext(context.Background(), method, "http://"+p.platform.Address()+path, strings.NewReader(body))
	if err != nil {
		return err.Error()
	}
	req.Header.Set("X-Wax-Instance", "r1")
	if name, value, ok := strings.Cut(header, ":"); ok {
		req.Header.Set(name, value)
	}
	response, err := p.client.Do(req)
	if err != nil {
		return "cut"
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return "cut"
	}
	return strings.TrimSpace(fmt.Sprintf("%d %s %s", response.StatusCode, response.Header.Get("ETag"), strings.TrimSpace(string(data))))
}

// run executes a command of a test script and returns its output.
func (p *testPlatform) run(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "call":
		var method, path, header string
		d.ScanArgs(t, "method", &method)
		d.ScanArgs(t, "path", &path)
		d.MaybeScanArgs(t, "header", &header)
		return p.call(method, path, header, strings.TrimSpace(d.Input)) + "\n"
	case "advance":
		var ms int64
		d.ScanArgs(t, "ms", &ms)
		p.clock.Advance(waxfleet.Millis(ms))
		return ""
	case "history":
		var b strings.Builder
		for _, event := range p.platform.History() {
			fmt.Fprintf(&b, "%s/%s version=%d value=%q deleted=%t writer=%s\n",
				event.Kind, event.Name, event.Version, event.Value, event.Deleted, event.Writer)
		}
		return b.String()
	}
	t.Fatalf("unknown command %s", d.Cmd)
	return ""
}

// TestProtocol guards against a store that ignores the condition of a write or reuses
// a version, against an instance list that is ahead of its lag, and against faults
// without effect.
func TestProtocol(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		p := newTestPlatform(t, waxplatform.Options{ListLag: 300, Seed: 1})
		datadriven.RunTest(t, path, p.run)
	})
}

// TestWatch guards against a watch that misses a change or never returns.
func TestWatch(t *testing.T) {
	is := is.New(t)
	p := newTestPlatform(t, waxplatform.Options{})
	responses := make(chan string)
	watch := func(after uint64) {
		responses <- p.call("GET", fmt.Sprintf("/objects/config/head?after=%d&wait-ms=1000", after), "", "")
	}
	awaitWatch := func() {
		for p.platform.Counts().Watches != 1 {
			letServerRun()
		}
	}

	go watch(0)
	awaitWatch()
	is.Equal(p.platform.Put("config", "other", []byte("x")), uint64(1))
	is.Equal(p.platform.Put("config", "head", []byte("a")), uint64(2))
	is.Equal(<-responses, `200 "2" a`)

	go watch(1)
	is.Equal(<-responses, `200 "2" a`) // returns at once if the object is newer

	go watch(2)
	awaitWatch()
	p.platform.SetFaults(waxplatform.Faults{Outage: true})
	is.Equal(<-responses, "503") // an outage ends waiting watches

	p.platform.SetFaults(waxplatform.Faults{})
	go watch(2)
	is.Equal(p.advanceUntil(responses), "304")
}

// advanceUntil advances the clock until a response arrives, and returns it.
func (p *testPlatform) advanceUntil(responses <-chan string) string {
	for {
		select {
		case response := <-responses:
			return response
		default:
			p.clock.Advance(100)
			letServerRun()
		}
	}
}

// TestSlow guards against a slow platform on which a write that times out never takes
// effect: the delay must be split before and after the write.
func TestSlow(t *testing.T) {
	is := is.New(t)
	p := newTestPlatform(t, waxplatform.Options{})
	p.platform.SetFaults(waxplatform.Faults{RequestDelay: 200})
	responses := make(chan string, 1)
	go func() { responses <- p.call("PUT", "/objects/claim/a", "If-None-Match:*", "x") }()
	for len(p.platform.History()) == 0 {
		p.clock.Advance(10)
		letServerRun()
	}
	is.Equal(len(responses), 0)
	is.Equal(p.advanceUntil(responses), `200 "1"`)
}

// TestCutFrom guards against a partitioned client that still gets responses, and
// against a partition that affects other clients.
func TestCutFrom(t *testing.T) {
	is := is.New(t)
	p := newTestPlatform(t, waxplatform.Options{})
	p.platform.Put("config", "head", []byte("a"))
	p.platform.SetFaults(waxplatform.Faults{PartitionedClients: []string{"r1"}})
	is.Equal(p.call("GET", "/objects/config/head", "X-Wax-Instance:r2", ""), `200 "1" a`)
	responses := make(chan string, 1)
	go func() { responses <- p.call("GET", "/objects/config/head", "", "") }()
	for p.platform.Counts().Held != 1 {
		letServerRun()
	}
	is.Equal(len(responses), 0)
	p.platform.SetFaults(waxplatform.Faults{})
	is.Equal(<-responses, "cut") // the response is lost permanently
}

// TestRateLimit guards against a write that takes effect although it is rate limited.
func TestRateLimit(t *testing.T) {
	is := is.New(t)
	p := newTestPlatform(t, waxplatform.Options{WritesPerSecond: 1})
	is.Equal(p.call("PUT", "/objects/claim/a", "If-None-Match:*", "x"), `200 "1"`)
	is.Equal(p.call("PUT", "/objects/claim/b", "If-None-Match:*", "x"), "429")
	is.Equal(len(p.platform.History()), 1)
	p.clock.Advance(1_000)
	is.Equal(p.call("PUT", "/objects/claim/b", "If-None-Match:*", "x"), `200 "2"`)
}

// TestNamesAndSizes guards against values above the size limit and names that need
// percent-encoding.
func TestNamesAndSizes(t *testing.T) {
	is := is.New(t)
	p := newTestPlatform(t, waxplatform.Options{})
	large := strings.Repeat("x", waxfleet.MaxObjectBytes+1)
	is.Equal(p.call("PUT", "/objects/claim/a", "If-None-Match:*", large), "413")
	is.Equal(p.call("PUT", "/objects/claim/a", "If-None-Match:*", large[1:]), `200 "1"`)
	name := "a/b c%d"
	is.Equal(p.call("PUT", "/objects/order/"+url.PathEscape(name), "If-None-Match:*", "x"), `200 "2"`)
	_, ok := p.platform.Get("order", name)
	is.True(ok)
}

// letServerRun sleeps briefly, so that the goroutines of the platform run.
func letServerRun() { time.Sleep(100 * time.Microsecond) }
