package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"waxwingdrift.org/waxstandin/waxengine"
)

const (
	// patience bounds each wait for a condition; it is far beyond what any takes.
	patience  = 90 * time.Second
	checkTime = 20 * time.Millisecond

	testModel = "geiriau-1"
	testKey   = "demo-key"
)

// process is a running program with its log.
type process struct {
	cmd  *exec.Cmd
	log  string
	done chan struct{}
}

// fleet is a set of separate processes: a platform, 6 engines, a plain service
// and 3 routers in 2 failure domains.
type fleet struct {
	t         *testing.T
	bin       string
	dir       string
	processes map[string]*process
	// address holds what each stand-in serves on and where routers take calls.
	address map[string]string
	// domain holds the failure domains of the engines.
	domain map[string]string
	// changed is the configuration version of the last edit.
	changed uint64
	trace   string
}

// build compiles the programs into a temporary directory.
func build(t *testing.T) string {
	dir := t.TempDir()
	cmd := exec.Command("go", "build", "-o", dir+"/", "./waxrouter", "./waxctl", "./waxstandin")
	cmd.Dir = ".."
	if out, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("go build: %v\n%s", err, out)
	}
	return dir
}

func newFleet(t *testing.T, bin string) *fleet {
	return &fleet{t: t, bin: bin, dir: t.TempDir(), processes: map[string]*process{}, address: map[string]string{}, domain: map[string]string{}}
}

// start runs a program in the background; it ends with the test at the latest.
func (f *fleet) start(name, program string, args ...string) *process {
	f.t.Helper()
	p := &process{cmd: exec.Command(filepath.Join(f.bin, program), args...), log: filepath.Join(f.dir, name+".log"), done: make(chan struct{})}
	log, err := os.Create(p.log)
	if err != nil {
		f.t.Fatal(err)
	}
	p.cmd.Stderr = log
	if err := p.cmd.Start(); err != nil {
		f.t.Fatal(err)
	}
	go func() {
		_ = p.cmd.Wait()
		_ = log.Close()
		close(p.done)
	}()
	f.t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.done
	})
	f.processes[name] = p
	return p
}

// await waits for a condition.
func (f *fleet) await(what string, met func() bool) {
	f.t.Helper()
	for end := time.Now().Add(patience); !met(); time.Sleep(checkTime) {
		if time.Now().After(end) {
			f.t.Fatalf("%s did not come within %s", what, patience)
		}
	}
}

// logged waits for a log line that has the field and returns the field.
func (f *fleet) logged(p *process, field string) string {
	f.t.Helper()
	value := ""
	f.await("field "+field+" in "+p.log, func() bool {
		raw, err := os.ReadFile(p.log)
		if err != nil {
			f.t.Fatal(err)
		}
		for _, line := range bytes.Split(raw, []byte("\n")) {
			var fields map[string]any
			if json.Unmarshal(line, &fields) == nil && fields[field] != nil {
				value = fmt.Sprint(fields[field])
				return true
			}
		}
		return false
	})
	return value
}

// startAll starts all processes on free ports and waits until routers are ready.
func (f *fleet) startAll() {
	f.t.Helper()
	domains := []string{"caerdydd", "abertawe"}
	f.address["platform"] = f.logged(f.start("platform", "waxstandin", "platform"), "address")
	for i := range 6 {
		name := fmt.Sprintf("engine-%d", i+1)
		f.domain[name] = domains[i%2]
		f.address[name] = f.logged(f.start(name, "waxstandin", "engine", "--id", name, "--service", "geiriau", "--models", testModel,
			"--failure-domain", domains[i%2], "--start-warm", "--token-interval", "2ms", "--platform", f.address["platform"]), "address")
	}
	f.address["desk-1"] = f.logged(f.start("desk-1", "waxstandin", "service", "--id", "desk-1", "--service", "workshop-desk",
		"--failure-domain", domains[0], "--platform", f.address["platform"]), "address")
	f.edit("services", `{"geiriau": {"kind": "model-engine", "models": ["geiriau-1"]}, "workshop-desk": {"kind": "plain-service", "once-paths": ["/deposits"]}}`)
	f.edit("workspaces", `{"demo": {"keys": ["demo-key"]}}`)
	for i := range 3 {
		name := fmt.Sprintf("router-%d", i+1)
		// A frozen engine must count as slow, not as dead, in the test of SIGTERM.
		p := f.start(name, "waxrouter", "serve", "--instance-id", name, "--failure-domain", domains[i%2],
			"--caller-address", "127.0.0.1:0", "--peer-address", "127.0.0.1:0", "--platform-address", f.address["platform"],
			"--trace-file", f.traceFile(name), "--progress-timeout-ms", "600000")
		f.address[name] = f.logged(p, "caller-address")
		f.put("platform", "/admin/instances/"+name, fmt.Sprintf(`{"failure-domain": %q, "peer-address": %q, "caller-address": %q}`,
			domains[i%2], f.logged(p, "peer-address"), f.address[name]))
	}
	for i := range 3 {
		name := fmt.Sprintf("router-%d", i+1)
		f.await(name+" ready", func() bool { return f.status(name, "/readyz") == http.StatusOK })
	}
}

func (f *fleet) traceFile(router string) string { return filepath.Join(f.dir, router+".trace") }

