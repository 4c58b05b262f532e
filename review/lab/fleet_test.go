package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// recorder writes record.txt.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	return &recorder{file: f, start: time.Now()}, err
}

func (r *recorder) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.file, format+"\n", args...)
}

// say writes a line to the record and to standard output.
func (r *recorder) say(format string, args ...any) {
	r.printf(format, args...)
	fmt.Printf(format+"\n", args...)
}

// process is a process that the script started.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// fleet is a store, engines and routers on loopback addresses.
type fleet struct {
	rec       *recorder
	folder    string
	store     *store
	storeAddr string
	routers   []*router
	ports     [3]int

	mu        sync.Mutex
	processes []*process
	// runs holds the engines that began to run an attempt, by its id.
	runs map[string][]string
}

type router struct {
	name, ip, zone string
	proc           *process
}

const program = "target/waxrouter"

func newFleet(rec *recorder) (*fleet, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, fmt.Errorf("%s is missing: build what deploy/system.toml builds", program)
	}
	folder, err := os.MkdirTemp("", "waxreview")
	if err != nil {
		return nil, err
	}
	f := &fleet{rec: rec, folder: folder, store: newStore(), runs: map[string][]string{}}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f.storeAddr = l.Addr().String()
	go func() { _ = http.Serve(l, f.store) }()
	return f, nil
}

// freePort returns a port that is free at all of the addresses, with the next n ports.
func freePort(n int, ips ...string) (int, error) {
	for range 200 {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return 0, err
		}
		port := l.Addr().(*net.TCPAddr).Port
		_ = l.Close()
		ok := port+n < 65000
		for _, ip := range ips {
			for i := 0; ok && i <= n; i++ {
				ok = portFree(fmt.Sprintf("%s:%d", ip, port+i))
			}
		}
		if ok {
			return port, nil
		}
	}
	return 0, fmt.Errorf("no free port")
}

func portFree(address string) bool {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return false
	}
	_ = l.Close()
	u, err := net.ListenPacket("udp4", address)
	if err != nil {
		return false
	}
	_ = u.Close()
	return true
}

// start starts a process and hands its lines of standard output to line.
func (f *fleet) start(name string, line func(string), env []string, argv ...string) (*process, error) {
	cmd := exec.Command(argv[0], argv[1:]...)
	cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C.UTF-8"}, env...)
	stdout, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{name: name, cmd: cmd, done: make(chan struct{})}
	f.mu.Lock()
	f.processes = append(f.processes, p)
	f.mu.Unlock()
	go func() {
		scanner := bufio.NewScanner(stdout)
		scanner.Buffer(nil, 1<<20)
		for scanner.Scan() {
			line(scanner.Text())
		}
		_, _ = io.Copy(io.Discard, stdout)
		err := cmd.Wait()
		f.rec.printf("process %s (%d) ended: %v", name, cmd.Process.Pid, err)
		close(p.done)
	}()
	f.rec.printf("process %s (%d) started", name, cmd.Process.Pid)
	return p, nil
}

// close ends all processes.
func (f *fleet) close() {
	f.mu.Lock()
	processes := f.processes
	f.mu.Unlock()
	for _, p := range processes {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
	}
	for _, p := range processes {
		<-p.done
	}
	_ = os.RemoveAll(f.folder)
}

// startEngine starts an engine as a process of its own.
func (f *fleet) startEngine(id, service, zone string, flags ...string) (*process, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	port, err := freePort(0, "127.0.0.1")
	if err != nil {
		return nil, err
	}
	argv := append([]string{self, "engine", "-id", id, "-service", service, "-zone", zone,
		"-listen", fmt.Sprintf("127.0.0.1:%d", port), "-store", f.storeAddr}, flags...)
	return f.start(id, func(line string) {
		f.rec.printf("%s: %s", id, line)
		word := strings.Fields(line)
		if len(word) < 2 || word[0] != "run" {
			return
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		f.runs[word[1]] = append(f.runs[word[1]], id)
	}, nil, argv...)
}

// startRouters starts routers with the command of the deploy file.
func (f *fleet) startRouters(n int) error {
	var ips []string
	for i := range n {
		// Scripts that run at the same time have addresses of their own.
		ips = append(ips, fmt.Sprintf("127.%d.%d.%d", 10+os.Getpid()/250%200, os.Getpid()%250, 21+i))
	}
	front, err := freePort(2, ips...)
	if err != nil {
		return err
	}
	var internal int
	for {
		if internal, err = freePort(15, ips...); err != nil {
			return err
		}
		if internal > front+2 || internal+15 < front {
			break
		}
	}
	f.ports = [3]int{front, front + 1, internal}
	for i, ip := range ips {
		r := &router{name: fmt.Sprintf("edge-%d", i+1), ip: ip, zone: []string{"caerdydd", "abertawe"}[i%2]}
		f.routers = append(f.routers, r)
		if err := f.startRouter(r); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) startRouter(r *router) error {
	path := filepath.Join(f.folder, r.name+".toml")
	if err := os.WriteFile(path, []byte(f.settings(r)), 0o600); err != nil {
		return err
	}
	// LAB_LOGS names a folder that keeps the logs of the routers.
	logs := f.folder
	if kept := os.Getenv("LAB_LOGS"); kept != "" {
		logs = kept
	}
	log, err := os.OpenFile(filepath.Join(logs, r.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	r.proc, err = f.start(r.name, func(line string) { fmt.Fprintln(log, line) }, []string{"WAXWINGDRIFT_NODE_FILE=" + path}, program, "route")
	return err
}

func (f *fleet) settings(r *router) string {
	return fmt.Sprintf(`node_name = "%[1]s"
role = "router"
machine_class = "edge"
serves = ["edge"]
ip = "%[2]s"
zone = "%[3]s"
region = "cymru"
internal_ports = [%[6]d,%[7]d]
seeds = []
bootstrap = true
fault_counted = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
invariants = ["base","drain","config","cost","retry","recover","engine","stream","tenants","places","platform"]
[zones]
caerdydd = "cymru"
abertawe = "cymru"
[listen]
frontend = "%[2]s:%[4]d"
ready = "%[2]s:%[5]d"
[limits]
cpu_quota = 0.4
cores = 1
memory_mb = 284
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 1
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
stretch_max_ms = 5000
revoke_strict = true
revoke_ms = 5000
retry_ratio = 0.2
retry_window_s = 10
retry_slack = 54
cold_overshoot = 1.5
cold_slack = 5
evacuate_ms = 5000
recover_s = 12
iteration_ms = 120
reuse_window_s = 10
cap_factor = 2
[platform]
address = "%[8]s"
form = "objects"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
`, r.name, r.ip, r.zone, f.ports[0], f.ports[1], f.ports[2], f.ports[2]+15, f.storeAddr)
}

func (f *fleet) frontend(r *router) string { return fmt.Sprintf("%s:%d", r.ip, f.ports[0]) }

// awaitReady waits until all routers say that they are ready.
func (f *fleet) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	deadline := time.Now().Add(30 * time.Second)
	for _, r := range f.routers {
		for !f.isReady(client, r) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", r.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (f *fleet) isReady(client *http.Client, r *router) bool {
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/api/readyz", r.ip, f.ports[1]))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// runsOf returns the engines that ran an attempt.
func (f *fleet) runsOf(id string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.runs[id]...)
}
