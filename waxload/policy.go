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
		Short: "Compare placement policies by a decision replay",
		Args:  cobra.NoArgs,
		RunE:  runPolicy,
	}
	f := cmd.Flags()
	f.String("seeds", "1,2,3", "seeds of the traces, separated by commas")
	f.String("scenario", string(waxpolicy.Steady), "steady, flap, surge or domain")
	f.String("policies", "", "policies to compare, separated by commas; empty for all")
	f.String("output", "table", "table or json")
	f.Float64("cache-share", waxpolicy.DefaultOptions().CacheShare, "share of the blocks of live chats that all caches hold")
	f.Duration("view-lag", waxpolicy.DefaultOptions().ViewLag.Duration(), "age of what owners know of other domains; 0 for the present total")
	f.Float64("utilisation", 0.6, "share of the batch slots in use")
	f.Duration("duration", 30*time.Minute, "length of the trace, in trace time")
	root.AddCommand(cmd)
}

func runPolicy(cmd *cobra.Command, _ []string) error {
	v, err := settings(cmd)
	if err != nil {
		return err
	}
	seeds, err := parseSeeds(v.GetString("seeds"))
	if err != nil {
		return err
	}
	output := v.GetString("output")
	if output != "table" && output != "json" {
		return waxfleet.NewError(waxfleet.CodeSettingInvalid, "output %q is neither table nor json", output)
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
			return nil, waxfleet.WrapError(err, waxfleet.CodeSettingInvalid, "seed %q", field)
		}
		seeds = append(seeds, seed)
	}
	return seeds, nil
}
