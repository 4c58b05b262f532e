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
	// waitTimeout bounds each wait for a condition. It far exceeds the time that any
	// wait needs.
	waitTimeout  = 90 * time.Second
	pollInterval = 20 * time.Millisecond

	testModel = "geiriau-1"
	testKey   = "demo-key"
)

// process is a started program. exited is closed when it has exited.
type process struct {
	cmd     *exec.Cmd
	logFile string
	exited  chan struct{}
}

// fleet is a set of separate processes: a fake platform, 6 fake engines, a fake plain
// service, and 3 routers, in 2 failure domains.
type fleet struct {
	t         *testing.T
	bin       string
	dir       string
	processes map[string]*process
	// addresses holds the listen address of each fake and the caller address of each
	// router.
	addresses map[string]string
	// domains holds the failure domain of each engine.
	domains map[string]string
	// lastVersion is the configuration version of the last edit.
	lastVersion uint64
	// lastTraceID is the trace ID of the last chat request.
	lastTraceID string
}

// buildPrograms compiles the programs into a temporary directory.
func buildPrograms(t *testing.T) string {
	dir := t.TempDir()
	cmd := exec.Command("go", "build", "-o", dir+"/", "./waxrouter", "./waxctl", "./waxstandin")
	cmd.Dir = ".."
	if out, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("go build: %v\n%s", err, out)
	}
	return dir
}

func newFleet(t *testing.T, bin string) *fleet {
	return &fleet{
		t:         t,
		bin:       bin,
		dir:       t.TempDir(),
		processes: map[string]*process{},
		addresses: map[string]string{},
		domains:   map[string]string{},
	}
}

// start runs a program in the background and kills it when the test ends.
func (f *fleet) start(name, program string, args ...string) *process {
	f.t.Helper()
	p := &process{
		cmd:     exec.Command(filepath.Join(f.bin, program), args...),
		logFile: filepath.Join(f.dir, name+".log"),
		exited:  make(chan struct{}),
	}
	log, err := os.Create(p.logFile)
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
		close(p.exited)
	}()
	f.t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.exited
	})
	f.processes[name] = p
	return p
}

// waitFor polls until the condition holds and fails the test after waitTimeout.
func (f *fleet) waitFor(description string, condition func() bool) {
	f.t.Helper()
	for deadline := time.Now().Add(waitTimeout); !condition(); time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			f.t.Fatalf("timed out after %s waiting for %s", waitTimeout, description)
		}
	}
}

