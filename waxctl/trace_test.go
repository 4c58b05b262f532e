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
	entryLog = `{"time":"2026-12-04T06:00:00.100Z","level":"INFO","msg":"placed","instance":"r1","request":"a1","server":"e1","load":2}
not a line of ours about a1
{"time":"2026-12-04T06:00:00.150Z","level":"INFO","msg":"placed","instance":"r1","request":"a12","server":"e3","load":2}
{"time":"2026-12-04T06:00:00.400Z","level":"WARN","msg":"request failed","instance":"r1","request":"a1","code":3003}
`
	otherLog = `{"time":"2026-12-04T06:00:00.250Z","level":"WARN","msg":"send failed","instance":"r2","request":"a1","server":"e1"}
`
)

// TestTrace guards against lines of other requests, lines that are missing or out
// of order, and an empty answer that looks like a request without trouble.
func TestTrace(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	one, two := filepath.Join(dir, "r1.log"), filepath.Join(dir, "r2.log")
	is.NoErr(os.WriteFile(one, []byte(entryLog), 0o600))
	is.NoErr(os.WriteFile(two, []byte(otherLog), 0o600))
	call := func(in string, args ...string) (string, int) {
		var out, errOut bytes.Buffer
		code := run(context.Background(), append([]string{"trace"}, args...), strings.NewReader(in), &out, &errOut)
		return out.String() + errOut.String(), code
	}
	text, code := call("", "a1", one, two)
	is.Equal(code, 0)
	is.Equal(strings.Fields(text), strings.Fields(`AFTER MS INSTANCE MESSAGE FIELDS
		0 r1 placed load=2 server=e1
		150 r2 send failed server=e1
		300 r1 request failed code=3003`))
	text, code = call(entryLog+otherLog, "a1", "--output", "json")
	is.Equal(code, 0)
	is.Equal(strings.Count(text, `"message"`), 3)
	_, code = call(entryLog, "a2")
	is.Equal(code, 6) // not found
	_, code = call("", "a1", filepath.Join(dir, "missing"))
	is.True(code != 0)
	_, code = call("")
	is.Equal(code, 2) // usage
}
