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

// defaultTrace is a generated trace of 30 s with seed 1. make run replays it.
//
//go:embed traces/half-minute.jsonl
var defaultTrace []byte

var errIncomplete = errors.New("not every request got a complete response")

func init() {
	cmd := &cobra.Command{
		Use:   "run",
		Short: "Replay a trace against an embedded fleet",
		Long: "Starts a platform, engines, a plain service and routers in this process on loopback, replays a trace\n" +
			"against them and prints the report. The exit code is 0 only if every request got a complete response.",
		Args: cobra.NoArgs,
		RunE: runEmbedded,
	}
	f := cmd.Flags()
	f.String("trace", "", "trace file; empty for the built-in trace of 30 s")
	f.String("scenario", string(waxexperiment.Steady), "scenario: steady, flap, domain or owners")
	f.Int("routers", waxembed.DefaultOptions().Routers, "number of router instances")
	f.Int("engines", waxembed.DefaultOptions().Engines, "number of engines")
	f.Float64("cache-share", 0.5, "capacity of all prefix caches, as a share of the blocks of live chats")
	f.Float64("time-scale", 1, "replay speed relative to the trace")
	f.String("out", "out", "directory for run.json and run.svg")
	f.Duration("max-duration", 5*time.Minute, "maximum duration of the run")
	root.AddCommand(cmd)
}

func runEmbedded(cmd *cobra.Command, _ []string) error {
	v, err := bindSettings(cmd)
	if err != nil {
		return err
	}
	records, err := readTrace(v.GetString("trace"))
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
	if err := writeReports(v, outcome); err != nil {
		return err
	}
	if err := outcome.Report.WriteTable(cmd.OutOrStdout()); err != nil {
		return err
	}
	if err := outcome.Checks.WriteText(cmd.OutOrStdout()); err != nil {
		return err
	}
	if outcome.Report.Complete != len(records) {
		return errors.Wrapf(errIncomplete, "%d of %d", outcome.Report.Complete, len(records))
	}
	return nil
}

func readTrace(name string) ([]waxtrace.Record, error) {
	if name != "" {
		return waxtrace.ReadFile(name)
	}
	records, err := waxtrace.Parse(defaultTrace, "half-minute.jsonl")
	if err != nil {
		return nil, waxfleet.WrapError(err, waxfleet.CodeInternal, "failed to parse the built-in trace")
	}
	return records, nil
}

func writeReports(v *viper.Viper, outcome waxexperiment.Outcome) error {
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
