package waxreplay

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/oklog/ulid/v2"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxload/waxreport"
	"waxwingdrift.org/waxload/waxtrace"
)

// call is one request with all that its position in the trace decides.
type call struct {
	index     int
	record    waxtrace.Record
	turn      int
	unlimited int
	entry     string
	id        string
}

// callID returns a ULID with the time of day at which the call is due: routers
// refuse keys that are old or in the future. The rest comes from the seed and
// the position in the trace.
func callID(due waxfleet.Millis, seed uint64, index int) string {
	var id ulid.ULID
	_ = id.SetTime(uint64(due)) // in range until the year 10889
	var input [16]byte
	binary.BigEndian.PutUint64(input[:8], seed)
	binary.BigEndian.PutUint64(input[8:], uint64(index))
	sum := xxhash.Sum64(input[:])
	var entropy [10]byte
	binary.BigEndian.PutUint16(entropy[:2], uint16(index))
	binary.BigEndian.PutUint64(entropy[2:], sum)
	_ = id.SetEntropy(entropy[:]) // the length is right
	return id.String()
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// chatBody is a chat-completions request with the extension fields of traces.
type chatBody struct {
	Model       string    `json:"model"`
	Messages    []message `json:"messages"`
	Stream      bool      `json:"stream"`
	MaxTokens   int       `json:"max_tokens"`
	Chat        string    `json:"chat,omitempty"`
	HashIDs     []uint64  `json:"hash_ids"`
	InputLength int       `json:"input_length"`
}

// onceBody is the body of a once call.
type onceBody struct {
	Workspace string `json:"workspace"`
	Order     string `json:"order"`
}

func (c call) body(model string) ([]byte, error) {
	if c.record.Once {
		return json.Marshal(onceBody{Workspace: c.record.Workspace, Order: c.id})
	}
	text := fmt.Sprintf("request %s: turn %d of chat %s", c.id, c.turn, c.record.Chat)
	return json.Marshal(chatBody{
		Model: model, Messages: []message{{Role: "user", Content: text}}, Stream: true,
		MaxTokens: c.record.OutputLength, Chat: c.record.Chat,
		HashIDs: c.record.HashIDs, InputLength: c.record.InputLength,
	})
}

func (c call) url(opts Options) string {
	if c.record.Once {
		return "http://" + c.entry + "/services/" + opts.Service + "/" + opts.OncePath
	}
	return "http://" + c.entry + "/v1/chat/completions"
}

// do sends one request and returns how it ended.
func (r *Replayer) do(ctx context.Context, c call, at time.Duration) waxreport.Sample {
	s := waxreport.Sample{
		Index: c.index, At: at, Tier: c.record.Tier, Workspace: c.record.Workspace, Entry: c.entry,
		RequestID: c.id, Once: c.record.Once, FirstToken: -1, CachedTokens: -1, UnlimitedTokens: c.unlimited,
	}
	ctx, cancel := context.WithTimeout(ctx, r.opts.Timeout)
	defer cancel()
	start := time.Now()
	err := r.exchange(ctx, c, start, &s)
	s.Total = time.Since(start)
	s.Whole = err == nil
	if err != nil {
		s.Code, s.Message = waxfleet.CodeOf(err), err.Error()
	}
	return s
}

func (r *Replayer) exchange(ctx context.Context, c call, start time.Time, s *waxreport.Sample) error {
	body, err := c.body(r.opts.Model)
	if err != nil {
		return waxfleet.WrapError(err, waxfleet.CodeInternal, "encode the request")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url(r.opts), bytes.NewReader(body))
	if err != nil {
		return waxfleet.WrapError(err, waxfleet.CodeInternal, "make the request")
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+r.opts.Key(c.record.Workspace))
	request.Header.Set("X-Request-Id", c.id)
	if c.record.Tier != "" {
		request.Header.Set("X-Wax-Tier", c.record.Tier)
	}
	if c.record.Once {
		request.Header.Set("Idempotency-Key", c.id)
	}
	response, err := r.client.Do(request)
	if err != nil {
		return transportError(ctx, err, "no answer")
	}
	defer func() { _ = response.Body.Close() }()
	if id := response.Header.Get("X-Request-Id"); id != "" {
		s.RequestID = id
	}
	if response.StatusCode != http.StatusOK && (!c.record.Once || response.StatusCode >= http.StatusMultipleChoices) {
		return answerError(response)
	}
	if c.record.Once {
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return transportError(ctx, err, "answer cut off")
		}
		return nil
	}
	tokens, err := r.readStream(ctx, response.Body, start, s)
	if err != nil {
		return err
	}
	if err := r.verify(body, tokens); err != nil {
		return waxfleet.WrapError(err, verifyCode(err), "the answer did not pass the verifier")
	}
	return nil
}

// verifyCode keeps the result code of a verifier's error. An error without one
// means an answer that is not the request's own.
func verifyCode(err error) waxfleet.Code {
	if code := waxfleet.CodeOf(err); code != waxfleet.CodeInternal {
		return code
	}
	return waxfleet.CodeAnswerMismatch
}

func transportError(ctx context.Context, err error, text string) error {
	if ctx.Err() != nil {
		return waxfleet.WrapError(err, waxfleet.CodeCancelled, "%s", text)
	}
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		return waxfleet.WrapError(err, waxfleet.CodePeerUnreachable, "no connection to the entry")
	}
	return waxfleet.WrapError(err, waxfleet.CodeOutcomeUnknown, "%s", text)
}

// errorBody is the JSON error body of the router.
type errorBody struct {
	Error struct {
		Code    waxfleet.Code `json:"code"`
		Message string        `json:"message"`
	} `json:"error"`
}

// maxErrorBytes bounds the error body that is read.
const maxErrorBytes = 64 << 10

func answerError(response *http.Response) error {
	var body errorBody
	raw, err := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	if err == nil {
		err = json.Unmarshal(raw, &body)
	}
	if err != nil || body.Error.Code == waxfleet.CodeOK {
		return waxfleet.NewError(waxfleet.CodeInternal, "status %d without a result code", response.StatusCode)
	}
	return waxfleet.NewError(body.Error.Code, "%s", body.Error.Message)
}
