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
	// settingsPollInterval is the interval between checks of the settings file, which
	// may change without a signal.
	settingsPollInterval = 2 * time.Second
	// memoryLimitRatio is the Go runtime's soft memory limit as a fraction of the
	// instance's memory.
	memoryLimitRatio = 0.6
)

func init() {
	var path, level, traceFile string
	c := &cobra.Command{
		Use: "route", Short: "Run the router with the platform's settings file until SIGTERM, then shut down gracefully", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return route(cmd.Context(), path, level, traceFile) },
	}
	defaultPath := os.Getenv(waxadapter.SettingsVariable)
	if defaultPath == "" {
		defaultPath = waxadapter.SettingsPath
	}
	c.Flags().StringVar(&path, "settings-file", defaultPath, "settings file in the platform's format")
	c.Flags().StringVar(&level, "log-level", "info", "minimum level of log lines: debug, info, warn or error")
	c.Flags().StringVar(&traceFile, "trace-file", "", "file that receives spans as JSON; - for standard output, empty to disable tracing")
	register(c)
}

// route runs the instance until SIGTERM or SIGINT, then drains it. It reloads the
// settings on SIGHUP and when the settings file changes.
func route(ctx context.Context, path, level, traceFile string) error {
	var minLevel slog.Level
	if err := minLevel.UnmarshalText([]byte(level)); err != nil {
		return waxfleet.NewError(waxfleet.CodeSettingInvalid, "--log-level is %q; allowed: debug, info, warn, error", level)
	}
	s, err := waxadapter.ReadSettings(path)
	if err != nil {
		return err
	}
	traceWriter, err := openTraceWriter(traceFile)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(float64(s.MemoryMB) * memoryLimitRatio * (1 << 20)))
	logCtx, stopLog := context.WithCancel(context.WithoutCancel(ctx))
	logWriter := waxlog.NewWriter(logCtx, os.Stdout)
	defer func() {
		stopLog()
		<-logWriter.Done()
	}()
	log := slog.New(slog.NewJSONHandler(logWriter, &slog.HandlerOptions{Level: minLevel})).With("instance", s.Instance)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	instance, err := waxfront.New(ctx, waxfront.Options{
		Settings:        s,
		Store:           waxadapter.NewStore(s.StoreAddress),
		Protocol:        waxadapter.NewProtocol(),
		ReadyPath:       waxadapter.ReadyPath(),
		Clock:           waxfleet.NewClock(),
		Log:             log,
		TraceWriter:     traceWriter,
		DroppedLogLines: logWriter.Dropped,
	})
	if err != nil {
		return err
	}
	log.Info("started", "failure-domain", s.FailureDomain, "caller-address", s.CallerAddress,
		"ready-address", s.ReadyAddress, "store", s.StoreAddress, "pid", os.Getpid(),
		"build", waxfront.BuildVersion())
	reloader := newReloader(path, log, instance)
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case sig := <-signals:
			if sig != syscall.SIGHUP {
				return instance.Drain(ctx)
			}
			reloader.reload("signal")
		case <-ticker.C:
			reloader.poll()
		}
	}
}

// reloader applies changes of the settings file to a running instance. modTime is
// the modification time of the file when it was last read.
type reloader struct {
	path     string
	log      *slog.Logger
	instance *waxfront.Instance
	modTime  time.Time
}

func newReloader(path string, log *slog.Logger, instance *waxfront.Instance) *reloader {
	r := &reloader{path: path, log: log, instance: instance}
	if info, err := os.Stat(path); err == nil {
		r.modTime = info.ModTime()
	}
	return r
}

// poll reloads the settings if the file's modification time has changed.
func (r *reloader) poll() {
	info, err := os.Stat(r.path)
	if err != nil {
		r.log.Warn("failed to read settings file", "file", r.path, "error", err.Error())
		return
	}
	if !info.ModTime().Equal(r.modTime) {
		r.modTime = info.ModTime()
		r.reload("file changed")
	}
}

// reload reads and applies the settings. If they are invalid, the previous settings
// stay in effect.
func (r *reloader) reload(cause string) {
	s, err := waxadapter.ReadSettings(r.path)
	if err != nil {
		r.log.Error("failed to reload settings; keeping the previous ones", "cause", cause, "code", int(waxfleet.CodeOf(err)), "error", err.Error())
		return
	}
	r.instance.ApplySettings(s)
	r.log.Info("settings reloaded", "cause", cause)
}
