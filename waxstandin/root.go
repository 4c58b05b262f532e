package main

import (
	"context"
	"log/slog"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
	"github.com/spf13/viper"
	"waxwingdrift.org/waxfleet"
)

// Flags of all commands.
const (
	flagAddress = "address"
	flagSeed    = "seed"
)

var rootCommand = &cobra.Command{
	Use:           "waxstandin",
	Short:         "Run a fake platform, model engine or plain service",
	Long:          "Run a fake platform, model engine or plain service.\nEach flag can also be set by an environment variable: --list-lag by WAX_LIST_LAG.",
	SilenceUsage:  true,
	SilenceErrors: true,
}

// addCommand adds a command whose flags can also be set by WAX_ environment variables.
// start must start a server that stops when its context ends, and return the address of
// the server.
func addCommand(cmd *cobra.Command, start func(ctx context.Context, settings *viper.Viper) (string, error)) {
	flags := cmd.Flags()
	flags.String(flagAddress, "127.0.0.1:0", `"ip:port" to listen on; port 0 selects a free port`)
	flags.Uint64(flagSeed, 1, "seed of the random number generator")
	cmd.Args = cobra.NoArgs
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		settings, err := loadSettings(cmd)
		if err != nil {
			return err
		}
		return serve(cmd.Context(), cmd.Name(), settings, start)
	}
	rootCommand.AddCommand(cmd)
}

// loadSettings returns the settings of a command. A flag that is not given is read from
// its WAX_ environment variable.
func loadSettings(cmd *cobra.Command) (*viper.Viper, error) {
	settings := viper.New()
	settings.SetEnvPrefix("WAX")
	settings.SetEnvKeyReplacer(strings.NewReplacer("-", "_"))
	settings.AutomaticEnv()
	if err := settings.BindPFlags(cmd.Flags()); err != nil {
		return nil, errors.Wrap(err, "bind flags")
	}
	return settings, nil
}

// serve starts a server and waits until ctx ends.
//
// Errors: CodeSettingInvalid if the server can't be started.
func serve(ctx context.Context, name string, settings *viper.Viper, start func(context.Context, *viper.Viper) (string, error)) error {
	address, err := start(ctx, settings)
	if err != nil {
		return waxfleet.WrapError(err, waxfleet.CodeSettingInvalid, "start %s", name)
	}
	slog.InfoContext(ctx, "fake server started", "kind", name, "address", address)
	<-ctx.Done()
	slog.InfoContext(ctx, "fake server stopping", "kind", name)
	return nil
}

// durationSetting returns a setting such as "1.5s" in ms.
func durationSetting(settings *viper.Viper, flag string) waxfleet.Millis {
	return waxfleet.MillisOf(settings.GetDuration(flag))
}