// status returns the HTTP status of a GET, or 0 without an answer.
func (f *fleet) status(name, path string) int {
	resp, err := http.Get("http://" + f.address[name] + path)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

func (f *fleet) put(name, path, body string) {
	f.t.Helper()
	req, err := http.NewRequest(http.MethodPut, "http://"+f.address[name]+path, strings.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		f.t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		f.t.Fatalf("PUT %s: %s", path, resp.Status)
	}
}

// run runs a program to its end.
func (f *fleet) run(stdin, program string, args ...string) (stdout, stderr string, code int) {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(f.t.Context(), patience)
	defer cancel()
	cmd := exec.CommandContext(ctx, filepath.Join(f.bin, program), args...)
	var out, errOut bytes.Buffer
	cmd.Stdin, cmd.Stdout, cmd.Stderr = strings.NewReader(stdin), &out, &errOut
	cmd.Env = append(os.Environ(), "WAX_PLATFORM="+f.address["platform"])
	err := cmd.Run()
	if cmd.ProcessState == nil || ctx.Err() != nil {
		f.t.Fatalf("%s %v: %v", program, args, err)
	}
	return out.String(), errOut.String(), cmd.ProcessState.ExitCode()
}

func (f *fleet) edit(section, value string) {
	f.t.Helper()
	out, errOut, code := f.run(value, "waxctl", "--output", "json", "edit", section, "--file", "-")
	if code != 0 {
		f.t.Fatalf("edit %s: exit code %d: %s", section, code, errOut)
	}
	f.noteVersion(out)
}

// noteVersion remembers the version that an edit reports.
func (f *fleet) noteVersion(out string) {
	var report struct {
		Version uint64 `json:"version"`
	}
	if json.Unmarshal([]byte(out), &report) == nil {
		f.changed = max(f.changed, report.Version)
	}
}

type instanceRow struct {
	ID            string `json:"id"`
	Mode          string `json:"mode"`
	ConfigVersion uint64 `json:"config-version"`
	Owned         int    `json:"owned"`
}

func (f *fleet) instances() []instanceRow {
	out, errOut, code := f.run("", "waxctl", "--output", "json", "instances")
	var rows []instanceRow
	if err := json.Unmarshal([]byte(out), &rows); err != nil || code != 0 {
		f.t.Fatalf("waxctl instances: exit code %d: %s", code, errOut)
	}
	return rows
}

// chatCall is a streamed call that has begun.
type chatCall struct {
	resp *http.Response
	body string
	text *bufio.Reader
}

func (f *fleet) call(router, id, chat string, tokens int) *chatCall {
	f.t.Helper()
	req, body, err := chatRequest(f.address[router], id, chat, tokens)
	if err != nil {
		f.t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = resp.Body.Close() })
	f.trace = resp.Header.Get("X-Wax-Trace-Id")
	return &chatCall{resp: resp, body: body, text: bufio.NewReader(resp.Body)}
}

// chatRequest returns a streamed chat call and its body.
func chatRequest(address, id, chat string, tokens int) (req *http.Request, body string, err error) {
	body = fmt.Sprintf(`{"model": %q, "stream": true, "chat": %q, "max_tokens": %d, "messages": [{"role": "user", "content": "Helo %s"}]}`,
		testModel, chat, tokens, chat)
	req, err = http.NewRequest(http.MethodPost, "http://"+address+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return nil, "", err
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	if id != "" {
		req.Header.Set("X-Request-Id", id)
	}
	return req, body, nil
}

// finish reads the rest of the stream and compares the whole with the answer that
// follows from the request. first is what was read before.
func (c *chatCall) finish(first string) string {
	rest, err := io.ReadAll(c.text)
	got := first + string(rest)
	if err != nil {
		return fmt.Sprintf("status %d, broken off: %v", c.resp.StatusCode, err)
	}
	text, done := "", false
	for _, line := range strings.Split(got, "\n") {
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if done {
			return "events after the end marker"
		}
		if done = data == "[DONE]"; done {
			continue
		}
		var chunk struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		if err := json.Unmarshal([]byte(data), &chunk); err != nil || len(chunk.Choices) != 1 {
			return "unreadable event: " + data
		}
		text += chunk.Choices[0].Delta.Content
	}
	want, err := waxengine.Answer([]byte(c.body))
	switch {
	case err != nil:
		return err.Error()
	case !done:
		return fmt.Sprintf("status %d, no end marker: %s", c.resp.StatusCode, got)
	case text != strings.Join(want, " "):
		return fmt.Sprintf("status %d, another answer than that of the request", c.resp.StatusCode)
	}
	return fmt.Sprintf("status %d from %s, whole", c.resp.StatusCode, c.resp.Header.Get("X-Wax-Backend-Server"))
}

// exitCode waits for the end of a process.
func (f *fleet) exitCode(name string) int {
	f.t.Helper()
	p := f.processes[name]
	select {
	case <-p.done:
	case <-time.After(patience):
		f.t.Fatalf("%s did not end within %s", name, patience)
	}
	return p.cmd.ProcessState.ExitCode()
}

// drain tells a router to stop while a stream that entry takes runs, and holds
// the stream up until the router has noticed.
func (f *fleet) drain(router, entry, chat string, tokens int) string {
	f.t.Helper()
	c := f.call(entry, "", chat, tokens)
	first, err := c.text.ReadString('\n')
	if err != nil {
		f.t.Fatal(err)
	}
	engine := c.resp.Header.Get("X-Wax-Backend-Server")
	f.put(engine, "/admin/faults", `{"frozen": true}`)
	if err := f.processes[router].cmd.Process.Signal(syscall.SIGTERM); err != nil {
		f.t.Fatal(err)
	}
	f.await("/readyz of "+router+" with status 503", func() bool { return f.status(router, "/readyz") == http.StatusServiceUnavailable })
	f.put(engine, "/admin/faults", `{}`)
	return fmt.Sprintf("%s\nexit %d\n", c.finish(first), f.exitCode(router))
}
