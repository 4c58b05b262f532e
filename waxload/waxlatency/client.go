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
	firstByte time.Duration
	total     time.Duration
	// server is the id of the backend server that the fleet selected.
	server string
}

// streamClient sends the same streamed request to engines and to routers.
type streamClient struct {
	http *http.Client
	body string
}

// newStreamClient returns a client for one stream. Clients don't share connections,
// so that no request waits for that of another stream.
func newStreamClient(chat string, tokens int) *streamClient {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"chat":%q,"messages":[{"role":"user","content":"write a citation for %s"}]}`,
		waxembed.ChatModel, tokens, chat, chat)
	transport := &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}
	return &streamClient{http: &http.Client{Transport: transport}, body: body}
}

// send sends the request and reads the whole response. A response that is not OK or
// does not end with doneEvent gives an error with CodeStreamIncomplete.
func (c *streamClient) send(ctx context.Context, address, workspace string) (timing, error) {
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

// readToEnd reads r to the end. It returns the times and the last bytes, as many as
// doneEvent has.
func readToEnd(r io.Reader, start time.Time) (timing, []byte, error) {
	var t timing
	var tail []byte
	buf := make([]byte, readBufferBytes)
	for {
		n, err := r.Read(buf)
		if n > 0 && t.firstByte == 0 {
			t.firstByte = time.Since(start)
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
