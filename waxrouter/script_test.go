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

// TestFleet guards against failures that appear only when the programs run as
// separate processes: in settings, ports, signals, trace files and exit codes.
func TestFleet(t *testing.T) {
	bin := buildPrograms(t)
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &script{fleet: newFleet(t, bin), keys: map[string]string{}}
		datadriven.RunTest(t, path, s.run)
	})
}

// TestSettingsPage guards against a settings page that is out of date with the
// flags.
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
			t.Fatalf("%s differs from the output of waxrouter settings; regenerate it", page)
		}
		return
	}
	t.Fatal("command settings not found")
}

type script struct {
	*fleet
	// keys maps the key names of the script to idempotency keys. It also has an entry
	// "response BODY" for each response body that a deposit got.
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
	case "await-ownership":
		s.waitForOwnership(d)
		return ""
	case "await-edit":
		s.waitFor("the last edit at all routers", func() bool {
			return !slices.ContainsFunc(s.instances(), func(r instanceRow) bool { return r.ConfigVersion < s.lastVersion })
		})
		return ""
	case "stream":
		return s.startChat(router, id, chat, tokens).verify("") + "\n"
	case "deposit":
		return s.deposit(router, key, body)
	case "spans":
		return s.spans()
	case "explain":
		return s.explain(id)
	case "waxctl":
		out, errOut, code := s.runProgram("", "waxctl", s.args(d)...)
		s.recordVersion(out)
		return addressPattern.ReplaceAllString(formatOutput(out, errOut, code), "ADDRESS")
	case "waxrouter":
		out, errOut, code := s.runProgram("", "waxrouter", s.args(d)...)
		return formatOutput(out, errOut, code)
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

// args returns the arguments of a program from the input of a command, with DIR
// replaced by the directory of the fleet.
func (s *script) args(d *datadriven.TestData) []string {
	return strings.Fields(strings.ReplaceAll(d.Input, "DIR", s.dir))
}

// waitForOwnership waits until each router owns the given number of backend servers,
// all backend servers are warm, and each router forwards to both failure domains.
// From then on, only the names of chat and engines determine which engine serves a
// chat.
func (s *script) waitForOwnership(d *datadriven.TestData) {
	s.t.Helper()
	s.waitFor("ownership "+fmt.Sprint(d.CmdArgs), func() bool {
		return !slices.ContainsFunc(s.instances(), func(r instanceRow) bool {
			return r.Mode != "attached" || !slices.ContainsFunc(d.CmdArgs, func(a datadriven.CmdArg) bool {
				return a.Key == r.ID && a.Vals[0] == fmt.Sprint(r.Owned)
			})
		})
	})
	s.waitFor("warm backend servers", func() bool {
		out, _, _ := s.runProgram("", "waxctl", "--output", "json", "servers")
		return strings.Count(out, `"warm"`) == len(s.addresses)-len(d.CmdArgs)-1
	})
	for _, a := range d.CmdArgs {
		served, probe := map[string]bool{}, 0
		s.waitFor(a.Key+" forwarding to both failure domains", func() bool {
			// Each probe is a new chat, because the router remembers the failure domain
			// of a chat that it could not send to its first choice.
			probe++
			c := s.startChat(a.Key, "", fmt.Sprintf("probe-%s-%d", a.Key, probe), 1)
			c.verify("")
			served[s.domains[c.resp.Header.Get("X-Wax-Backend-Server")]] = true
			return served["caerdydd"] && served["abertawe"]
		})
	}
}

// deposit sends a non-idempotent request and returns the status with either the error
// name or the number of distinct responses. Requests with the same key name have the
// same idempotency key.
func (s *script) deposit(router, key, amount string) string {
	if s.keys[key] == "" {
		s.keys[key] = ulid.Make().String()
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+s.addresses[router]+"/services/workshop-desk/deposits", strings.NewReader(amount))
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
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		s.t.Fatal(err)
	}
	s.keys["response "+string(body)] = "seen"
	var failure struct {
		Error struct {
			Name string `json:"name"`
		} `json:"error"`
	}
	if json.Unmarshal(body, &failure) == nil && failure.Error.Name != "" {
		return fmt.Sprintf("status %d %s\n", resp.StatusCode, failure.Error.Name)
	}
	count := 0
	for name := range s.keys {
		if strings.HasPrefix(name, "response {\"request-id\"") {
			count++
		}
	}
	return fmt.Sprintf("status %d, %d distinct responses so far\n", resp.StatusCode, count)
}

