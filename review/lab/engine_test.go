package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// engineOptions are the flags of the command "engine".
type engineOptions struct {
	id, service, zone, listen, store, version string
	slots, events                             int
	gap, work                                 time.Duration
	// openEvery is N: of N answers, one has neither a length nor chunks. With openFor, only
	// answers that begin in that time after a SIGUSR1 count.
	openEvery int
	openFor   time.Duration
	// shed is the share of requests that are turned away as if the engine were full. extra is
	// the share of answers that the engine sends twice; the second copy is late and comes when
	// the next request has arrived on the connection. Both apply in the faultFor after a
	// SIGUSR2.
	shed, extra float64
	faultFor    time.Duration
}

// engine is a stand-in of a server: a model engine for paths with /stream/, and a plain
// service otherwise. It prints a line for each run and each end of a run.
type engine struct {
	engineOptions
	calls   atomic.Int64
	running atomic.Int64
	// openUntil is the Unix millisecond until which some answers have no length.
	openUntil atomic.Int64
	// faultUntil is the Unix millisecond until which shed and extra apply.
	faultUntil atomic.Int64
	out        sync.Mutex
}

func runEngine(args []string) int {
	var o engineOptions
	fs := flag.NewFlagSet("engine", flag.ExitOnError)
	fs.StringVar(&o.id, "id", "", "id")
	fs.StringVar(&o.service, "service", "", "service")
	fs.StringVar(&o.zone, "zone", "", "zone")
	fs.StringVar(&o.listen, "listen", "", "ip:port")
	fs.StringVar(&o.store, "store", "", "ip:port of the store")
	fs.StringVar(&o.version, "version", "v1", "version of the software")
	fs.IntVar(&o.slots, "slots", 64, "slots")
	fs.IntVar(&o.events, "events", 40, "events of a stream")
	fs.DurationVar(&o.gap, "gap", 50*time.Millisecond, "time between two events")
	fs.DurationVar(&o.work, "work", 30*time.Millisecond, "time of a plain request")
	fs.IntVar(&o.openEvery, "open-every", 20, "one answer in so many has no length and no chunks")
	fs.DurationVar(&o.openFor, "open-for", 0, "only for this time after SIGUSR1; 0: always")
	fs.Float64Var(&o.shed, "shed", 0, "share of requests that are turned away after SIGUSR2")
	fs.Float64Var(&o.extra, "extra", 0, "share of answers that are sent twice after SIGUSR2")
	fs.DurationVar(&o.faultFor, "fault-for", 5*time.Second, "how long after SIGUSR2")
	_ = fs.Parse(args)
	e := &engine{engineOptions: o}
	born := time.Now().UnixMilli()
	l, err := net.Listen("tcp4", o.listen)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	server := &http.Server{Handler: e, IdleTimeout: 5 * time.Second, ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
		return context.WithValue(ctx, lateCopy{}, &lateCopy{})
	}}
	go func() { _ = server.Serve(l) }()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1, syscall.SIGUSR2)
	go e.beat(born)
	for s := range signals {
		switch s {
		case syscall.SIGUSR1:
			e.openUntil.Store(time.Now().Add(o.openFor).UnixMilli())
			continue
		case syscall.SIGUSR2:
			e.faultUntil.Store(time.Now().Add(o.faultFor).UnixMilli())
			continue
		}
		break
	}
	_ = server.Close()
	return 0
}

func (e *engine) printf(format string, args ...any) {
	e.out.Lock()
	defer e.out.Unlock()
	fmt.Printf(format+"\n", args...)
}

// beat writes the entry of the engine to the store again and again.
func (e *engine) beat(born int64) {
	for seq := 1; ; seq++ {
		e.register(born, seq)
		time.Sleep(1200 * time.Millisecond)
	}
}

// register writes the entry of the engine to the store.
func (e *engine) register(born int64, seq int) {
	client := &http.Client{Timeout: time.Second}
	spec := map[string]any{"service": e.service, "address": e.listen, "zone": e.zone, "version": e.version,
		"slots": e.slots, "state": "ready", "cold_left_ms": 0, "call_seq": seq, "born": born}
	object := map[string]any{"metadata": map[string]any{"name": e.id}, "spec": spec}
	base := "http://" + e.store + "/api/objects/servers"
	if !call(client, http.MethodPut, base+"/"+e.id, object) {
		call(client, http.MethodPost, base, object)
	}
}

