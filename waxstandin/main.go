// Command waxstandin runs a fake platform, model engine or plain service for tests
// and load generators.
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
		slog.Error("fake server failed", "error", err.Error())
		os.Exit(1)
	}
}