type spanRecord struct {
	Name        string
	SpanKind    int
	SpanContext struct{ TraceID, SpanID string }
	Parent      struct{ SpanID string }
	router      string
}

var spanKinds = map[int]string{1: "internal", 2: "server", 3: "client"}

// spans waits until the trace files have the complete trace of the last chat
// request, and returns it as a tree.
func (s *script) spans() string {
	s.t.Helper()
	var tree string
	s.waitFor("the spans of trace "+s.lastTraceID, func() bool {
		children, known, missing := map[string][]spanRecord{}, map[string]bool{"0000000000000000": true}, false
		all := s.readSpans()
		for _, span := range all {
			known[span.SpanContext.SpanID] = true
			children[span.Parent.SpanID] = append(children[span.Parent.SpanID], span)
		}
		for parent := range children {
			missing = missing || !known[parent]
		}
		tree = formatSpans(children, "0000000000000000", "")
		return !missing && strings.Contains(tree, "dispatch") && strings.HasPrefix(tree, "entry ")
	})
	return tree
}

func (s *script) readSpans() []spanRecord {
	s.t.Helper()
	var all []spanRecord
	for i := range 3 {
		router := fmt.Sprintf("router-%d", i+1)
		raw, err := os.ReadFile(s.traceFile(router))
		if err != nil {
			s.t.Fatal(err)
		}
		for _, line := range bytes.Split(raw, []byte("\n")) {
			span := spanRecord{router: router}
			if json.Unmarshal(line, &span) == nil && span.SpanContext.TraceID == s.lastTraceID {
				all = append(all, span)
			}
		}
	}
	return all
}

func formatSpans(children map[string][]spanRecord, parent, indent string) string {
	out := ""
	for _, span := range children[parent] {
		out += fmt.Sprintf("%s%s %s %s\n", indent, span.Name, spanKinds[span.SpanKind], span.router)
		out += formatSpans(children, span.SpanContext.SpanID, indent+"  ")
	}
	return out
}

// explain returns the decisions sorted by router, those of one router in the order in
// which it made them. Sorting by time would not be stable, because routers can make
// decisions in the same millisecond.
func (s *script) explain(id string) string {
	s.t.Helper()
	out, errOut, code := s.runProgram("", "waxctl", "--output", "json", "explain", id)
	var rows []struct {
		Instance string `json:"instance"`
		Step     string `json:"step"`
		Detail   string `json:"detail"`
	}
	if err := json.Unmarshal([]byte(out), &rows); err != nil {
		return formatOutput(out, errOut, code)
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
	return formatOutput(text, errOut, code)
}

var addressPattern = regexp.MustCompile(`127\.0\.0\.1:[1-9]\d*`)

// replacements mask the parts of an output that differ between runs.
var replacements = []struct {
	pattern     *regexp.Regexp
	replacement string
}{
	{regexp.MustCompile(`"(epoch|config-version|version|window)": \d+`), `"$1": N`},
	{regexp.MustCompile(`(waited-ms|first-byte-ms)=\d+`), "$1=N"},
	{regexp.MustCompile(`version \d+`), "version N"},
	{regexp.MustCompile(`(admit .*) code=\S+`), "$1"},
	{regexp.MustCompile(`((?:caller|peer)-address is "[^"]*"; allowed: [^:\n]*): .*`), "$1: CAUSE"},
	{regexp.MustCompile(`(trace-file is "[^"]*"; allowed: [^:\n]*): .*`), "$1: CAUSE"},
}

// formatOutput joins the output and exit code of a program and masks the parts that
// differ between runs.
func formatOutput(out, errOut string, code int) string {
	text := out
	if errOut != "" {
		text += "stderr:\n" + errOut
	}
	for _, r := range replacements {
		text = r.pattern.ReplaceAllString(text, r.replacement)
	}
	return fmt.Sprintf("%sexit %d\n", text, code)
}
