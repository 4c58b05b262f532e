package main

import (
	"context"

	"github.com/spf13/cobra"
	"github.com/spf13/viper"
	"waxwingdrift.org/waxstandin/waxplatform"
)

const (
	flagListLag         = "list-lag"
	flagWritesPerSecond = "writes-per-second"
	flagReadsPerSecond  = "reads-per-second"
)

func init() {
	cmd := &cobra.Command{
		Use:   "platform",
		Short: "Run a fake platform: the Object API and the instance list",
	}
	cmd.Flags().Duration(flagListLag, 0, "delay of changes to the instance list")
	cmd.Flags().Int(flagWritesPerSecond, 0, "rate limit of writes; 0 means unlimited")
	cmd.Flags().Int(flagReadsPerSecond, 0, "rate limit of reads; 0 means unlimited")
	addCommand(cmd, startPlatform)
}

func startPlatform(ctx context.Context, settings *viper.Viper) (string, error) {
	p, err := waxplatform.New(ctx, waxplatform.Options{
		Address:         settings.GetString(flagAddress),
		Seed:            settings.GetUint64(flagSeed),
		ListLag:         durationSetting(settings, flagListLag),
		WritesPerSecond: settings.GetInt(flagWritesPerSecond),
		ReadsPerSecond:  settings.GetInt(flagReadsPerSecond),
	})
	if err != nil {
		return "", err
	}
	return p.Address(), nil
}
