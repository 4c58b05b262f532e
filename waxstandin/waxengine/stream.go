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

	// finishLength is the reason that every answer ends for: it has all tokens
	// that max_tokens allows.
	finishLength = "length"
)

// voice is the identity under which an answer is sent. A crossed answer has
// that of another request.
type voice struct {
	id     string
	digest string
}

func (e *Engine) voiceOf(r *run) voice {
	e.mu.Lock()
	other := e.lastID
	e.lastID = r.id
	e.mu.Unlock()
	if !e.hits(e.fault().CrossAnswers) {
		return voice{id: r.id, digest: r.prompt.digest}
	}
	if other == "" || other == r.id {
		other = "crossed-" + r.id
	}
	return voice{id: other, digest: other}
}

// streamFaults are the faults of one response.
type streamFaults struct {
	next      int
	cutBefore int
	cut       bool
	duplicate float64
	drop      float64
}

func newStreamFaults(e *Engine, r *run) streamFaults {
	f := e.fault()
	s := streamFaults{duplicate: f.DuplicateEvents, drop: f.DropEvents}
	if e.hits(f.TruncateStreams) {
		e.mu.Lock()
		defer e.mu.Unlock()
		s.cut = true
		s.cutBefore = e.random.IntN(r.prompt.total - r.prompt.first + 1)
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

// stream sends events until the run ends. Event n, from 0, holds token n of the
// answer; the one after the last token holds the finish reason and the usage.
func (e *Engine) stream(c echo.Context, r *run, v voice, faults streamFaults) error {
	ctx := c.Request().Context()
	e.clockLate(c)
	header := c.Response().Header()
	header.Set(headerRequestID, v.id)
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-cache")
	conn := waxserve.ConnOf(ctx)
	conn.BeginStream()
	defer conn.EndStream()
	w := &eventWriter{c: c, conn: conn, engine: e, run: r, voice: v, faults: faults}
	for {
		p := r.progress()
		if _, err := e.freezer.Wait(ctx); err != nil {
			return err
		}
		if err := w.sendTokens(p.produced - r.prompt.first); err != nil {
			return err
		}
		switch p.state {
		case runDone:
			return w.sendEnd()
		case runActive:
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

// answer sends a whole answer after the run has ended.
func (e *Engine) answer(c echo.Context, r *run, v voice) error {
	ctx := c.Request().Context()
	for {
		p := r.progress()
		if p.state == runDone {
			break
		}
		if p.state != runActive {
			panic(http.ErrAbortHandler)
		}
		select {
		case <-p.changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	if _, err := e.freezer.Wait(ctx); err != nil {
		return err
	}
	e.clockLate(c)
	c.Response().Header().Set(headerRequestID, v.id)
	finish := finishLength
	text := r.text(v, r.prompt.first, r.prompt.total)
	return c.JSON(http.StatusOK, completion{
		ID:      idPrefix + v.id,
		Object:  "chat.completion",
		Created: e.created(),
		Model:   r.request.Model,
		Choices: []choice{{Message: &delta{Role: roleAssistant, Content: text}, FinishReason: &finish}},
		Usage:   e.usageOf(r),
	})
}

func (e *Engine) clockLate(c echo.Context) {
	_ = e.clock.Sleep(c.Request().Context(), e.fault().LateBy)
}

func (e *Engine) created() int64 { return int64(e.clock.Wall().Duration() / time.Second) }

func (e *Engine) usageOf(r *run) *usage {
	e.mu.Lock()
	defer e.mu.Unlock()
	completed := r.prompt.total - r.prompt.first
	return &usage{
		PromptTokens:        r.prompt.tokens,
		CompletionTokens:    completed,
		TotalTokens:         r.prompt.tokens + completed,
		PromptTokensDetails: usageDetails{CachedTokens: r.cachedTokens},
	}
}

// text joins tokens from one index up to another. It starts with a space unless
// token 0 is the first.
func (r *run) text(v voice, from, to int) string {
	var b strings.Builder
	for i := from; i < to; i++ {
		if i > 0 {
			b.WriteByte(' ')
		}
		b.WriteString(TokenAt(v.digest, i))
	}
	return b.String()
}

// eventWriter sends the events of one response.
type eventWriter struct {
	c      echo.Context
	conn   *waxserve.Conn
	engine *Engine
	run    *run
	voice  voice
	faults streamFaults
}

// sendTokens sends the events before index end that were not sent yet.
func (w *eventWriter) sendTokens(end int) error {
	for ; w.faults.next < end; w.faults.next++ {
		n := w.faults.next
		if w.faults.cut && n >= w.faults.cutBefore {
			panic(http.ErrAbortHandler)
		}
		if w.engine.hits(w.faults.drop) {
			continue
		}
		copies := 1
		if w.engine.hits(w.faults.duplicate) {
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

// sendEnd sends the event with the finish reason and the end marker.
func (w *eventWriter) sendEnd() error {
	if w.faults.cut {
		panic(http.ErrAbortHandler)
	}
	last := w.run.prompt.total - w.run.prompt.first
	if w.faults.next <= last {
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
	i := w.run.prompt.first + n
	d := &delta{Content: w.run.text(w.voice, i, i+1)}
	if n == 0 {
		d.Role = roleAssistant
	}
	return w.chunk(choice{Delta: d})
}

func (w *eventWriter) chunk(ch choice) completion {
	return completion{
		ID:      idPrefix + w.voice.id,
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

// write flushes each event, so that a reader sees tokens at their times.
func (w *eventWriter) write(event string) error {
	if _, err := w.c.Response().Write([]byte(event)); err != nil {
		return err
	}
	w.c.Response().Flush()
	return nil
}
