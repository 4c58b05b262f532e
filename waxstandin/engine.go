package main

import (
	"context"

	"github.com/spf13/cobra"
	"github.com/spf13/viper"
	"waxwingdrift.org/waxstandin/waxengine"
)

const (
	flagModels        = "models"
	flagMaxBatch      = "max-batch"
	flagCacheBlocks   = "cache-blocks"
	flagPrefillRate   = "prefill-tokens-per-second"
	flagTokenInterval = "token-interval"
	flagColdWindow    = "cold-window"
	flagColdFor       = "cold-for"
	flagColdRequests  = "cold-requests"
	flagStartWarm     = "start-warm"
	flagReportLag     = "report-lag"
	flagCheckFencing  = "check-fencing"
)

func init() {
	cmd := &cobra.Command{
		Use:   "engine",
		Short: "Run a model engine",
	}
	addBackendFlags(cmd, "engine")
	flags := cmd.Flags()
	flags.StringSlice(flagModels, nil, "models that it serves; empty is any")
	flags.Int(flagMaxBatch, waxengine.DefaultMaxBatch, "requests that run at once")
	flags.Int(flagCacheBlocks, waxengine.DefaultCacheBlocks, "size of the prefix cache in blocks of 512 tokens")
	flags.Float64(flagPrefillRate, waxengine.DefaultPrefillTokensPerSecond, "prompt tokens that it computes per second")
	flags.Duration(flagTokenInterval, waxengine.DefaultTokenInterval.Duration(), "time between two tokens")
	flags.Int(flagColdWindow, waxengine.DefaultColdWindow, "requests that it bears while cold")
	flags.Duration(flagColdFor, 0, "time until it is warm; 0 is no limit by time")
	flags.Int(flagColdRequests, waxengine.DefaultColdRequests, "completed requests until it is warm; 0 is no limit by requests")
	flags.Bool(flagStartWarm, false, "start warm")
	flags.Duration(flagReportLag, waxengine.DefaultReportLag.Duration(), "age of its load reports")
	flags.Bool(flagCheckFencing, false, "refuse orders with an old fencing number")
	register(cmd, startEngine)
}

func startEngine(ctx context.Context, settings *viper.Viper) (string, error) {
	lag := millis(settings, flagReportLag)
	if lag == 0 {
		lag = waxengine.NoReportLag
	}
	e, err := waxengine.New(ctx, waxengine.Options{
		ID:                     settings.GetString(flagID),
		FailureDomain:          settings.GetString(flagFailureDomain),
		Address:                settings.GetString(flagAddress),
		Seed:                   settings.GetUint64(flagSeed),
		Models:                 settings.GetStringSlice(flagModels),
		MaxBatch:               settings.GetInt(flagMaxBatch),
		CacheBlocks:            settings.GetInt(flagCacheBlocks),
		PrefillTokensPerSecond: settings.GetFloat64(flagPrefillRate),
		TokenInterval:          millis(settings, flagTokenInterval),
		ColdWindow:             settings.GetInt(flagColdWindow),
		ColdFor:                millis(settings, flagColdFor),
		ColdRequests:           settings.GetInt(flagColdRequests),
		StartWarm:              settings.GetBool(flagStartWarm),
		ReportLag:              lag,
		CheckFencing:           settings.GetBool(flagCheckFencing),
	})
	if err != nil {
		return "", err
	}
	return e.Address(), list(ctx, settings, e.Address())
}
