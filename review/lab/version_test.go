package main

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["all-killed"] = allKilled }

// resumableConfig is config with a route whose streams may be resumed.
var resumableConfig = strings.Replace(config, `"max_attempts": 1, "public": false, "sticky": true, "resumable": false`,
	`"max_attempts": 2, "public": false, "sticky": true, "resumable": true`, 1)

const (
	// contact is contact_ms.
	contact = 3 * time.Second
	// streamCount is the number of streams that are under way when they break off.
	streamCount = 60
)

// backoff is how long a client waits before it takes a stream up, one try after the other.
var backoff = []time.Duration{300 * time.Millisecond, 600 * time.Millisecond, 1200 * time.Millisecond, 2400 * time.Millisecond, 3600 * time.Millisecond}

// takeUps counts the streams that clients take up at machines in touch, and new streams there.
type takeUps struct {
	mu                           sync.Mutex
	taken, goesOn, fresh, begins int
	// inTouchFrom is when all routers are in touch again.
	inTouchFrom time.Time
}

// allKilled kills all routers at the same moment (SIGKILL) while two software versions serve,
// and starts them again after a second. Without trouble, the clients lose their connections
// at that moment instead.
func allKilled(f *fleet, trouble bool) (bool, error) {
	f.store.put("config", "main", rawJSON(resumableConfig))
	for i := range engineCount {
		if _, err := startModelEngine(f, fmt.Sprintf("i-%d", i+1), i, "-open-every", "1000000", "-version", []string{"v1", "v2"}[i/2%2]); err != nil {
			return false, err
		}
	}
	if err := f.startRouters(3); err != nil {
		return false, err
	}
	if err := f.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second)

	count := &takeUps{inTouchFrom: time.Now().Add(time.Hour)}
	lost := make(chan struct{})
	var wg sync.WaitGroup
	for i := range streamCount {
		wg.Add(1)
		go func() {
			defer wg.Done()
			f.followStream(i, lost, count)
		}()
		time.Sleep(15 * time.Millisecond)
	}
	time.Sleep(time.Second)
	if trouble {
		f.rec.say("kill -KILL %s, %s and %s", f.routers[0].name, f.routers[1].name, f.routers[2].name)
		for _, r := range f.routers {
			r.proc.signal(syscall.SIGKILL)
		}
		for _, r := range f.routers {
			<-r.proc.done
		}
		time.Sleep(time.Second)
		for _, r := range f.routers {
			if err := f.startRouter(r); err != nil {
				return false, err
			}
		}
		if err := f.awaitReady(); err != nil {
			return false, err
		}
	} else {
		f.rec.say("the clients lose their connections")
		close(lost)
	}
	count.mu.Lock()
	count.inTouchFrom = time.Now().Add(contact)
	if !trouble {
		count.inTouchFrom = time.Now()
	}
	count.mu.Unlock()
	f.rec.printf("machines are in touch from %.3f", time.Until(count.inTouchFrom).Seconds())
	stop := time.Now().Add(9 * time.Second)
	for i := 0; time.Now().Before(stop); i++ {
		wg.Add(1)
		go func() {
			defer wg.Done()
			f.newStream(i, count)
		}()
		time.Sleep(100 * time.Millisecond)
	}
	wg.Wait()
	f.rec.say("taken up at machines in touch: %d streams, %d of them go on; new streams there: %d, %d of them begin",
		count.taken, count.goesOn, count.fresh, count.begins)
	if count.taken < 12 || count.fresh == 0 {
		return false, nil
	}
	return float64(count.goesOn)/float64(count.taken) < float64(count.begins)/float64(count.fresh)/2, nil
}

// streamAttempt returns an attempt at a stream of a client.
func streamAttempt(id string, i int, deadline time.Duration, header ...string) attempt {
	return attempt{
		id: id, method: "POST", path: "/stream/2f", body: fmt.Sprintf("prompt %d", i), deadline: deadline,
		header: append(header, "X-Model: m", "X-Token-Usage: 713,120", fmt.Sprintf("X-Prefix-Hash: 5c1e07a2:103,91bd3f%02x:500,%x:110", i%8, 0xe4402b00+i)),
	}
}

// followStream begins a stream, and takes it up after it has broken off.
func (f *fleet) followStream(i int, lost chan struct{}, count *takeUps) {
	const deadline = 15 * time.Second
	began := time.Now()
	first := fmt.Sprintf("s%03dt0", i)
	o := f.sendLosing(f.routers[i%3], streamAttempt(first, i, deadline), lost)
	f.rec.printf("client got %s: %v", first, o)
	got := o.events
	counted, went := false, false
	for n := 0; got > 0 && got < events && n < len(backoff); n++ {
		time.Sleep(backoff[n])
		left := deadline - time.Since(began)
		if left < time.Second {
			break
		}
		r := f.routers[(i+n+1)%3]
		id := fmt.Sprintf("s%03dt%d", i, n+1)
		count.mu.Lock()
		inTouch := time.Now().After(count.inTouchFrom)
		count.mu.Unlock()
		o := send(f.frontend(r), streamAttempt(id, i, left, fmt.Sprintf("Last-Event-Id: %d", got), "Resumes: "+first))
		f.rec.printf("client takes %s up after event %d as %s at %s (in touch %v): %v", first, got, id, r.name, inTouch, o)
		counted = counted || inTouch
		if o.status == 200 {
			went = went || inTouch
			got += o.events
			if mixed(o.body) {
				f.rec.printf("%s holds events of two versions", id)
			}
		}
	}
	count.mu.Lock()
	defer count.mu.Unlock()
	if counted {
		count.taken++
	}
	if counted && went {
		count.goesOn++
	}
}

func mixed(body string) bool {
	return strings.Contains(body, "of v1\n") && strings.Contains(body, "of v2\n")
}

// sendLosing is send, but for the loss of the client's connection when lost is closed.
func (f *fleet) sendLosing(r *router, a attempt, lost chan struct{}) outcome {
	conn, err := net.DialTimeout("tcp4", f.frontend(r), time.Second)
	if err != nil {
		return outcome{end: "not connected: " + reason(err)}
	}
	defer conn.Close()
	done := make(chan struct{})
	defer close(done)
	go func() {
		select {
		case <-lost:
			_ = conn.Close()
		case <-done:
		}
	}()
	return sendOn(conn, newReader(conn), a)
}

// newStream begins a stream, and counts whether it begins.
func (f *fleet) newStream(i int, count *takeUps) {
	r := f.routers[i%3]
	count.mu.Lock()
	inTouch := time.Now().After(count.inTouchFrom)
	count.mu.Unlock()
	id := fmt.Sprintf("n%03d", i)
	o := send(f.frontend(r), streamAttempt(id, 1000+i, 15*time.Second))
	f.rec.printf("client got %s (new, in touch %v) from %s: %v", id, inTouch, r.name, o)
	if !inTouch {
		return
	}
	count.mu.Lock()
	defer count.mu.Unlock()
	count.fresh++
	if o.status == 200 && o.events > 0 {
		count.begins++
	}
}
