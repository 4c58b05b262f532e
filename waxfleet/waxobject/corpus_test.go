package waxobject

import (
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"

	"waxwingdrift.org/waxfleet"
)

// TestMalformedResponses guards against a write that counts as done because of a response whose
// head or trailer is no HTTP. The responses are those of waxhead/testdata/corpus.txt.
func TestMalformedResponses(t *testing.T) {
	is := is.New(t)
	raw, err := os.ReadFile("../waxhead/testdata/corpus.txt")
	is.NoErr(err)
	responses := 0
	for line := range strings.Lines(string(raw)) {
		line = strings.TrimSpace(line)
		verdict, rest, _ := strings.Cut(line, " ")
		name, quoted, _ := strings.Cut(rest, " ")
		// This client takes the statuses of the platform's interface alone.
		if line == "" || verdict == "#" || name == "status-299" {
			continue
		}
		text, err := strconv.Unquote(quoted)
		is.NoErr(err)
		responses++
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return
				}
				_, _ = io.WriteString(conn, strings.ReplaceAll(text, "FIELDS", ""))
				_ = conn.Close()
			}))
			defer s.Close()
			err := NewClient(s.URL, "caerdydd-1", nil).Delete(t.Context(), "claim", "n", 3)
			// The head gives the result of a write; these bodies are cut off after it.
			cutOff := name == "body-short" || name == "chunk-size-word"
			is.Equal(err == nil, verdict == "sound" || cutOff)
			is.True(err == nil || waxfleet.CodeOf(err) == waxfleet.CodePlatformUnknown)
		})
	}
	is.True(responses > 50)
}
