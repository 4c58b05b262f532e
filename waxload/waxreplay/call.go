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

// call is one trace record with the values derived from its position in the
// trace.
type call struct {
	index          int
	record         waxtrace.Record
	turn           int
	reusableTokens int
	entryAddress   string
	id             string
}

// callID returns a ULID whose timestamp is the wall-clock time at which the call
// is due, because routers reject idempotency keys that are old or in the future.
// The remaining bits derive from the seed and the position in the trace.
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
	_ = id.SetEntropy(entropy[:]) // fails only for a slice of another length
	return id.String()
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// chatBody is a chat completions request with the extension fields chat, hash_ids
// and input_length of the trace format.
type chatBody struct {
	Model       string    `json:"model"`
	Messages    []message `json:"messages"`
	Stream      bool      `json:"stream"`
	MaxTokens   int       `json:"max_tokens"`
	Chat        string    `json:"chat,omitempty"`
	HashIDs     []uint64  `json:"hash_ids"`
	InputLength int       `json:"input_length"`
}

// atMostOnceBody is the body of a call that must run at most once.
type atMostOnceBody struct {
	Workspace string `json:"workspace"`
	Order     string `json:"order"`
}

func (c call) body(model string) ([]byte, error) {
	if c.record.AtMostOnce {
		return json.Marshal(atMostOnceBody{Workspace: c.record.Workspace, Order: c.id})
	}
	text := fmt.Sprintf("request %s: turn %d of chat %s", c.id, c.turn, c.record.Chat)
	return json.Marshal(chatBody{
		Model:       model,
		Messages:    []message{{Role: "user", Content: text}},
		Stream:      true,
		MaxTokens:   c.record.OutputLength,
		Chat:        c.record.Chat,
		HashIDs:     c.record.HashIDs,
		InputLength: c.record.InputLength,
	})
}

func (c call) url(opts Options) string {
	if c.record.AtMostOnce {
		return "http://" + c.entryAddress + "/services/" + opts.Service + "/" + opts.AtMostOncePath
	}
	return "http://" + c.entryAddress + "/v1/chat/completions"
}

// send sends one request and returns its outcome. sentAt is the time since the start
// of the replay.
func (r *Replayer) send(ctx context.Context, c call, sentAt time.Duration) waxreport.Sample {
	s := waxreport.Sample{
		Index:          c.index,
		SentAt:         sentAt,
		Tier:           c.record.Tier,
		Workspace:      c.record.Workspace,
		EntryAddress:   c.entryAddress,
		RequestID:      c.id,
		AtMostOnce:     c.record.AtMostOnce,
		TTFT:           -1,
		CachedTokens:   -1,
		ReusableTokens: c.reusableTokens,
	}
	ctx, cancel := context.WithTimeout(ctx, r.opts.Timeout)
	defer cancel()
	start := time.Now()
	err := r.roundTrip(ctx, c, start, &s)
	s.Total = time.Since(start)
	s.Complete = err == nil
	if err != nil {
		s.Code, s.Message = waxfleet.CodeOf(err), err.Error()
	}
	return s
}

// roundTrip sends the request, reads the response and verifies it. It stores the
// measurements in s.
func (r *Replayer) roundTrip(ctx context.Context, c call, start time.Time, s *waxreport.Sample) error {
	body, err := c.body(r.opts.Model)
	if err != nil {
		return waxfleet.WrapError(err, waxfleet.CodeInternal, "encode the request")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url(r.opts), bytes.NewReader(body))
	if err != nil {
		return waxfleet.WrapError(err, waxfleet.CodeInternal, "create the request")
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+r.opts.APIKey(c.record.Workspace))
	request.Header.Set("X-Request-Id", c.id)
	if c.record.Tier != "" {
		request.Header.Set("X-Wax-Tier", c.record.Tier)
	}
	if c.record.AtMostOnce {
		request.Header.Set("Idempotency-Key", c.id)
	}
	response, err := r.client.Do(request)
	if err != nil {
		return transportError(ctx, err, "no response")
	}
	defer func() { _ = response.Body.Close() }()
	if id := response.Header.Get("X-Request-Id"); id != "" {
		s.RequestID = id
	}
	if response.StatusCode != http.StatusOK && (!c.record.AtMostOnce || response.StatusCode >= http.StatusMultipleChoices) {
		return responseError(response)
	}
	if c.record.AtMostOnce {
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return transportError(ctx, err, "response truncated")
		}
		return nil
	}
	tokens, err := r.readStream(ctx, response.Body, start, s)
	if err != nil {
		return err
	}
	if err := r.verify(body, tokens); err != nil {
		return waxfleet.WrapError(err, verificationCode(err), "response verification failed")
	}
	return nil
}

// verificationCode returns the result code of a verifier's error. An error
// without a code means that the response belongs to another request.
func verificationCode(err error) waxfleet.Code {
	if code := waxfleet.CodeOf(err); code != waxfleet.CodeInternal {
		return code
	}
	return waxfleet.CodeAnswerMismatch
}

// transportError maps a failure of the HTTP client to a result code. Only a failed
// dial proves that the request was not sent.
func transportError(ctx context.Context, err error, text string) error {
	if ctx.Err() != nil {
		return waxfleet.WrapError(err, waxfleet.CodeCancelled, "%s", text)
	}
	var opError *net.OpError
	if errors.As(err, &opError) && opError.Op == "dial" {
		return waxfleet.WrapError(err, waxfleet.CodePeerUnreachable, "failed to connect to the entry instance")
	}
	return waxfleet.WrapError(err, waxfleet.CodeOutcomeUnknown, "%s", text)
}

// errorBody is the JSON body of a router's error response.
type errorBody struct {
	Error struct {
		Code    waxfleet.Code `json:"code"`
		Message string        `json:"message"`
	} `json:"error"`
}

// maxErrorBytes limits how much of an error response is read.
const maxErrorBytes = 64 << 10

func responseError(response *http.Response) error {
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
