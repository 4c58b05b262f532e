package main

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const (
	firstLog = `{"time":"2026-12-04T06:00:00.100Z","level":"INFO","msg":"placed","instance":"r1","request":"a1","server":"e1","load":2}
line of another program about a1
{"time":"2026-12-04T06:00:00.150Z","level":"INFO","msg":"placed","instance":"r1","request":"a12","server":"e3","load":2}
{"time":"2026-12-04T06:00:00.400Z","level":"WARN","msg":"request failed","instance":"r1","request":"a1","code":3003}
`
	secondLog = `{"time":"2026-12-04T06:00:00.250Z","level":"WARN","msg":"send failed","instance":"r2","request":"a1","server":"e1"}
`
)

// TestTrace guards against lines of other requests, missing or unordered lines, and
// success with empty output for a request that the logs don't have.
func TestTrace(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	firstPath, secondPath := filepath.Join(dir, "r1.log"), filepath.Join(dir, "r2.log")
	is.NoErr(os.WriteFile(firstPath, []byte(firstLog), 0o600))
	is.NoErr(os.WriteFile(secondPath, []byte(secondLog), 0o600))
	call := func(in string, args ...string) (string, int) {
		var out, errOut bytes.Buffer
		code := run(context.Background(), append([]string{"trace"}, args...), strings.NewReader(in), &out, &errOut)
		return out.String() + errOut.String(), code
	}
	text, code := call("", "a1", firstPath, secondPath)
	is.Equal(code, 0)
	is.Equal(strings.Fields(text), strings.Fields(`AFTER MS INSTANCE MESSAGE FIELDS
		0 r1 placed load=2 server=e1
		150 r2 send failed server=e1
		300 r1 request failed code=3003`))
	text, code = call(firstLog+secondLog, "a1", "--output", "json")
	is.Equal(code, 0)
	is.Equal(strings.Count(text, `"message"`), 3)
	_, code = call(firstLog, "a2")
	is.Equal(code, 6) // not found
	_, code = call("", "a1", filepath.Join(dir, "missing"))
	is.True(code != 0)
	_, code = call("")
	is.Equal(code, 2) // usage
}