// waitForLogField waits for a log line with the field and returns its value.
func (f *fleet) waitForLogField(p *process, field string) string {
	f.t.Helper()
	value := ""
	f.waitFor("field "+field+" in "+p.logFile, func() bool {
		raw, err := os.ReadFile(p.logFile)
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

// startAll starts all processes on free ports, writes the configuration, adds the
// routers to the instance list and waits until they are ready.
func (f *fleet) startAll() {
	f.t.Helper()
	domains := []string{"caerdydd", "abertawe"}
	f.addresses["platform"] = f.waitForLogField(f.start("platform", "waxstandin", "platform"), "address")
	for i := range 6 {
		name := fmt.Sprintf("engine-%d", i+1)
		f.domains[name] = domains[i%2]
		f.addresses[name] = f.waitForLogField(f.start(name, "waxstandin", "engine",
			"--id", name,
			"--service", "geiriau",
			"--models", testModel,
			"--failure-domain", domains[i%2],
			"--start-warm",
			"--token-interval", "2ms",
			"--platform", f.addresses["platform"]), "address")
	}
	f.addresses["desk-1"] = f.waitForLogField(f.start("desk-1", "waxstandin", "service",
		"--id", "desk-1",
		"--service", "workshop-desk",
		"--failure-domain", domains[0],
		"--platform", f.addresses["platform"]), "address")
	f.editSection("services", `{"geiriau": {"kind": "model-engine", "models": ["geiriau-1"]}, "workshop-desk": {"kind": "plain-service", "once-paths": ["/deposits"]}}`)
	f.editSection("workspaces", `{"demo": {"keys": ["demo-key"]}}`)
	for i := range 3 {
		name := fmt.Sprintf("router-%d", i+1)
		// The drain test freezes an engine. The long progress timeout keeps the router
		// from treating it as dead.
		p := f.start(name, "waxrouter", "serve",
			"--instance-id", name,
			"--failure-domain", domains[i%2],
			"--caller-address", "127.0.0.1:0",
			"--peer-address", "127.0.0.1:0",
			"--platform-address", f.addresses["platform"],
			"--trace-file", f.traceFile(name),
			"--progress-timeout-ms", "600000")
		f.addresses[name] = f.waitForLogField(p, "caller-address")
		f.put("platform", "/admin/instances/"+name, fmt.Sprintf(`{"failure-domain": %q, "peer-address": %q, "caller-address": %q}`,
			domains[i%2], f.waitForLogField(p, "peer-address"), f.addresses[name]))
	}
	for i := range 3 {
		name := fmt.Sprintf("router-%d", i+1)
		f.waitFor(name+" ready", func() bool { return f.status(name, "/readyz") == http.StatusOK })
	}
}

func (f *fleet) traceFile(router string) string { return filepath.Join(f.dir, router+".trace") }

// status returns the HTTP status of a GET, or 0 if there is no response.
func (f *fleet) status(name, path string) int {
	resp, err := http.Get("http://" + f.addresses[name] + path)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

func (f *fleet) put(name, path, body string) {
	f.t.Helper()
	req, err := http.NewRequest(http.MethodPut, "http://"+f.addresses[name]+path, strings.NewReader(body))
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

// runProgram runs a program and waits for it to exit.
func (f *fleet) runProgram(stdin, program string, args ...string) (stdout, stderr string, code int) {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(f.t.Context(), waitTimeout)
	defer cancel()
	cmd := exec.CommandContext(ctx, filepath.Join(f.bin, program), args...)
	var out, errOut bytes.Buffer
	cmd.Stdin, cmd.Stdout, cmd.Stderr = strings.NewReader(stdin), &out, &errOut
	cmd.Env = append(os.Environ(), "WAX_PLATFORM="+f.addresses["platform"])
	err := cmd.Run()
	if cmd.ProcessState == nil || ctx.Err() != nil {
		f.t.Fatalf("%s %v: %v", program, args, err)
	}
	return out.String(), errOut.String(), cmd.ProcessState.ExitCode()
}

func (f *fleet) editSection(section, value string) {
	f.t.Helper()
	out, errOut, code := f.runProgram(value, "waxctl", "--output", "json", "edit", section, "--file", "-")
	if code != 0 {
		f.t.Fatalf("edit %s: exit code %d: %s", section, code, errOut)
	}
	f.recordVersion(out)
}

// recordVersion updates lastVersion from the output of an edit.
func (f *fleet) recordVersion(out string) {
	var report struct {
		Version uint64 `json:"version"`
	}
	if json.Unmarshal([]byte(out), &report) == nil {
		f.lastVersion = max(f.lastVersion, report.Version)
	}
}

type instanceRow struct {
	ID            string `json:"id"`
	Mode          string `json:"mode"`
	ConfigVersion uint64 `json:"config-version"`
	Owned         int    `json:"owned"`
}

func (f *fleet) instances() []instanceRow {
	out, errOut, code := f.runProgram("", "waxctl", "--output", "json", "instances")
	var rows []instanceRow
	if err := json.Unmarshal([]byte(out), &rows); err != nil || code != 0 {
		f.t.Fatalf("waxctl instances: exit code %d: %s", code, errOut)
	}
	return rows
}

// chatStream is a streamed chat request whose response headers have arrived.
type chatStream struct {
	resp   *http.Response
	body   string
	reader *bufio.Reader
}

func (f *fleet) startChat(router, id, chat string, tokens int) *chatStream {
	f.t.Helper()
	req, body, err := newChatRequest(f.addresses[router], id, chat, tokens)
	if err != nil {
		f.t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = resp.Body.Close() })
	f.lastTraceID = resp.Header.Get("X-Wax-Trace-Id")
	return &chatStream{resp: resp, body: body, reader: bufio.NewReader(resp.Body)}
}

// newChatRequest returns a streamed chat request and its body.
func newChatRequest(address, id, chat string, tokens int) (req *http.Request, body string, err error) {
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

// verify reads the rest of the stream, compares the response with the expected one,
// and returns a summary. prefix is the part of the stream that was already read.
func (c *chatStream) verify(prefix string) string {
	rest, err := io.ReadAll(c.reader)
	got := prefix + string(rest)
	if err != nil {
		return fmt.Sprintf("status %d, aborted: %v", c.resp.StatusCode, err)
	}
	text, done := "", false
	for _, line := range strings.Split(got, "\n") {
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if done {
			return "events after [DONE]"
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
			return "invalid event: " + data
		}
		text += chunk.Choices[0].Delta.Content
	}
	want, err := waxengine.ExpectedTokens([]byte(c.body))
	switch {
	case err != nil:
		return err.Error()
	case !done:
		return fmt.Sprintf("status %d, no [DONE] event: %s", c.resp.StatusCode, got)
	case text != strings.Join(want, " "):
		return fmt.Sprintf("status %d, unexpected response content", c.resp.StatusCode)
	}
	return fmt.Sprintf("status %d from %s, complete", c.resp.StatusCode, c.resp.Header.Get("X-Wax-Backend-Server"))
}

// waitExitCode waits for a process to exit and returns its exit code.
func (f *fleet) waitExitCode(name string) int {
	f.t.Helper()
	p := f.processes[name]
	select {
	case <-p.exited:
	case <-time.After(waitTimeout):
		f.t.Fatalf("%s did not exit within %s", name, waitTimeout)
	}
	return p.cmd.ProcessState.ExitCode()
}

// drain sends SIGTERM to router during a stream that router entry received. It freezes
// the engine until /readyz of the draining router returns 503, so that the drain
// starts before the stream ends.
func (f *fleet) drain(router, entry, chat string, tokens int) string {
	f.t.Helper()
	c := f.startChat(entry, "", chat, tokens)
	prefix, err := c.reader.ReadString('\n')
	if err != nil {
		f.t.Fatal(err)
	}
	engine := c.resp.Header.Get("X-Wax-Backend-Server")
	f.put(engine, "/admin/faults", `{"frozen": true}`)
	if err := f.processes[router].cmd.Process.Signal(syscall.SIGTERM); err != nil {
		f.t.Fatal(err)
	}
	f.waitFor("/readyz of "+router+" with status 503", func() bool { return f.status(router, "/readyz") == http.StatusServiceUnavailable })
	f.put(engine, "/admin/faults", `{}`)
	return fmt.Sprintf("%s\nexit %d\n", c.verify(prefix), f.waitExitCode(router))
}
