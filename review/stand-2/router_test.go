package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// router is a router instance as a process of its own, with its own loopback address.
type router struct {
	name, ip, zone, settings string
	caller, ready            string

	mu         sync.Mutex
	cmd        *exec.Cmd
	done       chan struct{}
	log        *os.File
	inRotation bool
	misses     int
	ends       int
}

// fleet is the routers, and what the platform does for them: it starts them and probes
// their readiness once a second.
type fleet struct {
	dir, program string
	routers      []*router
}

// freePorts returns n ports that are free on all the addresses.
func freePorts(n int, ips []string) []int {
	var ports []int
	for len(ports) < n {
		l, err := net.Listen("tcp4", ips[0]+":0")
		must(err)
		port := l.Addr().(*net.TCPAddr).Port
		_ = l.Close()
		free := port < 60000 // the next one is used, too
		for _, ip := range ips {
			for _, p := range []int{port, port + 1} {
				t, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", ip, p))
				if err != nil {
					free = false
					continue
				}
				_ = t.Close()
				u, err := net.ListenPacket("udp4", fmt.Sprintf("%s:%d", ip, p))
				if err != nil {
					free = false
					continue
				}
				_ = u.Close()
			}
		}
		for _, p := range ports {
			free = free && p != port && p != port+1 && p+1 != port
		}
		if free {
			ports = append(ports, port)
		}
	}
	return ports
}

// newFleet writes the settings of n routers in the zones, in turn. The bounds are those of
// the small deployments.
func newFleet(program, dir, storeAddress string, n int, zones []string) *fleet {
	f := &fleet{dir: dir, program: program}
	var ips []string
	for i := range n {
		ips = append(ips, fmt.Sprintf("127.0.7.%d", 11+i))
	}
	ports := freePorts(3, ips)
	for i, ip := range ips {
		r := &router{
			name: fmt.Sprintf("edge-%d", i+1), ip: ip, zone: zones[i%len(zones)],
			caller: fmt.Sprintf("%s:%d", ip, ports[0]), ready: fmt.Sprintf("%s:%d", ip, ports[1]),
		}
		r.settings = filepath.Join(dir, r.name+".toml")
		must(os.WriteFile(r.settings, []byte(fmt.Sprintf(`node_name = %q
role = "router"
machine_class = "edge"
serves = ["edge"]
ip = %q
zone = %q
region = "cymru"
internal_ports = [%d,%d]
bootstrap = true
heartbeat_ms = 1200
[listen]
frontend = %q
ready = %q
[limits]
cpu_quota = 0.4
cores = 1
memory_mb = 284
max_fds = 4100
link_mbps = 1000.0
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
address = %q
form = "objects"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
`, r.name, ip, r.zone, ports[2], ports[2]+1, r.caller, r.ready, storeAddress)), 0o600))
		f.routers = append(f.routers, r)
	}
	return f
}

// start starts a router with the command of the deploy file.
func (f *fleet) start(r *router) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.log == nil {
		var err error
		r.log, err = os.Create(filepath.Join(f.dir, r.name+".log"))
		must(err)
	}
	r.cmd = exec.Command(f.program, "route")
	r.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "WAXWINGDRIFT_NODE_FILE=" + r.settings}
	r.cmd.Stdout, r.cmd.Stderr = r.log, r.log
	r.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(r.cmd.Start())
	done, cmd := make(chan struct{}), r.cmd
	r.done = done
	go func() {
		_ = cmd.Wait()
		r.mu.Lock()
		r.ends++
		r.mu.Unlock()
		close(done)
	}()
}

// restart stops a router with SIGTERM, as the platform does: SIGKILL follows after grace_s. It
// starts it again once it has ended.
func (f *fleet) restart(r *router) {
	r.signal(syscall.SIGTERM)
	r.mu.Lock()
	done := r.done
	r.mu.Unlock()
	select {
	case <-done:
	case <-time.After(8 * time.Second):
		r.signal(syscall.SIGKILL)
		<-done
	}
	time.Sleep(300 * time.Millisecond)
	f.start(r)
}

// signal sends a signal to the router's process.
func (r *router) signal(s syscall.Signal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cmd != nil {
		_ = r.cmd.Process.Signal(s)
	}
}

// startAll starts all routers, and waits until the platform has them in rotation.
func (f *fleet) startAll() {
	for _, r := range f.routers {
		f.start(r)
	}
	go f.probe()
	end := time.Now().Add(20 * time.Second)
	for _, r := range f.routers {
		for !r.rotation() {
			if time.Now().After(end) {
				fatal("router %s isn't ready", r.name)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

func (r *router) rotation() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.inRotation
}

// probe asks each router once a second whether it is ready. Two misses take it out of
// rotation until it answers 200 again.
func (f *fleet) probe() {
	client := http.Client{Timeout: time.Second}
	for {
		for _, r := range f.routers {
			go func() {
				resp, err := client.Get("http://" + r.ready + "/api/readyz")
				ok := err == nil && resp.StatusCode == http.StatusOK
				if err == nil {
					_ = resp.Body.Close()
				}
				r.mu.Lock()
				defer r.mu.Unlock()
				if ok {
					r.inRotation, r.misses = true, 0
					return
				}
				if r.misses++; r.misses >= 2 {
					r.inRotation = false
				}
			}()
		}
		time.Sleep(time.Second)
	}
}

// stopAll ends all routers.
func (f *fleet) stopAll() {
	for _, r := range f.routers {
		r.signal(syscall.SIGKILL)
		r.mu.Lock()
		done := r.done
		r.mu.Unlock()
		if done != nil {
			<-done
		}
	}
}
