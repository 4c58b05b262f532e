package waxpool

import (
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"

	"waxwingdrift.org/waxfleet"
)

// TestMalformedResponses guards against taking a response whose head or trailer is no HTTP, and
// against refusing a sound one. The responses are those of waxhead/testdata/corpus.txt.
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
			address, _ := serveScript(t, []string{strings.ReplaceAll(text, "FIELDS", "Attempt: 1\r\n")})
			body, _, err := do(New(waxfleet.NewClock(), plainProtocol{}, NewBudget(100), address, 4), request("1"))
			is.Equal(err == nil, verdict == "sound")
			is.True(err != nil || body == "ok")
		})
	}
	is.True(responses > 50)
}
