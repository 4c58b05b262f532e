package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	host = "fleet.example"
	key  = "n2ctnfzs989anu6wsjnb"
)

// attempt is one request of a client and what became of it.
type attempt struct {
	id     string
	router *router
	path   string
	// prefix is the prompt's parts, and tokens its length.
	prefix   string
	tokens   int
	deadline time.Duration
	events   int
	// public is true for a route without keys.
	public bool
	// resumes is the attempt that brought the stream's first event, and after its last event
	// so far, if the stream is taken up.
	resumes string
	after   int

	sent, ended time.Time
	status      int
	lastEvent   int
	// makers holds the software versions whose events came.
	makers map[string]bool
	// retryAfter is what a refusal asks for.
	retryAfter time.Duration
	// complete is true if the whole answer came, and end says how it ended otherwise.
	complete bool
	end      string
}

// gapLimit is the pause after which clients abandon a stream: two seconds, four times the
// objective or eight times the pause that the sheet allows.
const gapLimit = 2 * time.Second

// send sends the request on a new connection and reads the answer.
func (w *world) send(a *attempt) {
	a.sent = time.Now()
	w.line("client sends %s (%s) to %s", a.id, a.path, a.router.name)
	defer func() {
		a.ended = time.Now()
		w.line("client: %s at %s: status %d, last event %d, %s", a.id, a.router.name, a.status, a.lastEvent, a.end)
	}()
	conn, err := net.DialTimeout("tcp4", a.router.caller, time.Second)
	if err != nil {
		a.end = "no connection"
		return
	}
	defer func() { _ = conn.Close() }()
	authorization := "Authorization: Token " + key + "\r\n"
	if a.public {
		authorization = ""
	}
	if a.after > 0 {
		authorization += fmt.Sprintf("Last-Event-Id: %d\r\nResumes: %s\r\n", a.after, a.resumes)
	}
	body := strings.Repeat("x", 200)
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Model: m\r\nX-Token-Usage: %d,%d\r\nX-Prefix-Hash: %s\r\nX-Deadline-Ms: %d\r\n%sContent-Length: %d\r\n\r\n%s",
		a.path, host, a.id, a.tokens, 3*a.events, a.prefix, a.deadline.Milliseconds(), authorization, len(body), body)
	if err != nil {
		a.end = "the connection was closed before the request was read"
		return
	}
	limit := a.sent.Add(a.deadline)
	reader := bufio.NewReader(conn)
	_ = conn.SetReadDeadline(limit)
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		a.end = readError(err, limit)
		return
	}
	a.status = resp.StatusCode
	if seconds, perr := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); perr == nil {
		a.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	lines := bufio.NewReader(resp.Body)
	for {
		_ = conn.SetReadDeadline(earlier(limit, time.Now().Add(gapLimit)))
		line, err := lines.ReadBytes('\n')
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			if n, nerr := strconv.Atoi(string(bytes.TrimSpace(value))); nerr == nil {
				a.lastEvent = n
			}
		}
		if value, ok := bytes.CutPrefix(line, []byte("data:")); ok {
			_, version, _ := strings.Cut(string(bytes.TrimSpace(value)), " by ")
			if a.makers == nil {
				a.makers = map[string]bool{}
			}
			a.makers[version] = true
		}
		if errors.Is(err, io.EOF) {
			if a.complete = resp.StatusCode == http.StatusOK && a.lastEvent == a.events; a.complete {
				a.end = "complete"
			} else {
				a.end = "ended as complete"
			}
			return
		}
		if err != nil {
			a.end = readError(err, limit)
			return
		}
	}
}

func readError(err error, limit time.Time) string {
	var timeout net.Error
	switch {
	case errors.As(err, &timeout) && timeout.Timeout() && time.Now().Before(limit.Add(-50*time.Millisecond)):
		return "abandoned after a pause"
	case errors.As(err, &timeout) && timeout.Timeout():
		return "deadline"
	}
	return cutOff
}

const cutOff = "the connection ended without the rest of the answer"

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// traffic sends requests at a steady rate to the routers in rotation, in turn, until stop is
// closed. It returns all attempts once they have ended.
func (w *world) traffic(perSecond float64, stop <-chan struct{}, request func(i int) *attempt) func() []*attempt {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var all []*attempt
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-ticker.C:
			case <-stop:
				return
			}
			a := request(i)
			for j := range w.fleet.routers {
				if a.router = w.fleet.routers[(i+j)%len(w.fleet.routers)]; a.router.rotation() {
					break
				}
			}
			mu.Lock()
			all = append(all, a)
			mu.Unlock()
			wg.Add(1)
			go func() { defer wg.Done(); w.send(a) }()
		}
	}()
	return func() []*attempt {
		<-finished
		wg.Wait()
		return all
	}
}
