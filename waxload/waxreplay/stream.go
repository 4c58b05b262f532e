package waxreplay

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"strconv"
	"strings"
	"time"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxload/waxreport"
)

// maxEventBytes bounds one line of a stream.
const maxEventBytes = 1 << 20

// chunk is one event of a chat-completions stream, or an error of the router
// after the first byte.
type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Usage *struct {
		Details *struct {
			Cached int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
	Error *struct {
		Code    waxfleet.Code `json:"code"`
		Message string        `json:"message"`
	} `json:"error"`
}

// stream is the state of reading one answer.
type stream struct {
	r      *Replayer
	start  time.Time
	last   time.Time
	next   int64
	tokens []string
	sample *waxreport.Sample
}

// readStream reads server-sent events up to [DONE] and returns the tokens.
//
// Errors: CodeStreamIncomplete without [DONE], CodeAnswerMismatch for events out
// of order, or the code that the router reports within the stream.
func (r *Replayer) readStream(ctx context.Context, body io.Reader, start time.Time, s *waxreport.Sample) ([]string, error) {
	st := &stream{r: r, start: start, sample: s}
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxEventBytes)
	for lines.Scan() {
		done, err := st.line(lines.Text())
		if done || err != nil {
			return st.tokens, err
		}
	}
	if ctx.Err() != nil {
		return nil, waxfleet.WrapError(ctx.Err(), waxfleet.CodeCancelled, "stream ended after %d tokens", len(st.tokens))
	}
	if err := lines.Err(); err != nil {
		return nil, waxfleet.WrapError(err, waxfleet.CodeStreamIncomplete, "stream broke after %d tokens", len(st.tokens))
	}
	return nil, waxfleet.NewError(waxfleet.CodeStreamIncomplete, "stream ended without [DONE] after %d tokens", len(st.tokens))
}

// line takes one line and reports whether it ended the stream.
func (st *stream) line(line string) (bool, error) {
	field, value, _ := strings.Cut(line, ":")
	value = strings.TrimPrefix(value, " ")
	switch field {
	case "id":
		return false, st.event(value)
	case "data":
		if value == "[DONE]" {
			return true, nil
		}
		return false, st.data(value)
	}
	return false, nil
}

// event checks that events count from 0 without gap or repetition.
func (st *stream) event(value string) error {
	id, err := strconv.ParseInt(value, 10, 64)
	if err != nil || id != st.next {
		return waxfleet.NewError(waxfleet.CodeAnswerMismatch, "event id %q, want %d", value, st.next)
	}
	st.next++
	return nil
}

func (st *stream) data(value string) error {
	var c chunk
	if err := json.Unmarshal([]byte(value), &c); err != nil {
		return waxfleet.WrapError(err, waxfleet.CodeAnswerMismatch, "event is not JSON")
	}
	if c.Error != nil {
		return waxfleet.NewError(c.Error.Code, "%s", c.Error.Message)
	}
	if c.Usage != nil && c.Usage.Details != nil {
		st.sample.CachedTokens = c.Usage.Details.Cached
	}
	for _, choice := range c.Choices {
		if choice.Delta.Content != "" {
			st.token(choice.Delta.Content)
		}
	}
	return nil
}

func (st *stream) token(text string) {
	now := time.Now()
	if len(st.tokens) == 0 {
		st.sample.FirstToken = now.Sub(st.start)
	} else {
		st.r.mu.Lock()
		waxreport.Record(st.r.gaps, now.Sub(st.last))
		st.r.mu.Unlock()
	}
	st.last = now
	st.tokens = append(st.tokens, text)
	st.sample.Tokens = len(st.tokens)
}
