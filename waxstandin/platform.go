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
		Short: "Run the Object API and the instance list",
	}
	cmd.Flags().Duration(flagListLag, 0, "age of the instance list")
	cmd.Flags().Int(flagWritesPerSecond, 0, "limit of writes; 0 is unlimited")
	cmd.Flags().Int(flagReadsPerSecond, 0, "limit of reads; 0 is unlimited")
	register(cmd, startPlatform)
}

func startPlatform(ctx context.Context, settings *viper.Viper) (string, error) {
	p, err := waxplatform.New(ctx, waxplatform.Options{
		Address:         settings.GetString(flagAddress),
		Seed:            settings.GetUint64(flagSeed),
		ListLag:         millis(settings, flagListLag),
		WritesPerSecond: settings.GetInt(flagWritesPerSecond),
		ReadsPerSecond:  settings.GetInt(flagReadsPerSecond),
	})
	if err != nil {
		return "", err
	}
	return p.Address(), nil
}
