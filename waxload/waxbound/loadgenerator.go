package waxbound

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/oklog/ulid/v2"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxload/waxembed"
	"waxwingdrift.org/waxstandin/waxengine"
	"waxwingdrift.org/waxstandin/waxservice"
)

// Entry is an instance that callers connect to.
type Entry struct {
	ID            string
	FailureDomain string
	Address       string
}

// Request describes one call: a streamed chat or, with AtMostOnce, a deposit, which
// is an at-most-once call of the plain service.
type Request struct {
	Chat   string
	Tokens int
	// Server is the first-choice backend server of the chat; empty if the chat was
	// not selected for a server.
	Server string
	// FailureDomain restricts the entry instance; empty allows any.
	FailureDomain string
	// AtMostOnce makes the call a deposit, with Chat as its body.
	AtMostOnce bool
	// DisconnectAfter, if positive, is the time after which the caller
	// disconnects.
	DisconnectAfter waxfleet.Millis
}

// Call is a completed request and its outcome.
type Call struct {
	Request
	// Entry is the ID of the entry instance.
	Entry string
	Start waxfleet.Millis
	End   waxfleet.Millis
	// Complete reports whether the complete and correct response arrived.
	Complete bool
	// Detail is the error of an incomplete call.
	Detail string
}

// maxInFlight bounds the calls in flight, and so memory and connections, when the
// fleet responds more slowly than calls are made.
const maxInFlight = 200

// callTimeout exceeds the deadline of the price tier that callers use.
const callTimeout = 45 * time.Second

// LoadGenerator distributes calls round-robin over its entry instances, as a load
// balancer with readiness checks does. It is safe for concurrent use.
type LoadGenerator struct {
	clock     *waxfleet.Clock
	workspace string
	client    *http.Client
	slots     chan struct{}

	mu      sync.Mutex
	entries []Entry
	next    int
	calls   []Call
	wg      sync.WaitGroup
}

// NewLoadGenerator returns a load generator of a workspace, without entry
// instances.
func NewLoadGenerator(clock *waxfleet.Clock, workspace string) *LoadGenerator {
	return &LoadGenerator{
		clock:     clock,
		workspace: workspace,
		client:    &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
		slots:     make(chan struct{}, maxInFlight),
	}
}

// AddEntry adds or replaces an entry instance.
func (g *LoadGenerator) AddEntry(e Entry) {
	g.RemoveEntry(e.ID)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.entries = append(g.entries, e)
}

// RemoveEntry removes an entry instance from the rotation.
func (g *LoadGenerator) RemoveEntry(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.entries = slices.DeleteFunc(slices.Clone(g.entries), func(e Entry) bool { return e.ID == id })
}

func (g *LoadGenerator) nextEntry(failureDomain string) (Entry, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for range g.entries {
		e := g.entries[g.next%len(g.entries)]
		g.next++
		if failureDomain == "" || e.FailureDomain == failureDomain {
			return e, true
		}
	}
	return Entry{}, false
}

// Go makes a call in the background. It blocks while maxInFlight calls are in
// flight, and makes no call if no entry instance matches.
func (g *LoadGenerator) Go(ctx context.Context, request Request) {
	select {
	case g.slots <- struct{}{}:
	case <-ctx.Done():
		return
	}
	e, ok := g.nextEntry(request.FailureDomain)
	if !ok {
		<-g.slots
		return
	}
	g.wg.Go(func() {
		defer func() { <-g.slots }()
		call := Call{Request: request, Entry: e.ID, Start: g.clock.Now()}
		err := g.send(ctx, e, request)
		call.End, call.Complete = g.clock.Now(), err == nil
		if err != nil {
			call.Detail = err.Error()
		}
		g.mu.Lock()
		defer g.mu.Unlock()
		g.calls = append(g.calls, call)
	})
}

// Run makes one call per interval until ctx is cancelled; calls in flight
// continue after that. pick returns the request with index i, counted from 0.
func (g *LoadGenerator) Run(ctx context.Context, interval waxfleet.Millis, pick func(i int) Request) {
	running := context.WithoutCancel(ctx)
	start := g.clock.Now()
	for i := 0; ctx.Err() == nil; i++ {
		g.Go(running, pick(i))
		if g.clock.Sleep(ctx, start+waxfleet.Millis(i+1)*interval-g.clock.Now()) != nil {
			return
		}
	}
}

