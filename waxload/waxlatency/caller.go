package waxlatency

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/oklog/ulid/v2"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxentry"
	"waxwingdrift.org/waxload/waxembed"
)

const (
	requestTimeout  = 30 * time.Second
	readBufferBytes = 16 << 10
)

// doneEvent is the last event of a complete stream.
var doneEvent = []byte("data: [DONE]\n\n")

// timing holds the measurements of one streamed request.
type timing struct {
	timeToFirstByte time.Duration
	total           time.Duration
	// server is the ID of the backend server that the fleet selected; empty for a direct
	// request.
	server string
}

// streamCaller sends the same streamed request to engines and to routers.
type streamCaller struct {
	http *http.Client
	body string
}

// newStreamCaller returns a caller for one stream. Callers don't share connections,
// so that no request waits for a request of another stream.
func newStreamCaller(chat string, tokens int) *streamCaller {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"chat":%q,"messages":[{"role":"user","content":"write a citation for %s"}]}`,
		waxembed.ChatModel, tokens, chat, chat)
	transport := &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}
	return &streamCaller{http: &http.Client{Transport: transport}, body: body}
}

// send sends the request and reads the response to its end. A response that does not
// have status 200 or does not end with doneEvent gives an error with
// CodeStreamIncomplete.
func (c *streamCaller) send(ctx context.Context, address, workspace string) (timing, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions", strings.NewReader(c.body))
	if err != nil {
		return timing{}, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+workspace)
	req.Header.Set(waxentry.HeaderRequestID, ulid.Make().String())
	start := time.Now()
	resp, err := c.http.Do(req)
	if err != nil {
		return timing{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	t, tail, err := readToEnd(resp.Body, start)
	if err != nil {
		return timing{}, err
	}
	if resp.StatusCode != http.StatusOK || !bytes.HasSuffix(tail, doneEvent) {
		return timing{}, waxfleet.NewError(waxfleet.CodeStreamIncomplete, "status %d, response ends with %q", resp.StatusCode, tail)
	}
	t.server = resp.Header.Get(waxentry.HeaderBackendServer)
	return t, nil
}

// readToEnd reads r to the end. It returns the time to the first byte and the total
// time, both since start, and as many of the last bytes as doneEvent has.
func readToEnd(r io.Reader, start time.Time) (timing, []byte, error) {
	var t timing
	var tail []byte
	buf := make([]byte, readBufferBytes)
	for {
		n, err := r.Read(buf)
		if n > 0 && t.timeToFirstByte == 0 {
			t.timeToFirstByte = time.Since(start)
		}
		tail = append(tail, buf[:n]...)
		tail = tail[max(len(tail)-len(doneEvent), 0):]
		if err == io.EOF {
			t.total = time.Since(start)
			return t, tail, nil
		}
		if err != nil {
			return timing{}, nil, err
		}
	}
}
