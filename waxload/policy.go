package main

import (
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxload/waxpolicy"
)

func init() {
	cmd := &cobra.Command{
		Use:   "policy",
		Short: "Compare placement policies by discrete-event simulation",
		Args:  cobra.NoArgs,
		RunE:  runPolicy,
	}
	f := cmd.Flags()
	f.String("seeds", "1,2,3", "comma-separated seeds of the traces")
	f.String("scenario", string(waxpolicy.Steady), "scenario: steady, flap, surge or domain")
	f.String("policies", "", "comma-separated policies to compare; empty for all")
	f.String("output", "table", "output format: table or json")
	f.Float64("cache-share", waxpolicy.DefaultOptions().CacheShare, "capacity of all prefix caches, as a share of the blocks of live chats")
	f.Duration("view-lag", waxpolicy.DefaultOptions().ViewLag.Duration(),
		"age of the load that owners see in other failure domains; 0 for the exact current total")
	f.Float64("utilisation", 0.6, "target utilisation of the batch slots")
	f.Duration("duration", 30*time.Minute, "duration of the trace, in trace time")
	root.AddCommand(cmd)
}

func runPolicy(cmd *cobra.Command, _ []string) error {
	v, err := bindSettings(cmd)
	if err != nil {
		return err
	}
	seeds, err := parseSeeds(v.GetString("seeds"))
	if err != nil {
		return err
	}
	output := v.GetString("output")
	if output != "table" && output != "json" {
		return waxfleet.NewError(waxfleet.CodeSettingInvalid, "invalid output %q; want table or json", output)
	}
	policies := waxpolicy.Policies()
	if list := v.GetString("policies"); list != "" {
		policies = nil
		for _, name := range strings.Split(list, ",") {
			policies = append(policies, waxpolicy.Policy(strings.TrimSpace(name)))
		}
	}
	opts := waxpolicy.DefaultOptions()
	opts.CacheShare = v.GetFloat64("cache-share")
	opts.ViewLag = waxfleet.MillisOf(v.GetDuration("view-lag"))
	trace := waxpolicy.TraceOptions(opts, v.GetFloat64("utilisation"))
	trace.Duration = waxfleet.MillisOf(v.GetDuration("duration"))
	summaries, err := waxpolicy.Compare(policies, waxpolicy.Scenario(v.GetString("scenario")), seeds, opts, trace)
	if err != nil {
		return err
	}
	if output == "json" {
		return waxpolicy.WriteJSON(cmd.OutOrStdout(), summaries)
	}
	return waxpolicy.WriteTable(cmd.OutOrStdout(), summaries)
}

func parseSeeds(list string) ([]uint64, error) {
	var seeds []uint64
	for _, field := range strings.Split(list, ",") {
		seed, err := strconv.ParseUint(strings.TrimSpace(field), 10, 64)
		if err != nil {
			return nil, waxfleet.WrapError(err, waxfleet.CodeSettingInvalid, "invalid seed %q", field)
		}
		seeds = append(seeds, seed)
	}
	return seeds, nil
}
