package main

import (
	"context"
	_ "embed"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
	"github.com/spf13/viper"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxload/waxembed"
	"waxwingdrift.org/waxload/waxexperiment"
	"waxwingdrift.org/waxload/waxreport"
	"waxwingdrift.org/waxload/waxtrace"
)

// halfMinute is the recorded trace of make run: 30 s, seed 1.
//
//go:embed traces/half-minute.jsonl
var halfMinute []byte

var errNotWhole = errors.New("not every caller got its whole answer")

func init() {
	cmd := &cobra.Command{
		Use:   "run",
		Short: "Replay a trace against an embedded fleet",
		Long: "Starts a platform, engines, a plain service and routers inside this process on loopback, replays a trace\n" +
			"against them and prints the result. Exit code 0 only if every caller got its whole answer.",
		Args: cobra.NoArgs,
		RunE: runEmbedded,
	}
	f := cmd.Flags()
	f.String("trace", "", "trace file; empty for the recorded trace of 30 s")
	f.String("scenario", string(waxexperiment.Steady), "what happens meanwhile: steady, flap, domain, or owners")
	f.Int("routers", waxembed.DefaultOptions().Routers, "number of router instances")
	f.Int("engines", waxembed.DefaultOptions().Engines, "number of engines")
	f.Float64("cache-share", 0.5, "share of the blocks of live chats that the caches of all engines hold")
	f.Float64("time-scale", 1, "factor on the speed of the trace")
	f.String("out", "out", "directory for run.json and run.svg")
	f.Duration("max-duration", 5*time.Minute, "longest run")
	root.AddCommand(cmd)
}

func runEmbedded(cmd *cobra.Command, _ []string) error {
	v, err := settings(cmd)
	if err != nil {
		return err
	}
	records, err := embeddedTrace(v.GetString("trace"))
	if err != nil {
		return err
	}
	opts := waxexperiment.DefaultOptions()
	opts.Scenario = waxexperiment.Scenario(v.GetString("scenario"))
	opts.Fleet.Routers, opts.Fleet.Engines = v.GetInt("routers"), v.GetInt("engines")
	opts.CacheShare, opts.TimeScale = v.GetFloat64("cache-share"), v.GetFloat64("time-scale")
	opts.Progress = func(p waxexperiment.Progress) {
		slog.Info("progress", "seconds", int(p.Elapsed.Seconds()), "in-flight", p.InFlight, "skew", fmt.Sprintf("%.2f", p.Skew))
	}
	ctx, cancel := context.WithTimeout(cmd.Context(), v.GetDuration("max-duration"))
	defer cancel()
	outcome, err := waxexperiment.Run(ctx, records, opts)
	if err != nil {
		return err
	}
	if err := writeOutcome(v, outcome); err != nil {
		return err
	}
	if err := outcome.Report.WriteTable(cmd.OutOrStdout()); err != nil {
		return err
	}
	if err := outcome.Checks.Write(cmd.OutOrStdout()); err != nil {
		return err
	}
	if outcome.Report.Complete != len(records) {
		return errors.Wrapf(errNotWhole, "%d of %d", outcome.Report.Complete, len(records))
	}
	return nil
}

func embeddedTrace(name string) ([]waxtrace.Record, error) {
	if name != "" {
		return waxtrace.ReadFile(name)
	}
	records, err := waxtrace.Parse(halfMinute, "half-minute.jsonl")
	if err != nil {
		return nil, waxfleet.WrapError(err, waxfleet.CodeInternal, "the recorded trace is damaged")
	}
	return records, nil
}

func writeOutcome(v *viper.Viper, outcome waxexperiment.Outcome) error {
	dir := v.GetString("out")
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	if err := writeFile(filepath.Join(dir, "run.json"), outcome.Report.WriteJSON); err != nil {
		return err
	}
	return writeFile(filepath.Join(dir, "run.svg"), func(w io.Writer) error {
		return waxreport.WritePlot(w, outcome.Input.Title, waxreport.Timeline(outcome.Input, time.Second))
	})
}
