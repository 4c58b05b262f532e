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

// Flags that all commands have.
const (
	flagAddress = "address"
	flagSeed    = "seed"
)

var rootCommand = &cobra.Command{
	Use:           "waxstandin",
	Short:         "Run a stand-in for the platform, a model engine or a plain service",
	Long:          "Run a stand-in for the platform, a model engine or a plain service.\nEach flag can also be set by an environment variable: --list-lag by WAX_LIST_LAG.",
	SilenceUsage:  true,
	SilenceErrors: true,
}

// register adds a command whose flags can be set by WAX_ variables. start runs
// the stand-in until its context ends and returns its address.
func register(cmd *cobra.Command, start func(ctx context.Context, settings *viper.Viper) (string, error)) {
	flags := cmd.Flags()
	flags.String(flagAddress, "127.0.0.1:0", `"ip:port" to serve on; port 0 takes a free one`)
	flags.Uint64(flagSeed, 1, "seed of all random decisions")
	cmd.Args = cobra.NoArgs
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		settings, err := settingsOf(cmd)
		if err != nil {
			return err
		}
		return serve(cmd.Context(), cmd.Name(), settings, start)
	}
	rootCommand.AddCommand(cmd)
}

// settingsOf reads the flags of a command; WAX_ variables stand in for those that
// are not given.
func settingsOf(cmd *cobra.Command) (*viper.Viper, error) {
	settings := viper.New()
	settings.SetEnvPrefix("WAX")
	settings.SetEnvKeyReplacer(strings.NewReplacer("-", "_"))
	settings.AutomaticEnv()
	if err := settings.BindPFlags(cmd.Flags()); err != nil {
		return nil, errors.Wrap(err, "bind flags")
	}
	return settings, nil
}

func serve(ctx context.Context, name string, settings *viper.Viper, start func(context.Context, *viper.Viper) (string, error)) error {
	address, err := start(ctx, settings)
	if err != nil {
		return waxfleet.WrapError(err, waxfleet.CodeSettingInvalid, "start %s", name)
	}
	slog.InfoContext(ctx, "stand-in serves", "kind", name, "address", address)
	<-ctx.Done()
	slog.InfoContext(ctx, "stand-in stops", "kind", name)
	return nil
}

func millis(settings *viper.Viper, flag string) waxfleet.Millis {
	return waxfleet.MillisOf(settings.GetDuration(flag))
}
