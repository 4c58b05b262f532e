package waxengine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"
	"waxwingdrift.org/waxstandin/internal/waxserve"
)

const (
	idPrefix = "chatcmpl-"

	// finishLength is the finish reason of every response: it has all tokens that
	// max_tokens allows.
	finishLength = "length"
)

// responseIdentity is the request ID of a response and the prompt digest that its tokens
// are derived from. The fault MismatchResponses replaces both with the ID of another
// request.
type responseIdentity struct {
	id     string
	digest string
}

// identityFor returns the identity of the response, with the fault MismatchResponses
// applied.
func (e *Engine) identityFor(r *run) responseIdentity {
	e.mu.Lock()
	otherID := e.lastRequestID
	e.lastRequestID = r.id
	e.mu.Unlock()
	if !e.shouldInject(e.currentFaults().MismatchResponses) {
		return responseIdentity{id: r.id, digest: r.prompt.digest}
	}
	if otherID == "" || otherID == r.id {
		otherID = "crossed-" + r.id
	}
	return responseIdentity{id: otherID, digest: otherID}
}

// streamFaults holds the faults of one streamed response and nextEvent, the index of the
// next event. duplicate and drop are shares of the events. If truncate is true, the
// connection is closed before the event truncateBefore.
type streamFaults struct {
	nextEvent      int
	truncateBefore int
	truncate       bool
	duplicate      float64
	drop           float64
}

func newStreamFaults(e *Engine, r *run) streamFaults {
	f := e.currentFaults()
	s := streamFaults{duplicate: f.DuplicateEvents, drop: f.DropEvents}
	if e.shouldInject(f.TruncateStreams) {
		e.mu.Lock()
		defer e.mu.Unlock()
		s.truncate = true
		s.truncateBefore = e.rng.IntN(r.prompt.endToken - r.prompt.firstToken + 1)
	}
	return s
}

type usage struct {
	PromptTokens        int          `json:"prompt_tokens"`
	CompletionTokens    int          `json:"completion_tokens"`
	TotalTokens         int          `json:"total_tokens"`
	PromptTokensDetails usageDetails `json:"prompt_tokens_details"`
}

type usageDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

type delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