// Calls waits for the calls in flight and returns all calls by start time.
func (g *LoadGenerator) Calls() []Call {
	g.wg.Wait()
	g.mu.Lock()
	defer g.mu.Unlock()
	calls := slices.Clone(g.calls)
	slices.SortFunc(calls, func(a, b Call) int { return int(a.Start - b.Start) })
	return calls
}

// send sends the request with its timeout. It returns an error unless the response
// is complete and correct.
func (g *LoadGenerator) send(ctx context.Context, e Entry, request Request) error {
	timeout := callTimeout
	if request.DisconnectAfter > 0 {
		timeout = request.DisconnectAfter.Duration()
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if request.AtMostOnce {
		return g.sendDeposit(ctx, e, request)
	}
	body := fmt.Appendf(nil, `{"model":%q,"stream":true,"max_tokens":%d,"chat":%q,"messages":[{"role":"user","content":"question of %s"}]}`,
		waxembed.ChatModel, request.Tokens, request.Chat, request.Chat)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.Address+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+g.workspace)
	resp, err := g.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	want, err := waxengine.ExpectedTokens(body)
	if err != nil {
		return err
	}
	got, err := readTokens(resp)
	if err != nil {
		return err
	}
	_, _ = io.Copy(io.Discard, resp.Body) // read to the end, so that the call is not counted as cancelled
	if !slices.Equal(got, want) {
		return waxfleet.NewError(waxfleet.CodeAnswerMismatch, "got %d tokens, want %d; the count or the text differs", len(got), len(want))
	}
	return nil
}

// sendDeposit sends a deposit and checks that the response contains the digest of
// its body.
func (g *LoadGenerator) sendDeposit(ctx context.Context, e Entry, request Request) error {
	url := "http://" + e.Address + "/services/" + waxembed.PlainService + waxembed.AtMostOncePath
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(request.Chat))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+g.workspace)
	req.Header.Set("Idempotency-Key", ulid.Make().String())
	resp, err := g.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	var response waxservice.Response
	sum := sha256.Sum256([]byte(request.Chat))
	if json.Unmarshal(data, &response) != nil || response.BodyDigest != hex.EncodeToString(sum[:16]) {
		return waxfleet.NewError(waxfleet.CodeAnswerMismatch, "status %d, response %q", resp.StatusCode, data)
	}
	return nil
}

// readTokens returns the tokens of a stream; a stream without an end marker is
// an error.
func readTokens(resp *http.Response) ([]string, error) {
	var text, other strings.Builder
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		payload, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			other.WriteString(lines.Text())
			continue
		}
		if payload == "[DONE]" {
			return strings.Fields(text.String()), nil
		}
		var chunk struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		if err := json.Unmarshal([]byte(payload), &chunk); err != nil {
			return nil, err
		}
		if len(chunk.Choices) == 0 {
			other.WriteString(payload)
		}
		for _, choice := range chunk.Choices {
			text.WriteString(choice.Delta.Content)
		}
	}
	return nil, waxfleet.NewError(waxfleet.CodeStreamIncomplete, "status %d, no end marker after %d tokens, error %v, other text %q",
		resp.StatusCode, len(strings.Fields(text.String())), lines.Err(), other.String())
}

// CheckComplete returns the calls without a complete response as violations.
func CheckComplete(calls []Call) []Violation {
	var violations []Violation
	for _, c := range calls {
		if !c.Complete {
			violations = append(violations, Violation{
				At:      c.Start,
				Subject: "call through " + c.Entry,
				Detail:  "no complete response after " + formatDuration(c.End-c.Start) + ": " + c.Detail,
			})
		}
	}
	return violations
}

// CountComplete counts the calls that started in [from, until), and those of
// them with a complete response.
func CountComplete(calls []Call, from, until waxfleet.Millis) (complete, all int) {
	for _, c := range calls {
		if c.Start < from || c.Start >= until {
			continue
		}
		all++
		if c.Complete {
			complete++
		}
	}
	return complete, all
}

// Attempts returns the calls whose chat was selected for a backend server.
func Attempts(calls []Call) []Attempt {
	var attempts []Attempt
	for _, c := range calls {
		if c.Server != "" {
			attempts = append(attempts, Attempt{At: c.Start, Server: c.Server})
		}
	}
	return attempts
}
