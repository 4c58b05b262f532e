package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/oklog/ulid/v2"
)

// TestFleet guards against programs that work as packages in one process but not
// as separate processes: settings, ports, signals, trace files and exit codes.
func TestFleet(t *testing.T) {
	bin := build(t)
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &script{fleet: newFleet(t, bin), keys: map[string]string{}}
		datadriven.RunTest(t, path, s.run)
	})
}

// TestSettingsPage guards against a settings page that lags behind the flags.
func TestSettingsPage(t *testing.T) {
	const page = "../docs/settings.md"
	for _, c := range commands {
		if c.Name() != "settings" {
			continue
		}
		var out bytes.Buffer
		c.SetOut(&out)
		if err := c.RunE(c, nil); err != nil {
			t.Fatal(err)
		}
		want, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		if out.String() != string(want) {
			t.Fatalf("%s differs from the output of waxrouter settings; write it anew", page)
		}
		return
	}
	t.Fatal("there is no command settings")
}

type script struct {
	*fleet
	// keys holds the idempotency keys that the script has names for.
	keys map[string]string
}

func (s *script) run(t *testing.T, d *datadriven.TestData) string {
	s.t = t
	var router, entry, chat, id, key, body string
	var tokens int
	d.MaybeScanArgs(t, "router", &router)
	d.MaybeScanArgs(t, "entry", &entry)
	d.MaybeScanArgs(t, "chat", &chat)
	d.MaybeScanArgs(t, "id", &id)
	d.MaybeScanArgs(t, "key", &key)
	d.MaybeScanArgs(t, "body", &body)
	d.MaybeScanArgs(t, "tokens", &tokens)
	switch d.Cmd {
	case "start":
		s.startAll()
		return ""
	case "owned":
		s.awaitOwned(d)
		return ""
	case "in-force":
		s.await("the last edit in force everywhere", func() bool {
			return !slices.ContainsFunc(s.instances(), func(r instanceRow) bool { return r.ConfigVersion < s.changed })
		})
		return ""
	case "stream":
		return s.call(router, id, chat, tokens).finish("") + "\n"
	case "deposit":
		return s.deposit(router, key, body)
	case "spans":
		return s.spans()
	case "explain":
		return s.explain(id)
	case "waxctl":
		out, errOut, code := s.fleet.run("", "waxctl", s.args(d)...)
		s.noteVersion(out)
		return address.ReplaceAllString(report(out, errOut, code), "ADDRESS")
	case "waxrouter":
		out, errOut, code := s.fleet.run("", "waxrouter", s.args(d)...)
		return report(out, errOut, code)
	case "file":
		if err := os.WriteFile(filepath.Join(s.dir, d.CmdArgs[0].Key), []byte(d.Input), 0o600); err != nil {
			t.Fatal(err)
		}
		return ""
	case "drain":
		return s.drain(router, entry, chat, tokens)
	}
	t.Fatalf("unknown command %s", d.Cmd)
	return ""
}

func (s *script) args(d *datadriven.TestData) []string {
	return strings.Fields(strings.ReplaceAll(d.Input, "DIR", s.dir))
}

// awaitOwned waits until each router owns the given number of backend servers,
// all of them are warm, and each router serves from each failure domain. It then
// follows from the names alone which engine serves a chat.
func (s *script) awaitOwned(d *datadriven.TestData) {
	s.t.Helper()
	s.await("ownership "+fmt.Sprint(d.CmdArgs), func() bool {
		return !slices.ContainsFunc(s.instances(), func(r instanceRow) bool {
			return r.Mode != "attached" || !slices.ContainsFunc(d.CmdArgs, func(a datadriven.CmdArg) bool {
				return a.Key == r.ID && a.Vals[0] == fmt.Sprint(r.Owned)
			})
		})
	})
	s.await("warm backend servers", func() bool {
		out, _, _ := s.fleet.run("", "waxctl", "--output", "json", "servers")
		return strings.Count(out, `"warm"`) == len(s.address)-len(d.CmdArgs)-1
	})
	for _, a := range d.CmdArgs {
		served, probe := map[string]bool{}, 0
		s.await(a.Key+" serving from both failure domains", func() bool {
			// Each probe is another chat, because the entry remembers the failure
			// domain of a chat that it could not take to its first choice.
			probe++
			c := s.call(a.Key, "", fmt.Sprintf("probe-%s-%d", a.Key, probe), 1)
			c.finish("")
			served[s.domain[c.resp.Header.Get("X-Wax-Backend-Server")]] = true
			return served["caerdydd"] && served["abertawe"]
		})
	}
}

