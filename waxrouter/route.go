package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	waxadapter "waxwingdrift.org/platform"
	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxfront"
	"waxwingdrift.org/waxfleet/waxlog"
)

const (
	// settingsLook is the time between looks at the settings file, which may
	// change without a signal.
	settingsLook = 2 * time.Second
	// heapShare is the part of the instance's memory that the collector may let
	// the heap grow to.
	heapShare = 0.6
)

func init() {
	var file, level, traces string
	c := &cobra.Command{
		Use: "route", Short: "Run the instance on the platform until SIGTERM, then stop gracefully", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return route(cmd.Context(), file, level, traces) },
	}
	def := os.Getenv(waxadapter.SettingsVariable)
	if def == "" {
		def = waxadapter.SettingsPath
	}
	c.Flags().StringVar(&file, "settings-file", def, "settings file in the platform's format")
	c.Flags().StringVar(&level, "log-level", "info", "debug, info, warn or error")
	c.Flags().StringVar(&traces, "trace-file", "", "file that receives spans as JSON; - is standard output, empty turns tracing off")
	register(c)
}

// route runs the instance. SIGHUP and a change of the file read the settings
// again.
func route(ctx context.Context, file, level, traceFile string) error {
	var l slog.Level
	if err := l.UnmarshalText([]byte(level)); err != nil {
		return waxfleet.NewError(waxfleet.CodeSettingInvalid, "--log-level is %q; allowed: debug, info, warn, error", level)
	}
	s, err := waxadapter.ReadSettings(file)
	if err != nil {
		return err
	}
	traces, err := traceWriter(traceFile)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(float64(s.MemoryMB) * heapShare * (1 << 20)))
	logCtx, endLog := context.WithCancel(context.WithoutCancel(ctx))
	out := waxlog.NewWriter(logCtx, os.Stdout)
	defer func() {
		endLog()
		<-out.Done()
	}()
	log := slog.New(slog.NewJSONHandler(out, &slog.HandlerOptions{Level: l})).With("instance", s.Instance)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	front, err := waxfront.New(ctx, waxfront.Options{
		Settings: s, Store: waxadapter.NewStore(s.StoreAddress), Protocol: waxadapter.NewProtocol(),
		ReadyPath: waxadapter.ReadyPath(), Clock: waxfleet.NewClock(), Log: log, Traces: traces, DroppedLogs: out.Dropped,
	})
	if err != nil {
		return err
	}
	log.Info("started", "failure-domain", s.FailureDomain, "caller-address", s.CallerAddress,
		"ready-address", s.ReadyAddress, "store", s.StoreAddress, "pid", os.Getpid())
	reload := newReloader(file, log, front)
	tick := time.NewTicker(settingsLook)
	defer tick.Stop()
	for {
		select {
		case sig := <-signals:
			if sig != syscall.SIGHUP {
				return front.Drain(ctx)
			}
			reload.read("signal")
		case <-tick.C:
			reload.look()
		}
	}
}

// reloader reads the settings file again.
type reloader struct {
	file    string
	log     *slog.Logger
	front   *waxfront.Instance
	changed time.Time
}

func newReloader(file string, log *slog.Logger, front *waxfront.Instance) *reloader {
	r := &reloader{file: file, log: log, front: front}
	if info, err := os.Stat(file); err == nil {
		r.changed = info.ModTime()
	}
	return r
}

// look reads the file if it has changed.
func (r *reloader) look() {
	info, err := os.Stat(r.file)
	if err != nil {
		r.log.Warn("settings file not readable", "file", r.file, "error", err.Error())
		return
	}
	if !info.ModTime().Equal(r.changed) {
		r.changed = info.ModTime()
		r.read("file changed")
	}
}

// read puts the settings in force; bad ones change nothing.
func (r *reloader) read(cause string) {
	s, err := waxadapter.ReadSettings(r.file)
	if err != nil {
		r.log.Error("settings not reloaded, the last good ones stay in force", "cause", cause, "code", int(waxfleet.CodeOf(err)), "error", err.Error())
		return
	}
	r.front.ApplySettings(s)
	r.log.Info("settings reloaded", "cause", cause)
}
