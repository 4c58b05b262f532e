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
	flagColdDuration  = "cold-for"
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
	addBackendServerFlags(cmd, "engine")
	flags := cmd.Flags()
	flags.StringSlice(flagModels, nil, "models that the engine serves; empty means any")
	flags.Int(flagMaxBatch, waxengine.DefaultMaxBatch, "maximum number of concurrent requests")
	flags.Int(flagCacheBlocks, waxengine.DefaultCacheBlocks, "size of the prefix cache in blocks of 512 tokens")
	flags.Float64(flagPrefillRate, waxengine.DefaultPrefillTokensPerSecond, "prompt tokens computed per second")
	flags.Duration(flagTokenInterval, waxengine.DefaultTokenInterval.Duration(), "interval between the tokens of a response")
	flags.Int(flagColdWindow, waxengine.DefaultColdWindow, "maximum number of concurrent requests while cold")
	flags.Duration(flagColdDuration, 0, "time until the engine is warm; 0 disables the time limit")
	flags.Int(flagColdRequests, waxengine.DefaultColdRequests, "completed requests until the engine is warm; 0 disables the request limit")
	flags.Bool(flagStartWarm, false, "start the engine warm")
	flags.Duration(flagReportLag, waxengine.DefaultReportLag.Duration(), "delay of load reports and cache events")
	flags.Bool(flagCheckFencing, false, "reject orders with a stale fencing token")
	addCommand(cmd, startEngine)
}

// startEngine starts an engine and returns its address. In waxengine.Options a report
// lag of 0 means the default, so a flag value of 0 becomes NoReportLag.
func startEngine(ctx context.Context, settings *viper.Viper) (string, error) {
	lag := durationSetting(settings, flagReportLag)
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
		TokenInterval:          durationSetting(settings, flagTokenInterval),
		ColdWindow:             settings.GetInt(flagColdWindow),
		ColdDuration:           durationSetting(settings, flagColdDuration),
		ColdRequests:           settings.GetInt(flagColdRequests),
		StartWarm:              settings.GetBool(flagStartWarm),
		ReportLag:              lag,
		CheckFencing:           settings.GetBool(flagCheckFencing),
	})
	if err != nil {
		return "", err
	}
	return e.Address(), registerWithPlatform(ctx, settings, e.Address())
}