func call(client *http.Client, method, url string, body any) bool {
	raw, _ := json.Marshal(body)
	req, err := http.NewRequest(method, url, strings.NewReader(string(raw)))
	if err != nil {
		return false
	}
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode < 300
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/healthz":
		w.Header().Set("X-Instance-Id", e.id)
		w.WriteHeader(http.StatusOK)
		return
	case "/api/report":
		reply(w, http.StatusOK, map[string]any{"phase": "both", "models": []any{}, "busy": false, "call_seq": 1,
			"queued": 0, "active": e.running.Load(), "kv_used": 0, "kv_total": 100000, "kv_handles": 0})
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != e.id {
		w.Header().Set("X-Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.ReadAll(r.Body); err != nil {
		return
	}
	late := r.Context().Value(lateCopy{}).(*lateCopy)
	if len(late.raw) > 0 {
		e.sendLateCopy(w, late, id, r.RequestURI)
		return
	}
	faulty := time.Now().UnixMilli() < e.faultUntil.Load()
	if faulty && rand.Float64() < e.shed {
		if rand.Float64() < e.extra {
			late.raw = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
		}
		e.printf("shed %s", id)
		w.Header()["Date"] = nil
		w.Header().Set("X-Not-Executed", "1")
		w.Header().Set("Content-Length", "0")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.running.Add(1)
	defer e.running.Add(-1)
	e.printf("run %s %s", id, r.RequestURI)
	h := w.Header()
	h.Set("X-Attempt-Id", id)
	h.Set("X-Response-Seal", "seal-"+e.id)
	h["Date"] = nil
	if (e.openFor == 0 || time.Now().UnixMilli() < e.openUntil.Load()) && e.calls.Add(1)%int64(e.openEvery) == 0 {
		// net/http then leaves out length and chunks, and closes the connection at the end.
		h.Set("Transfer-Encoding", "identity")
	}
	if strings.Contains(r.URL.Path, "/stream/") {
		e.stream(w, r, id)
		return
	}
	if !pause(r, e.work) {
		return
	}
	h.Set("Content-Type", "text/plain")
	body := e.id + " answers " + id
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if faulty && rand.Float64() < e.extra {
		late.raw = e.plainAnswer(id)
	}
	_, _ = io.WriteString(w, body)
	e.printf("end %s", id)
}

// lateCopy is the second copy of the last answer of a connection, which is still to come.
type lateCopy struct{ raw string }

// plainAnswer returns the whole answer to a plain request.
func (e *engine) plainAnswer(id string) string {
	body := e.id + " answers " + id
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Seal: seal-%s\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s",
		id, e.id, len(body), body)
}

// sendLateCopy sends the second copy of the answer before, then runs the request and answers
// it.
func (e *engine) sendLateCopy(w http.ResponseWriter, late *lateCopy, id, target string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	e.printf("run %s %s", id, target)
	e.printf("late copy before the answer to %s: %s", id, strings.SplitN(late.raw, "\r\n", 2)[0])
	_, _ = io.WriteString(conn, late.raw)
	time.Sleep(e.work)
	_, _ = io.WriteString(conn, strings.Replace(e.plainAnswer(id), "\r\n", "\r\nConnection: close\r\n", 1))
	e.printf("end %s", id)
}

func (e *engine) stream(w http.ResponseWriter, r *http.Request, id string) {
	w.Header().Set("Content-Type", "text/event-stream")
	first := 1
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	for i := first; i <= e.events; i++ {
		if !pause(r, e.gap) {
			e.printf("left %s after %d", id, i-1)
			return
		}
		_, _ = io.WriteString(w, eventText(i, e.version))
		_ = http.NewResponseController(w).Flush()
	}
	e.printf("end %s", id)
}

// eventText returns an event of a stream. It names the version of the software that made it.
func eventText(i int, version string) string {
	return fmt.Sprintf("id: %d\ndata: token %d of %s\n\n", i, i, version)
}

// pause waits for d. It returns false if the caller leaves first.
func pause(r *http.Request, d time.Duration) bool {
	select {
	case <-r.Context().Done():
		return false
	case <-time.After(d):
		return true
	}
}
