// Command waxload makes traces, replays them against a router fleet and
// compares placement policies.
package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/spf13/cobra"
	"github.com/spf13/viper"
)

// root is the command that the others register at.
var root = &cobra.Command{
	Use:           "waxload",
	Short:         "Load and experiment tool of the waxwingdrift router fleet",
	SilenceUsage:  true,
	SilenceErrors: true,
}

// settings reads the flags of a command; a flag that was not given takes its
// value from WAX_<FLAG>.
func settings(cmd *cobra.Command) (*viper.Viper, error) {
	v := viper.New()
	v.SetEnvPrefix("WAX")
	v.SetEnvKeyReplacer(strings.NewReplacer("-", "_"))
	v.AutomaticEnv()
	return v, v.BindPFlags(cmd.Flags())
}

func main() {
	slog.SetDefault(slog.New(slog.NewJSONHandler(os.Stderr, nil)))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := root.ExecuteContext(ctx)
	stop()
	if err != nil {
		slog.Error("command failed", "error", err)
		os.Exit(1)
	}
}
