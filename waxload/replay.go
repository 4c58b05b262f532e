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

// verifyResponse checks that a response has a token. It does not check the content.
var verifyResponse waxreplay.Verifier = waxreplay.VerifyNotEmpty

func init() {
	cmd := &cobra.Command{
		Use:   "replay FILE",
		Short: "Replay a trace against caller addresses",
		Args:  cobra.ExactArgs(1),
		RunE:  runReplay,
	}
	d := waxreplay.DefaultOptions()
	f := cmd.Flags()
	f.StringSlice("addresses", nil, "comma-separated caller addresses, ip:port")
	f.String("choice", string(d.EntrySelection), "selection of the entry instance: round-robin or seeded (random)")
	f.Uint64("seed", d.Seed, "seed for the entry selection and the request IDs")
	f.String("model", d.Model, "model of the chat requests")
	f.String("service", d.Service, "plain service of the at-most-once calls")
	f.String("once-path", d.AtMostOncePath, "path of the at-most-once calls")
	f.StringToString("keys", nil, "API keys by workspace; the default key is the workspace name")
	f.Int("concurrency", d.Concurrency, "maximum number of requests in flight")
	f.Float64("time-scale", d.TimeScale, "replay speed relative to the trace")
	f.Int("max-requests", 0, "maximum number of requests; 0 for no limit")
	f.Duration("max-duration", 10*time.Minute, "maximum duration of the replay; 0 for no limit")
	f.Duration("timeout", d.Timeout, "timeout of each request")
	f.String("report", "", "file for the JSON report; empty for none")
	f.String("plot", "", "file for the SVG timeline; empty for none")
	f.Duration("interval", 10*time.Second, "interval between points of the timeline")
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
	v, err := bindSettings(cmd)
	if err != nil {
		return err
	}
	records, err := waxtrace.ReadFile(args[0])
	if err != nil {
		return err
	}
	replayer, err := waxreplay.New(replayOptions(v), verifyResponse, waxfleet.NewClock())
	if err != nil {
		return err
	}
	result := replayer.Run(cmd.Context(), records)
	slog.Info("replay finished", "sent", len(result.Samples), "records", len(records), "late", result.MaxSendDelay.String())
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

// writeFile creates the file and writes its content with write. With an empty path
// it does nothing.
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
