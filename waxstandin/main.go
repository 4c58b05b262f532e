// Command waxstandin runs a stand-in for the platform, a model engine or a plain
// service.
package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	slog.SetDefault(slog.New(slog.NewJSONHandler(os.Stderr, nil)))
	err := rootCommand.ExecuteContext(ctx)
	stop()
	if err != nil {
		slog.Error("stand-in ended", "error", err.Error())
		os.Exit(1)
	}
}
