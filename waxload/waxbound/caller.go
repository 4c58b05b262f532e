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

// Entry is an instance that takes calls.
type Entry struct {
	ID            string
	FailureDomain string
	Address       string
}

// Ask is one call that a caller makes, of a streamed chat unless it says
// otherwise.
type Ask struct {
	Chat   string
	Tokens int
	// Server is the backend server that the chat was chosen for, if any.
	Server string
	// FailureDomain, when it is set, restricts the entry.
	FailureDomain string
	// Once makes it a call of the plain service that may not be repeated; Chat is
	// its body then.
	Once bool
	// LeaveAfter, when it is positive, is when the caller goes away.
	LeaveAfter waxfleet.Millis
}

// Call is an Ask and its end.
type Call struct {
	Ask
	Entry string
	Start waxfleet.Millis
	End   waxfleet.Millis
	// Whole says that the whole own answer came.
	Whole bool
	// Detail tells why it did not.
	Detail string
}

// maxCalls bounds the calls in flight, and with them memory and connections,
// when the fleet answers more slowly than callers ask.
const maxCalls = 200

// callTimeout is longer than the deadline of the tier that callers use.
const callTimeout = 45 * time.Second

// Callers make chat calls through entries in turn, as a load balancer does that
// knows which instances are ready. They are safe for concurrent use.
type Callers struct {
	clock     *waxfleet.Clock
	workspace string
	client    *http.Client
	places    chan struct{}

	mu      sync.Mutex
	entries []Entry
	next    int
	calls   []Call
	wg      sync.WaitGroup
}

// NewCallers returns callers of a workspace, without entries.
func NewCallers(clock *waxfleet.Clock, workspace string) *Callers {
	return &Callers{clock: clock, workspace: workspace, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}, places: make(chan struct{}, maxCalls)}
}

// Use adds or replaces an entry.
func (c *Callers) Use(e Entry) {
	c.Avoid(e.ID)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entries = append(c.entries, e)
}

// Avoid takes an entry out of the turn.
func (c *Callers) Avoid(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entries = slices.DeleteFunc(slices.Clone(c.entries), func(e Entry) bool { return e.ID == id })
}

func (c *Callers) entry(failureDomain string) (Entry, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for range c.entries {
		e := c.entries[c.next%len(c.entries)]
		c.next++
		if failureDomain == "" || e.FailureDomain == failureDomain {
			return e, true
		}
	}
	return Entry{}, false
}

// Go makes a call in the background. It waits while maxCalls are in flight.
func (c *Callers) Go(ctx context.Context, a Ask) {
	select {
	case c.places <- struct{}{}:
	case <-ctx.Done():
		return
	}
	e, ok := c.entry(a.FailureDomain)
	if !ok {
		<-c.places
		return
	}
	c.wg.Go(func() {
		defer func() { <-c.places }()
		call := Call{Ask: a, Entry: e.ID, Start: c.clock.Now()}
		err := c.do(ctx, e, a)
		call.End, call.Whole = c.clock.Now(), err == nil
		if err != nil {
			call.Detail = err.Error()
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		c.calls = append(c.calls, call)
	})
}

// Run makes a call per interval until ctx ends; calls in flight go on. pick
// returns the call of a number.
func (c *Callers) Run(ctx context.Context, interval waxfleet.Millis, pick func(i int) Ask) {
	running := context.WithoutCancel(ctx)
	start := c.clock.Now()
	for i := 0; ctx.Err() == nil; i++ {
		c.Go(running, pick(i))
		if c.clock.Sleep(ctx, start+waxfleet.Millis(i+1)*interval-c.clock.Now()) != nil {
			return
		}
	}
}

// Calls waits for the calls in flight and returns all in the order of their
// starts.
func (c *Callers) Calls() []Call {
	c.wg.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	calls := slices.Clone(c.calls)
	slices.SortFunc(calls, func(a, b Call) int { return int(a.Start - b.Start) })
	return calls
}

func (c *Callers) do(ctx context.Context, e Entry, a Ask) error {
	timeout := callTimeout
	if a.LeaveAfter > 0 {
		timeout = a.LeaveAfter.Duration()
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if a.Once {
		return c.once(ctx, e, a)
	}
	body := fmt.Appendf(nil, `{"model":%q,"stream":true,"max_tokens":%d,"chat":%q,"messages":[{"role":"user","content":"question of %s"}]}`,
		waxembed.ChatModel, a.Tokens, a.Chat, a.Chat)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.Address+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+c.workspace)
	resp, err := c.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	want, err := waxengine.Answer(body)
	if err != nil {
		return err
	}
	got, err := readTokens(resp)
	if err != nil {
		return err
	}
	_, _ = io.Copy(io.Discard, resp.Body) // to the end, so that the call is not counted as cancelled
	if !slices.Equal(got, want) {
		return waxfleet.NewError(waxfleet.CodeAnswerMismatch, "got %d tokens, want %d or other ones", len(got), len(want))
	}
	return nil
}

// once makes a call that may not be repeated and checks that the answer is its
// own.
func (c *Callers) once(ctx context.Context, e Entry, a Ask) error {
	url := "http://" + e.Address + "/services/" + waxembed.PlainService + waxembed.OncePath
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(a.Chat))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+c.workspace)
	req.Header.Set("Idempotency-Key", ulid.Make().String())
	resp, err := c.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	var answer waxservice.Answer
	sum := sha256.Sum256([]byte(a.Chat))
	if json.Unmarshal(data, &answer) != nil || answer.BodyDigest != hex.EncodeToString(sum[:16]) {
		return waxfleet.NewError(waxfleet.CodeAnswerMismatch, "status %d, answer %q", resp.StatusCode, data)
	}
	return nil
}

// readTokens returns the tokens of a stream that has its end marker.
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

// CheckWhole returns the calls that did not get their whole answer.
func CheckWhole(calls []Call) []Violation {
	var found []Violation
	for _, c := range calls {
		if !c.Whole {
			found = append(found, Violation{At: c.Start, Subject: "call through " + c.Entry, Detail: "no whole answer after " + span(c.End-c.Start) + ": " + c.Detail})
		}
	}
	return found
}

// Share returns how many of the calls that began between from and until got
// their whole answer, and how many began.
func Share(calls []Call, from, until waxfleet.Millis) (whole, all int) {
	for _, c := range calls {
		if c.Start < from || c.Start >= until {
			continue
		}
		all++
		if c.Whole {
			whole++
		}
	}
	return whole, all
}

// Attempts returns the calls that were made for a backend server.
func Attempts(calls []Call) []Attempt {
	var attempts []Attempt
	for _, c := range calls {
		if c.Server != "" {
			attempts = append(attempts, Attempt{At: c.Start, Server: c.Server})
		}
	}
	return attempts
}
