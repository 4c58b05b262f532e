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

// maxLineBytes limits one line of a stream.
const maxLineBytes = 1 << 20

// streamEvent is one event of a chat completions stream, or an error that the
// router reports after the first byte.
type streamEvent struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Usage *struct {
		PromptTokensDetails *struct {
			CachedTokens int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
	Error *struct {
		Code    waxfleet.Code `json:"code"`
		Message string        `json:"message"`
	} `json:"error"`
}

// streamReader holds the state of reading one streamed response.
type streamReader struct {
	replayer    *Replayer
	start       time.Time
	lastTokenAt time.Time
	nextEventID int64
	tokens      []string
	sample      *waxreport.Sample
}

// readStream reads server-sent events up to [DONE] and returns the tokens.
//
// Errors: CodeCancelled if ctx is done, CodeStreamIncomplete without [DONE],
// CodeAnswerMismatch for an event that is out of order or not JSON, or the code that
// the router reports within the stream.
func (r *Replayer) readStream(ctx context.Context, body io.Reader, start time.Time, s *waxreport.Sample) ([]string, error) {
	sr := &streamReader{replayer: r, start: start, sample: s}
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		done, err := sr.handleLine(lines.Text())
		if done || err != nil {
			return sr.tokens, err
		}
	}
	if ctx.Err() != nil {
		return nil, waxfleet.WrapError(ctx.Err(), waxfleet.CodeCancelled, "stream ended after %d tokens", len(sr.tokens))
	}
	if err := lines.Err(); err != nil {
		return nil, waxfleet.WrapError(err, waxfleet.CodeStreamIncomplete, "stream broken after %d tokens", len(sr.tokens))
	}
	return nil, waxfleet.NewError(waxfleet.CodeStreamIncomplete, "stream ended without [DONE] after %d tokens", len(sr.tokens))
}

// handleLine processes one line and reports whether it ended the stream.
func (sr *streamReader) handleLine(line string) (bool, error) {
	field, value, _ := strings.Cut(line, ":")
	value = strings.TrimPrefix(value, " ")
	switch field {
	case "id":
		return false, sr.checkEventID(value)
	case "data":
		if value == "[DONE]" {
			return true, nil
		}
		return false, sr.handleData(value)
	}
	return false, nil
}

// checkEventID checks that event IDs count from 0 without gaps or repetitions.
func (sr *streamReader) checkEventID(value string) error {
	id, err := strconv.ParseInt(value, 10, 64)
	if err != nil || id != sr.nextEventID {
		return waxfleet.NewError(waxfleet.CodeAnswerMismatch, "event id %q, want %d", value, sr.nextEventID)
	}
	sr.nextEventID++
	return nil
}

func (sr *streamReader) handleData(value string) error {
	var event streamEvent
	if err := json.Unmarshal([]byte(value), &event); err != nil {
		return waxfleet.WrapError(err, waxfleet.CodeAnswerMismatch, "event data is not valid JSON")
	}
	if event.Error != nil {
		return waxfleet.NewError(event.Error.Code, "%s", event.Error.Message)
	}
	if event.Usage != nil && event.Usage.PromptTokensDetails != nil {
		sr.sample.CachedTokens = event.Usage.PromptTokensDetails.CachedTokens
	}
	for _, choice := range event.Choices {
		if choice.Delta.Content != "" {
			sr.recordToken(choice.Delta.Content)
		}
	}
	return nil
}

func (sr *streamReader) recordToken(text string) {
	now := time.Now()
	if len(sr.tokens) == 0 {
		sr.sample.TTFT = now.Sub(sr.start)
	} else {
		sr.replayer.mu.Lock()
		waxreport.RecordLatency(sr.replayer.itl, now.Sub(sr.lastTokenAt))
		sr.replayer.mu.Unlock()
	}
	sr.lastTokenAt = now
	sr.tokens = append(sr.tokens, text)
	sr.sample.Tokens = len(sr.tokens)
}
