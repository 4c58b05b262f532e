// The program of the second review's scripts: it holds stand-ins of the platform's store, of
// backend servers and of clients, starts the routers as processes, and checks one rule. Its
// files are test files, because TestNamesStayHere in platform keeps the names of the wire out
// of all other sources; it needs the standard library only.
package main

import (
	"bufio"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"
)

var cleanup []func()

var finishing sync.Mutex

// finish ends what was started and exits. Only the first call counts.
func finish(code int) {
	finishing.Lock()
	for i := len(cleanup) - 1; i >= 0; i-- {
		cleanup[i]()
	}
	os.Exit(code)
}

func must(err error) {
	if err != nil {
		fatal("%v", err)
	}
}

// fatal ends a case that couldn't run.
func fatal(format string, args ...any) {
	fmt.Printf("couldn't run: "+format+"\n", args...)
	finish(2)
}

// recorder writes record.txt.
type recorder struct {
	mu    sync.Mutex
	out   *bufio.Writer
	began time.Time
}

func (r *recorder) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line to the record and to the standard output.
func (r *recorder) say(format string, args ...any) {
	fmt.Printf("%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
	r.line(format, args...)
}

// world is what each case plays in.
type world struct {
	*recorder
	store   *store
	fleet   *fleet
	trouble bool
	dir     string
}

var cases = map[string]func(*world) (broken bool){
	"brittle":  brittle,
	"silence":  silence,
	"trials":   trials,
	"versions": versions,
}

// TestMain plays the case that the first argument names.
func TestMain(_ *testing.M) {
	program := flag.String("router", "", "the router's program")
	record := flag.String("record", "record.txt", "the file of the record")
	keep := flag.String("keep", "", "folder for the routers' logs; a temporary one that is removed if empty")
	flag.Parse()
	play := cases[flag.Arg(0)]
	if play == nil {
		fatal("no case %q", flag.Arg(0))
	}
	path, err := filepath.Abs(*program)
	must(err)
	if _, err := os.Stat(path); err != nil {
		fatal("the program isn't built: %v", err)
	}
	out, err := os.Create(*record)
	must(err)
	w := &world{recorder: &recorder{out: bufio.NewWriter(out), began: time.Now()}, trouble: os.Getenv("TROUBLE") != "0", dir: *keep}
	cleanup = append(cleanup, func() { w.mu.Lock(); _ = w.out.Flush(); w.mu.Unlock(); _ = out.Close() })
	if w.dir == "" {
		w.dir, err = os.MkdirTemp("", "review-2-")
		must(err)
		cleanup = append(cleanup, func() { _ = os.RemoveAll(w.dir) })
	}
	must(os.MkdirAll(w.dir, 0o700))
	go func() {
		time.Sleep(118 * time.Second)
		fatal("the case took too long")
	}()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		fatal("interrupted")
	}()
	w.store = newStore()
	w.program(path)
	if play(w) {
		w.say("the rule was broken")
		finish(1)
	}
	w.say("the rule held")
	finish(0)
}

func (w *world) program(path string) { w.fleet = &fleet{program: path, dir: w.dir} }

// startRouters starts n routers in the zones.
func (w *world) startRouters(n int, zones []string) {
	w.fleet = newFleet(w.fleet.program, w.dir, w.store.address(), n, zones)
	cleanup = append(cleanup, w.fleet.stopAll)
	w.fleet.startAll()
	w.say("%d routers are ready", n)
}
