// Command waxload generates traces, replays them against a router fleet, measures
// embedded fleets and compares placement policies.
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

// root is the parent of all subcommands.
var root = &cobra.Command{
	Use:           "waxload",
	Short:         "Load generator and test tool for the waxwingdrift router fleet",
	SilenceUsage:  true,
	SilenceErrors: true,
}

// bindSettings returns the settings of a command. A flag that is not set takes its
// value from the environment variable WAX_<FLAG>, with "_" for "-".
func bindSettings(cmd *cobra.Command) (*viper.Viper, error) {
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
