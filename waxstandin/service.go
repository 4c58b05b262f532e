package main

import (
	"context"

	"github.com/spf13/cobra"
	"github.com/spf13/viper"
	"waxwingdrift.org/waxstandin/waxservice"
)

const flagDelay = "delay"

func init() {
	cmd := &cobra.Command{
		Use:   "service",
		Short: "Run a server of a plain service",
	}
	addBackendServerFlags(cmd, "service")
	cmd.Flags().Duration(flagDelay, 0, "processing time of a request")
	addCommand(cmd, startService)
}

func startService(ctx context.Context, settings *viper.Viper) (string, error) {
	s, err := waxservice.New(ctx, waxservice.Options{
		ID:              settings.GetString(flagID),
		FailureDomain:   settings.GetString(flagFailureDomain),
		Address:         settings.GetString(flagAddress),
		Seed:            settings.GetUint64(flagSeed),
		ProcessingDelay: durationSetting(settings, flagDelay),
	})
	if err != nil {
		return "", err
	}
	return s.Address(), registerWithPlatform(ctx, settings, s.Address())
}
