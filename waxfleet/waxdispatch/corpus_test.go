package waxdispatch

import (
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"

	"waxwingdrift.org/waxfleet"
)

// TestMalformedResponses guards against a response whose head or trailer is no HTTP and that
// reaches the caller, and against refusing a sound one. The responses are those of
// waxhead/testdata/corpus.txt.
func TestMalformedResponses(t *testing.T) {
	is := is.New(t)
	raw, err := os.ReadFile("../waxhead/testdata/corpus.txt")
	is.NoErr(err)
	responses := 0
	for line := range strings.Lines(string(raw)) {
		if line = strings.TrimSpace(line); line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		verdict, rest, _ := strings.Cut(line, " ")
		name, quoted, _ := strings.Cut(rest, " ")
		text, err := strconv.Unquote(quoted)
		is.NoErr(err)
		responses++
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBackend(t, func(_ int, e *engineCall) {
				conn, _, err := http.NewResponseController(e.writer).Hijack()
				if err != nil {
					return
				}
				_, _ = io.WriteString(conn, strings.ReplaceAll(text, "FIELDS", headerRequestID+": "+e.id+"\r\n"))
				_ = conn.Close()
			})
			s := &recordingSink{}
			_, err := newDispatcher(waxfleet.NewClock(), Options{}).Do(t.Context(), plainCall(b.server(), http.MethodPost, true), s)
			is.Equal(err == nil, verdict == "sound")
			is.True(err != nil || s.String() == "ok")
			is.True(err == nil || waxfleet.CodeOf(err) == waxfleet.CodeOutcomeUnknown && s.heads == 0)
		})
	}
	is.True(responses > 50)
}
