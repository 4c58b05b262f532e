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

type platformScript struct {
	platform *waxplatform.Platform
	clock    *waxfleet.Clock
	client   *http.Client
}

func newPlatformScript(t *testing.T, opts waxplatform.Options) *platformScript {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	opts.Clock = waxfleet.NewManualClock(1_000)
	p, err := waxplatform.New(ctx, opts)
	if err != nil {
		t.Fatal(err)
	}
	// The client repeats a read whose reused connection is cut, so it reuses none.
	transport := &http.Transport{DisableKeepAlives: true}
	return &platformScript{platform: p, clock: opts.Clock, client: &http.Client{Transport: transport}}
}

// call returns the status, the ETag and the body, or "cut" for a connection
// that ends without an answer.
func (s *platformScript) call(method, path, header, body string) string {
	req, err := http.NewRequestWithContext(context.Background(), method, "http://"+s.platform.Address()+path, strings.NewReader(body))
	if err != nil {
		return err.Error()
	}
	req.Header.Set("X-Wax-Instance", "r1")
	if name, value, ok := strings.Cut(header, ":"); ok {
		req.Header.Set(name, value)
	}
	answer, err := s.client.Do(req)
	if err != nil {
		return "cut"
	}
	defer answer.Body.Close()
	data, err := io.ReadAll(answer.Body)
	if err != nil {
		return "cut"
	}
	return strings.TrimSpace(fmt.Sprintf("%d %s %s", answer.StatusCode, answer.Header.Get("ETag"), strings.TrimSpace(string(data))))
}

func (s *platformScript) run(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "call":
		var method, path, header string
		d.ScanArgs(t, "method", &method)
		d.ScanArgs(t, "path", &path)
		d.MaybeScanArgs(t, "header", &header)
		return s.call(method, path, header, strings.TrimSpace(d.Input)) + "\n"
	case "advance":
		var span int64
		d.ScanArgs(t, "ms", &span)
		s.clock.Advance(waxfleet.Millis(span))
		return ""
	case "history":
		var b strings.Builder
		for _, e := range s.platform.History() {
			fmt.Fprintf(&b, "%s/%s version=%d value=%q deleted=%t writer=%s\n", e.Kind, e.Name, e.Version, e.Value, e.Deleted, e.Writer)
		}
		return b.String()
	}
	t.Fatalf("unknown command %s", d.Cmd)
	return ""
}

// Guards against a store that loses the condition of an update, reuses a
// version, or shows a list or a fault other than the one that was set.
func TestProtocol(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := newPlatformScript(t, waxplatform.Options{ListLag: 300, Seed: 1})
		datadriven.RunTest(t, path, s.run)
	})
}

// Guards against a watch that misses a change or never ends.
func TestWatch(t *testing.T) {
	is := is.New(t)
	s := newPlatformScript(t, waxplatform.Options{})
	answers := make(chan string)
	watch := func(after uint64) {
		answers <- s.call("GET", fmt.Sprintf("/objects/config/head?after=%d&wait-ms=1000", after), "", "")
	}
	wait := func() {
		for s.platform.Counts().Watches != 1 {
			yield()
		}
	}

	go watch(0)
	wait()
	is.Equal(s.platform.Put("config", "other", []byte("x")), uint64(1))
	is.Equal(s.platform.Put("config", "head", []byte("a")), uint64(2))
	is.Equal(<-answers, `200 "2" a`)

	go watch(1)
	is.Equal(<-answers, `200 "2" a`) // a version that is there already does not wait

	go watch(2)
	wait()
	s.platform.SetFaults(waxplatform.Faults{Outage: true})
	is.Equal(<-answers, "503") // an outage ends the waiting watches

	s.platform.SetFaults(waxplatform.Faults{})
	go watch(2)
	is.Equal(s.advanceUntil(answers), "304")
}

func (s *platformScript) advanceUntil(answers <-chan string) string {
	for {
		select {
		case a := <-answers:
			return a
		default:
			s.clock.Advance(100)
			yield()
		}
	}
}

// Guards against a slow platform whose timed-out write never takes effect: the
// answer comes only after a delay on both sides of the write.
func TestSlow(t *testing.T) {
	is := is.New(t)
	s := newPlatformScript(t, waxplatform.Options{})
	s.platform.SetFaults(waxplatform.Faults{SlowBy: 200})
	answers := make(chan string, 1)
	go func() { answers <- s.call("PUT", "/objects/claim/a", "If-None-Match:*", "x") }()
	for len(s.platform.History()) == 0 {
		s.clock.Advance(10)
		yield()
	}
	is.Equal(len(answers), 0)
	is.Equal(s.advanceUntil(answers), `200 "1"`)
}

// Guards against a cut-off client that still gets answers, and against a cut
// that reaches other clients.
func TestCutFrom(t *testing.T) {
	is := is.New(t)
	s := newPlatformScript(t, waxplatform.Options{})
	s.platform.Put("config", "head", []byte("a"))
	s.platform.SetFaults(waxplatform.Faults{CutFrom: []string{"r1"}})
	is.Equal(s.call("GET", "/objects/config/head", "X-Wax-Instance:r2", ""), `200 "1" a`)
	answers := make(chan string, 1)
	go func() { answers <- s.call("GET", "/objects/config/head", "", "") }()
	for s.platform.Counts().Held != 1 {
		yield()
	}
	is.Equal(len(answers), 0)
	s.platform.SetFaults(waxplatform.Faults{})
	is.Equal(<-answers, "cut") // the answer is lost for good
}

// Guards against a rate limit that lets a write take effect.
func TestRateLimit(t *testing.T) {
	is := is.New(t)
	s := newPlatformScript(t, waxplatform.Options{WritesPerSecond: 1})
	is.Equal(s.call("PUT", "/objects/claim/a", "If-None-Match:*", "x"), `200 "1"`)
	is.Equal(s.call("PUT", "/objects/claim/b", "If-None-Match:*", "x"), "429")
	is.Equal(len(s.platform.History()), 1)
	s.clock.Advance(1_000)
	is.Equal(s.call("PUT", "/objects/claim/b", "If-None-Match:*", "x"), `200 "2"`)
}

// Guards against values over the limit and against names that need escapes.
func TestNamesAndSizes(t *testing.T) {
	is := is.New(t)
	s := newPlatformScript(t, waxplatform.Options{})
	large := strings.Repeat("x", waxfleet.MaxObjectBytes+1)
	is.Equal(s.call("PUT", "/objects/claim/a", "If-None-Match:*", large), "413")
	is.Equal(s.call("PUT", "/objects/claim/a", "If-None-Match:*", large[1:]), `200 "1"`)
	name := "a/b c%d"
	is.Equal(s.call("PUT", "/objects/order/"+url.PathEscape(name), "If-None-Match:*", "x"), `200 "2"`)
	_, ok := s.platform.Get("order", name)
	is.True(ok)
}

// yield lets the goroutines of the platform run.
func yield() { time.Sleep(100 * time.Microsecond) }