// deposit makes a call that may not be repeated. The same name of a key stands
// for the same key.
func (s *script) deposit(router, key, body string) string {
	if s.keys[key] == "" {
		s.keys[key] = ulid.Make().String()
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+s.address[router]+"/services/workshop-desk/deposits", strings.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	req.Header.Set("Idempotency-Key", s.keys[key])
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		s.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		s.t.Fatal(err)
	}
	s.keys["answer "+string(answer)] = "seen"
	var refusal struct {
		Error struct {
			Name string `json:"name"`
		} `json:"error"`
	}
	if json.Unmarshal(answer, &refusal) == nil && refusal.Error.Name != "" {
		return fmt.Sprintf("status %d %s\n", resp.StatusCode, refusal.Error.Name)
	}
	runs := 0
	for name := range s.keys {
		if strings.HasPrefix(name, "answer {\"request-id\"") {
			runs++
		}
	}
	return fmt.Sprintf("status %d, %d different answers so far\n", resp.StatusCode, runs)
}

type spanLine struct {
	Name        string
	SpanKind    int
	SpanContext struct{ TraceID, SpanID string }
	Parent      struct{ SpanID string }
	router      string
}

var spanKinds = map[int]string{1: "internal", 2: "server", 3: "client"}

// spans waits until the trace of the last call is complete in the trace files,
// and returns it as a tree.
func (s *script) spans() string {
	s.t.Helper()
	var tree string
	s.await("the spans of trace "+s.trace, func() bool {
		children, known, missing := map[string][]spanLine{}, map[string]bool{"0000000000000000": true}, false
		all := s.readSpans()
		for _, span := range all {
			known[span.SpanContext.SpanID] = true
			children[span.Parent.SpanID] = append(children[span.Parent.SpanID], span)
		}
		for parent := range children {
			missing = missing || !known[parent]
		}
		tree = drawSpans(children, "0000000000000000", "")
		return !missing && strings.Contains(tree, "dispatch") && strings.HasPrefix(tree, "entry ")
	})
	return tree
}

func (s *script) readSpans() []spanLine {
	s.t.Helper()
	var all []spanLine
	for i := range 3 {
		router := fmt.Sprintf("router-%d", i+1)
		raw, err := os.ReadFile(s.traceFile(router))
		if err != nil {
			s.t.Fatal(err)
		}
		for _, line := range bytes.Split(raw, []byte("\n")) {
			span := spanLine{router: router}
			if json.Unmarshal(line, &span) == nil && span.SpanContext.TraceID == s.trace {
				all = append(all, span)
			}
		}
	}
	return all
}

func drawSpans(children map[string][]spanLine, parent, indent string) string {
	out := ""
	for _, span := range children[parent] {
		out += fmt.Sprintf("%s%s %s %s\n", indent, span.Name, spanKinds[span.SpanKind], span.router)
		out += drawSpans(children, span.SpanContext.SpanID, indent+"  ")
	}
	return out
}

// explain returns the decisions of each router in order. The order between
// routers is that of their clocks, which have ties.
func (s *script) explain(id string) string {
	s.t.Helper()
	out, errOut, code := s.fleet.run("", "waxctl", "--output", "json", "explain", id)
	var rows []struct {
		Instance string `json:"instance"`
		Step     string `json:"step"`
		Detail   string `json:"detail"`
	}
	if err := json.Unmarshal([]byte(out), &rows); err != nil {
		return report(out, errOut, code)
	}
	slices.SortStableFunc(rows, func(a, b struct {
		Instance string `json:"instance"`
		Step     string `json:"step"`
		Detail   string `json:"detail"`
	},
	) int {
		return strings.Compare(a.Instance, b.Instance)
	})
	text := ""
	for _, r := range rows {
		text += fmt.Sprintf("%s %s %s\n", r.Instance, r.Step, r.Detail)
	}
	return report(text, errOut, code)
}

var address = regexp.MustCompile(`127\.0\.0\.1:[1-9]\d*`)

var hidden = []struct {
	pattern *regexp.Regexp
	text    string
}{
	{regexp.MustCompile(`"(epoch|config-version|version|window)": \d+`), `"$1": N`},
	{regexp.MustCompile(`(waited-ms|first-byte-ms)=\d+`), "$1=N"},
	{regexp.MustCompile(`version \d+`), "version N"},
	{regexp.MustCompile(`(admit .*) code=\S+`), "$1"},
	{regexp.MustCompile(`((?:caller|peer)-address is "[^"]*"; allowed: [^:\n]*): .*`), "$1: CAUSE"},
	{regexp.MustCompile(`(trace-file is "[^"]*"; allowed: [^:\n]*): .*`), "$1: CAUSE"},
}

// report joins the output of a program, without what differs between runs.
func report(out, errOut string, code int) string {
	text := out
	if errOut != "" {
		text += "stderr:\n" + errOut
	}
	for _, h := range hidden {
		text = h.pattern.ReplaceAllString(text, h.text)
	}
	return fmt.Sprintf("%sexit %d\n", text, code)
}
