package main

import (
	"io"
	"log/slog"
	"os"
	"time"

	"github.com/spf13/cobra"
	"github.com/spf13/viper"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxload/waxreplay"
	"waxwingdrift.org/waxload/waxreport"
	"waxwingdrift.org/waxload/waxtrace"
)

// verifier checks the answers of a replay; it checks completeness only.
var verifier waxreplay.Verifier = waxreplay.VerifyNotEmpty

func init() {
	cmd := &cobra.Command{
		Use:   "replay FILE",
		Short: "Replay a trace against caller addresses",
		Args:  cobra.ExactArgs(1),
		RunE:  runReplay,
	}
	d := waxreplay.DefaultOptions()
	f := cmd.Flags()
	f.StringSlice("addresses", nil, "caller addresses, ip:port, separated by commas")
	f.String("choice", string(d.EntrySelection), "choice of the entry instance: round-robin or seeded")
	f.Uint64("seed", d.Seed, "seed of the choice and of the request ids")
	f.String("model", d.Model, "model of the chat calls")
	f.String("service", d.Service, "plain service of the once calls")
	f.String("once-path", d.AtMostOncePath, "path of the once calls")
	f.StringToString("keys", nil, "API keys by workspace; otherwise the key is the name of the workspace")
	f.Int("concurrency", d.Concurrency, "most requests in flight")
	f.Float64("time-scale", d.TimeScale, "factor on the speed of the trace")
	f.Int("max-requests", 0, "most requests; 0 for the whole trace")
	f.Duration("max-duration", 10*time.Minute, "longest run; 0 for the whole trace")
	f.Duration("timeout", d.Timeout, "longest time of a request")
	f.String("report", "", "file for the JSON report")
	f.String("plot", "", "file for the SVG timeline")
	f.Duration("interval", 10*time.Second, "interval of the timeline")
	root.AddCommand(cmd)
}

func replayOptions(v *viper.Viper) waxreplay.Options {
	opts := waxreplay.DefaultOptions(v.GetStringSlice("addresses")...)
	opts.EntrySelection = waxreplay.EntrySelection(v.GetString("choice"))
	opts.Seed = v.GetUint64("seed")
	opts.Model = v.GetString("model")
	opts.Service = v.GetString("service")
	opts.AtMostOncePath = v.GetString("once-path")
	opts.Concurrency = v.GetInt("concurrency")
	opts.TimeScale = v.GetFloat64("time-scale")
	opts.MaxRequests = v.GetInt("max-requests")
	opts.MaxDuration = v.GetDuration("max-duration")
	opts.Timeout = v.GetDuration("timeout")
	keys := v.GetStringMapString("keys")
	opts.APIKey = func(workspace string) string {
		if key, ok := keys[workspace]; ok {
			return key
		}
		return workspace
	}
	return opts
}

func runReplay(cmd *cobra.Command, args []string) error {
	v, err := settings(cmd)
	if err != nil {
		return err
	}
	records, err := waxtrace.ReadFile(args[0])
	if err != nil {
		return err
	}
	replayer, err := waxreplay.New(replayOptions(v), verifier, waxfleet.NewClock())
	if err != nil {
		return err
	}
	result := replayer.Run(cmd.Context(), records)
	slog.Info("replay ended", "sent", len(result.Samples), "records", len(records), "late", result.MaxSendDelay.String())
	in := waxreport.Input{Title: args[0], Samples: result.Samples, ITL: result.ITL}
	report := waxreport.Build(in)
	if err := writeFile(v.GetString("report"), report.WriteJSON); err != nil {
		return err
	}
	err = writeFile(v.GetString("plot"), func(w io.Writer) error {
		return waxreport.WritePlot(w, in.Title, waxreport.Timeline(in, v.GetDuration("interval")))
	})
	if err != nil {
		return err
	}
	return report.WriteTable(cmd.OutOrStdout())
}

// writeFile writes a file; an empty path writes nothing.
func writeFile(path string, write func(io.Writer) error) error {
	if path == "" {
		return nil
	}
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := write(f); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}
