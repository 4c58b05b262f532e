// Command waxrouter is one router instance of the waxwingdrift fleet.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"waxwingdrift.org/waxfleet"
)

// exitOf maps result codes to exit codes: 2 for a bad setting, 1 for all else.
func exitOf(err error) int {
	if waxfleet.CodeOf(err) == waxfleet.CodeSettingInvalid {
		return 2
	}
	return 1
}

// commands holds the subcommands; each file registers its own.
var commands []*cobra.Command

func register(c *cobra.Command) { commands = append(commands, c) }

func main() {
	root := &cobra.Command{
		Use: "waxrouter", Short: "Router instance of the waxwingdrift fleet",
		SilenceUsage: true, SilenceErrors: true,
	}
	root.AddCommand(commands...)
	if err := root.ExecuteContext(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, "waxrouter:", err)
		os.Exit(exitOf(err))
	}
}
