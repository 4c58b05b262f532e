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
	requestTimeout = 30 * time.Second
	readBuffer     = 16 << 10
)

var endMarker = []byte("data: [DONE]\n\n")

// timing is one streamed request as its caller saw it.
type timing struct {
	firstByte time.Duration
	total     time.Duration
	// server is the backend server that the fleet chose.
	server string
}

// caller sends the same streamed request to engines and to routers.
type caller struct {
	client *http.Client
	body   string
}

// newCaller returns the caller of one stream. Each has its own connections, so
// that no request waits for another's.
func newCaller(chat string, tokens int) *caller {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"chat":%q,"messages":[{"role":"user","content":"write a citation for %s"}]}`,
		waxembed.ChatModel, tokens, chat, chat)
	transport := &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}
	return &caller{client: &http.Client{Transport: transport}, body: body}
}

// call sends the request and reads its answer to the end marker.
func (c *caller) call(ctx context.Context, address, workspace string) (timing, error) {
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
	resp, err := c.client.Do(req)
	if err != nil {
		return timing{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	t, tail, err := readTimed(resp.Body, start)
	if err != nil {
		return timing{}, err
	}
	if resp.StatusCode != http.StatusOK || !bytes.HasSuffix(tail, endMarker) {
		return timing{}, waxfleet.NewError(waxfleet.CodeStreamIncomplete, "status %d, and the answer ends with %q", resp.StatusCode, tail)
	}
	t.server = resp.Header.Get(waxentry.HeaderBackendServer)
	return t, nil
}

// readTimed reads to the end and returns the times and the last bytes.
func readTimed(r io.Reader, start time.Time) (timing, []byte, error) {
	var t timing
	var tail []byte
	buf := make([]byte, readBuffer)
	for {
		n, err := r.Read(buf)
		if n > 0 && t.firstByte == 0 {
			t.firstByte = time.Since(start)
		}
		tail = append(tail, buf[:n]...)
		tail = tail[max(len(tail)-len(endMarker), 0):]
		if err == io.EOF {
			t.total = time.Since(start)
			return t, tail, nil
		}
		if err != nil {
			return timing{}, nil, err
		}
	}
}
