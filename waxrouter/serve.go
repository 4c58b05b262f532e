package main

import (
	"context"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
	"github.com/spf13/viper"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxnode"
)

func init() {
	c := &cobra.Command{
		Use: "serve", Short: "Run the router until SIGTERM, then shut down gracefully", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			v, err := bindFlags(cmd.Flags())
			if err != nil {
				return err
			}
			return serve(cmd.Context(), v)
		},
	}
	addFlags(c.Flags())
	register(c)
}

// serve runs the instance. The first SIGTERM or SIGINT drains it, the second stops
// it at once.
func serve(ctx context.Context, v *viper.Viper) error {
	log, err := newLogger(v.GetString("log-level"))
	if err != nil {
		return err
	}
	traceWriter, err := openTraceWriter(v.GetString("trace-file"))
	if err != nil {
		return err
	}
	s, err := readSettings(v, traceWriter)
	if err != nil {
		return err
	}
	timeout, err := drainTimeout(v)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	node, err := waxnode.New(ctx, s, log)
	if err != nil {
		return err
	}
	log.Info("serving", "instance", s.InstanceID, "caller-address", node.CallerAddress(), "peer-address", node.PeerAddress())
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	drainCtx, stopDrain := context.WithCancel(ctx)
	defer stopDrain()
	if timeout > 0 {
		drainCtx, stopDrain = context.WithTimeout(ctx, timeout.Duration())
		defer stopDrain()
	}
	go func() {
		<-signals
		stopDrain()
	}()
	return node.Drain(drainCtx)
}

// newLogger returns a logger that writes JSON lines to standard error.
func newLogger(level string) (*slog.Logger, error) {
	var minLevel slog.Level
	if err := minLevel.UnmarshalText([]byte(level)); err != nil {
		return nil, waxfleet.NewError(waxfleet.CodeSettingInvalid, "--log-level is %q; allowed: debug, info, warn, error", level)
	}
	return slog.New(slog.NewJSONHandler(os.Stderr, &slog.HandlerOptions{Level: minLevel})), nil
}

// openTraceWriter opens the file that spans are appended to. It returns nil for an
// empty name, which disables tracing, and standard output for -.
func openTraceWriter(name string) (io.Writer, error) {
	switch name {
	case "":
		return nil, nil
	case "-":
		return os.Stdout, nil
	}
	f, err := os.OpenFile(name, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, waxfleet.WrapError(err, waxfleet.CodeSettingInvalid, "--trace-file is %q; allowed: a writable file, - or empty", name)
	}
	return f, nil
}
