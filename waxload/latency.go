package main

import (
	"io"
	"runtime/pprof"

	"github.com/spf13/cobra"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxload/waxlatency"
)

func init() {
	cmd := &cobra.Command{
		Use:   "latency",
		Short: "Measure the latency and CPU time that the fleet adds to a streamed request",
		Args:  cobra.NoArgs,
		RunE:  runLatency,
	}
	d := waxlatency.DefaultOptions()
	f := cmd.Flags()
	f.Int("streams", d.Streams, "number of concurrent streams")
	f.Duration("duration", d.Duration, "duration of the latency phase and of each CPU phase")
	f.Duration("warmup", d.WarmupDuration, "duration of the load before the latency phase")
	f.Int("routers", d.Routers, "number of router instances")
	f.Int("engines", d.Engines, "number of engines")
	f.Int("tokens", d.Tokens, "number of tokens per response")
	f.Duration("token-interval", d.TokenInterval.Duration(), "interval between tokens")
	f.Uint64("seed", d.Seed, "seed for the order of direct and routed requests")
	f.String("output", "table", "output format: table or json")
	f.String("cpu-profile", "", "file for a CPU profile of the whole run; empty for none")
	root.AddCommand(cmd)
}

func runLatency(cmd *cobra.Command, _ []string) error {
	v, err := bindSettings(cmd)
	if err != nil {
		return err
	}
	output := v.GetString("output")
	if output != "table" && output != "json" {
		return waxfleet.NewError(waxfleet.CodeSettingInvalid, "invalid output %q; want table or json", output)
	}
	opts := waxlatency.Options{
		Streams:        v.GetInt("streams"),
		Duration:       v.GetDuration("duration"),
		WarmupDuration: v.GetDuration("warmup"),
		Routers:        v.GetInt("routers"),
		Engines:        v.GetInt("engines"),
		Tokens:         v.GetInt("tokens"),
		TokenInterval:  waxfleet.MillisOf(v.GetDuration("token-interval")),
		Seed:           v.GetUint64("seed"),
	}
	var result waxlatency.Result
	err = withCPUProfile(v.GetString("cpu-profile"), func() error {
		result, err = waxlatency.Run(cmd.Context(), opts)
		return err
	})
	if err != nil {
		return err
	}
	if output == "json" {
		return result.WriteJSON(cmd.OutOrStdout())
	}
	return result.WriteTable(cmd.OutOrStdout())
}

// withCPUProfile runs work and writes a CPU profile of it to path. With an empty
// path it only runs work.
func withCPUProfile(path string, work func() error) error {
	if path == "" {
		return work()
	}
	return writeFile(path, func(w io.Writer) error {
		if err := pprof.StartCPUProfile(w); err != nil {
			return err
		}
		defer pprof.StopCPUProfile()
		return work()
	})
}
