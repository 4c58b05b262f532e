package main

import (
	"github.com/spf13/cobra"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxload/waxcontrol"
)

func init() {
	cmd := &cobra.Command{
		Use:   "control",
		Short: "Measure the control traffic of embedded fleets of several sizes",
		Args:  cobra.NoArgs,
		RunE:  runControl,
	}
	d := waxcontrol.DefaultOptions()
	f := cmd.Flags()
	f.IntSlice("routers", d.Routers, "numbers of router instances to measure, each with the first number of engines")
	f.IntSlice("engines", d.Engines, "numbers of engines to measure; all but the first with base-routers instances")
	f.Int("base-routers", d.BaseRouters, "number of router instances for the runs over numbers of engines")
	f.Duration("idle", d.IdleDuration, "duration of the idle phase")
	f.Duration("loaded", d.LoadedDuration, "duration of the phase under load")
	f.Duration("changing", d.ChangingDuration, "duration of the phase with configuration changes")
	f.Duration("change-every", d.ChangeInterval, "interval between configuration changes")
	f.Int("streams", d.Streams, "number of concurrent streams under load")
	f.String("output", "table", "output format: table or json")
	root.AddCommand(cmd)
}

func runControl(cmd *cobra.Command, _ []string) error {
	v, err := bindSettings(cmd)
	if err != nil {
		return err
	}
	output := v.GetString("output")
	if output != "table" && output != "json" {
		return waxfleet.NewError(waxfleet.CodeSettingInvalid, "invalid output %q; want table or json", output)
	}
	result, err := waxcontrol.Run(cmd.Context(), waxcontrol.Options{
		Routers:          v.GetIntSlice("routers"),
		Engines:          v.GetIntSlice("engines"),
		BaseRouters:      v.GetInt("base-routers"),
		IdleDuration:     v.GetDuration("idle"),
		LoadedDuration:   v.GetDuration("loaded"),
		ChangingDuration: v.GetDuration("changing"),
		ChangeInterval:   v.GetDuration("change-every"),
		Streams:          v.GetInt("streams"),
	})
	if err != nil {
		return err
	}
	if output == "json" {
		return result.WriteJSON(cmd.OutOrStdout())
	}
	return result.WriteTable(cmd.OutOrStdout())
}
