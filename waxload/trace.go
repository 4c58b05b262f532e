package main

import (
	"log/slog"
	"os"
	"time"

	"github.com/spf13/cobra"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxload/waxtrace"
)

func init() {
	cmd := &cobra.Command{
		Use:   "trace FILE",
		Short: "Generate a trace from a seed",
		Args:  cobra.ExactArgs(1),
		RunE:  runTrace,
	}
	d := waxtrace.DefaultOptions()
	f := cmd.Flags()
	f.Uint64("seed", d.Seed, "seed of the random generator")
	f.Duration("duration", d.Duration.Duration(), "duration of the trace")
	f.Float64("rate", d.Rate, "mean chat requests per second outside bursts")
	f.Int("workspaces", d.Workspaces, "number of workspaces")
	f.Float64("compress", d.ThinkTimeDivisor, "divisor of the think time between the turns of a chat")
	f.Float64("once-rate", d.AtMostOnceRate, "mean at-most-once calls per second")
	f.Duration("burst-period", 0, "interval between bursts of all workspaces; 0 for no bursts")
	f.Duration("burst-length", time.Minute, "duration of a burst")
	f.Float64("burst-factor", 2, "rate multiplier in a burst")
	f.String("surge-workspace", "", "workspace with an additional burst (surge); empty for none")
	f.Duration("surge-from", 0, "start of the surge")
	f.Duration("surge-length", 5*time.Minute, "duration of the surge")
	f.Float64("surge-factor", 8, "rate multiplier of the workspace in the surge")
	root.AddCommand(cmd)
}

func runTrace(cmd *cobra.Command, args []string) error {
	v, err := bindSettings(cmd)
	if err != nil {
		return err
	}
	opts := waxtrace.DefaultOptions()
	opts.Seed = v.GetUint64("seed")
	opts.Duration = waxfleet.MillisOf(v.GetDuration("duration"))
	opts.Rate = v.GetFloat64("rate")
	opts.Workspaces = v.GetInt("workspaces")
	opts.ThinkTimeDivisor = v.GetFloat64("compress")
	opts.AtMostOnceRate = v.GetFloat64("once-rate")
	opts.Bursts = waxtrace.PeriodicBursts(opts.Duration, waxfleet.MillisOf(v.GetDuration("burst-period")),
		waxfleet.MillisOf(v.GetDuration("burst-length")), v.GetFloat64("burst-factor"))
	if workspace := v.GetString("surge-workspace"); workspace != "" {
		opts.Bursts = append(opts.Bursts, waxtrace.Burst{
			Workspace: workspace,
			Start:     waxfleet.MillisOf(v.GetDuration("surge-from")),
			Duration:  waxfleet.MillisOf(v.GetDuration("surge-length")),
			Factor:    v.GetFloat64("surge-factor"),
		})
	}
	records, err := waxtrace.Generate(opts)
	if err != nil {
		return err
	}
	return writeTrace(args[0], records)
}

func writeTrace(path string, records []waxtrace.Record) error {
	f, err := os.Create(path)
	if err != nil {
		return waxfleet.WrapError(err, waxfleet.CodeTraceUnreadable, "%s", path)
	}
	if err := waxtrace.Write(f, records); err != nil {
		_ = f.Close()
		return err
	}
	slog.Info("trace written", "file", path, "records", len(records))
	return f.Close()
}
