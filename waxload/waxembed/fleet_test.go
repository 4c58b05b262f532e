package waxembed_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"waxwingdrift.org/waxload/waxembed"
	"waxwingdrift.org/waxstandin/waxengine"
)

func start(t *testing.T, opts waxembed.Options) *waxembed.Fleet {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	f, err := waxembed.Start(ctx, opts)
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// streamChat sends a streamed chat call. It returns the status, the tokens and
// whether the end marker arrived.
func streamChat(address, workspace, body string) (status int, tokens []string, done bool, err error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return 0, nil, false, err
	}
	req.Header.Set("Authorization", "Bearer "+workspace)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil, false, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return resp.StatusCode, nil, false, err
	}
	var text strings.Builder
	for _, line := range bytes.Split(data, []byte("\n")) {
		payload, ok := bytes.CutPrefix(line, []byte("data: "))
		if !ok {
			continue
		}
		if string(payload) == "[DONE]" {
			done = true
			continue
		}
		var chunk struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		if err := json.Unmarshal(payload, &chunk); err != nil {
			return resp.StatusCode, nil, done, fmt.Errorf("%s: %w", payload, err)
		}
		for _, c := range chunk.Choices {
			text.WriteString(c.Delta.Content)
		}
	}
	return resp.StatusCode, strings.Fields(text.String()), done, nil
}

// TestStreamThroughTheFleet is an end-to-end test: every entry instance returns
// the complete stream of a chat, wherever its engine is.
func TestStreamThroughTheFleet(t *testing.T) {
	is := is.New(t)
	f := start(t, waxembed.DefaultOptions())
	for i, address := range f.CallerAddresses() {
		body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":12,"chat":"chat-%d","messages":[{"role":"user","content":"hello %d"}]}`, waxembed.ChatModel, i, i)
		status, tokens, done, err := streamChat(address, "ws-01", body)
		is.NoErr(err)
		is.Equal(status, http.StatusOK)
		is.True(done)
		want, err := waxengine.ExpectedTokens([]byte(body))
		is.NoErr(err)
		is.Equal(tokens, want)
	}
}
