package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"waxwingdrift.org/waxload/waxpolicy"
)

func init() {
	cmd := &cobra.Command{
		Use:   "policy-cost",
		Short: "Compare choices of engines with and without pace and cost by discrete-event simulation",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			v, err := bindSettings(cmd)
			if err != nil {
				return err
			}
			seeds, err := parseSeeds(v.GetString("seeds"))
			if err != nil {
				return err
			}
			_, err = fmt.Fprint(cmd.OutOrStdout(), waxpolicy.FormatCosts(seeds))
			return err
		},
	}
	cmd.Flags().String("seeds", "1,2,3", "comma-separated seeds of the requests and paces")
	root.AddCommand(cmd)
}
