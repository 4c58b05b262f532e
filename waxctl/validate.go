package main

import (
	"io"

	"github.com/spf13/cobra"

	"waxwingdrift.org/waxfleet/waxconfig"
)

func init() { register(newValidate) }

type validateReport struct {
	Valid bool `json:"valid"`
}

func newValidate(a *app) *cobra.Command {
	return &cobra.Command{
		Use:   "validate FILE",
		Short: "Validate a complete configuration document without the platform",
		Args:  usageArgs(cobra.ExactArgs(1)),
		RunE: func(_ *cobra.Command, args []string) error {
			raw, err := a.readFile(args[0])
			if err != nil {
				return err
			}
			if _, err := waxconfig.ParseDocument(0, raw); err != nil {
				return err
			}
			return a.emit(validateReport{Valid: true}, func(w io.Writer) { writeRow(w, "valid") })
		},
	}
}