type choice struct {
	Index        int     `json:"index"`
	Message      *delta  `json:"message,omitempty"`
	Delta        *delta  `json:"delta,omitempty"`
	FinishReason *string `json:"finish_reason"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

// sendStream sends events until the run ends. Event n, counted from 0, has token n of
// the response; the last event has the finish reason and the usage.
func (e *Engine) sendStream(c echo.Context, r *run, identity responseIdentity, faults streamFaults) error {
	ctx := c.Request().Context()
	e.delayFirstByte(c)
	header := c.Response().Header()
	header.Set(headerRequestID, identity.id)
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-cache")
	conn := waxserve.ConnFromContext(ctx)
	conn.BeginStream()
	defer conn.EndStream()
	w := &eventWriter{
		c:        c,
		conn:     conn,
		engine:   e,
		run:      r,
		identity: identity,
		faults:   faults,
	}
	for {
		p := r.progress()
		if _, err := e.freezeGate.Wait(ctx); err != nil {
			return err
		}
		if err := w.sendTokens(p.produced - r.prompt.firstToken); err != nil {
			return err
		}
		switch p.state {
		case runDone:
			return w.sendEnd()
		case runRunning:
		default:
			panic(http.ErrAbortHandler)
		}
		select {
		case <-p.changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// sendCompletion waits until the run has ended and sends a response that is not streamed.
func (e *Engine) sendCompletion(c echo.Context, r *run, identity responseIdentity) error {
	ctx := c.Request().Context()
	for {
		p := r.progress()
		if p.state == runDone {
			break
		}
		if p.state != runRunning {
			panic(http.ErrAbortHandler)
		}
		select {
		case <-p.changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	if _, err := e.freezeGate.Wait(ctx); err != nil {
		return err
	}
	e.delayFirstByte(c)
	c.Response().Header().Set(headerRequestID, identity.id)
	finish := finishLength
	text := r.responseText(identity, r.prompt.firstToken, r.prompt.endToken)
	return c.JSON(http.StatusOK, completion{
		ID:      idPrefix + identity.id,
		Object:  "chat.completion",
		Created: e.created(),
		Model:   r.request.Model,
		Choices: []choice{{Message: &delta{Role: roleAssistant, Content: text}, FinishReason: &finish}},
		Usage:   e.usageOf(r),
	})
}

// delayFirstByte injects the fault ResponseDelay.
func (e *Engine) delayFirstByte(c echo.Context) {
	_ = e.clock.Sleep(c.Request().Context(), e.currentFaults().ResponseDelay)
}

func (e *Engine) created() int64 { return int64(e.clock.Wall().Duration() / time.Second) }

func (e *Engine) usageOf(r *run) *usage {
	e.mu.Lock()
	defer e.mu.Unlock()
	completed := r.prompt.endToken - r.prompt.firstToken
	return &usage{
		PromptTokens:        r.prompt.tokens,
		CompletionTokens:    completed,
		TotalTokens:         r.prompt.tokens + completed,
		PromptTokensDetails: usageDetails{CachedTokens: r.cachedTokens},
	}
}

// responseText joins the tokens in [from, to) with spaces. It starts with a space unless
// from is 0.
func (r *run) responseText(identity responseIdentity, from, to int) string {
	var b strings.Builder
	for i := from; i < to; i++ {
		if i > 0 {
			b.WriteByte(' ')
		}
		b.WriteString(TokenAt(identity.digest, i))
	}
	return b.String()
}

// eventWriter sends the events of one response.
type eventWriter struct {
	c        echo.Context
	conn     *waxserve.Conn
	engine   *Engine
	run      *run
	identity responseIdentity
	faults   streamFaults
}

// sendTokens sends the unsent events before index end.
func (w *eventWriter) sendTokens(end int) error {
	for ; w.faults.nextEvent < end; w.faults.nextEvent++ {
		n := w.faults.nextEvent
		if w.faults.truncate && n >= w.faults.truncateBefore {
			panic(http.ErrAbortHandler)
		}
		if w.engine.shouldInject(w.faults.drop) {
			continue
		}
		copies := 1
		if w.engine.shouldInject(w.faults.duplicate) {
			copies = 2
		}
		for range copies {
			if err := w.send(n, w.tokenChunk(n)); err != nil {
				return err
			}
		}
	}
	return nil
}

// sendEnd sends the event with the finish reason and the marker [DONE].
func (w *eventWriter) sendEnd() error {
	if w.faults.truncate {
		panic(http.ErrAbortHandler)
	}
	last := w.run.prompt.endToken - w.run.prompt.firstToken
	if w.faults.nextEvent <= last {
		finish := finishLength
		chunk := w.chunk(choice{Delta: &delta{}, FinishReason: &finish})
		chunk.Usage = w.engine.usageOf(w.run)
		if err := w.send(last, chunk); err != nil {
			return err
		}
	}
	return w.write("data: [DONE]\n\n")
}

func (w *eventWriter) tokenChunk(n int) completion {
	i := w.run.prompt.firstToken + n
	d := &delta{Content: w.run.responseText(w.identity, i, i+1)}
	if n == 0 {
		d.Role = roleAssistant
	}
	return w.chunk(choice{Delta: d})
}

func (w *eventWriter) chunk(ch choice) completion {
	return completion{
		ID:      idPrefix + w.identity.id,
		Object:  "chat.completion.chunk",
		Created: w.engine.created(),
		Model:   w.run.request.Model,
		Choices: []choice{ch},
	}
}

func (w *eventWriter) send(n int, chunk completion) error {
	data, err := json.Marshal(chunk)
	if err != nil {
		return err
	}
	if err := w.write("id: " + strconv.Itoa(n) + "\ndata: " + string(data) + "\n\n"); err != nil {
		return err
	}
	w.conn.CountEvent()
	return nil
}

// write writes an event and flushes it, so that clients get each token once it is
// generated.
func (w *eventWriter) write(event string) error {
	if _, err := w.c.Response().Write([]byte(event)); err != nil {
		return err
	}
	w.c.Response().Flush()
	return nil
}
