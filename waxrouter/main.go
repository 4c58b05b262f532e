// Command waxrouter is one router instance of the waxwingdrift fleet.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"waxwingdrift.org/waxfleet"
)

// exitOf maps result codes to exit codes: 2 for a bad setting, 1 for all else.
func exitOf(err error) int {
	if waxfleet.CodeOf(err) == waxfleet.CodeSettingInvalid {
		return 2
	}
	return 1
}

// flagError gives a command line that can't be parsed the result code of a bad
// setting. All flags but texts and lists are whole numbers.
func flagError(_ *cobra.Command, err error) error {
	var bad *pflag.InvalidValueError
	if !errors.As(err, &bad) {
		return waxfleet.NewError(waxfleet.CodeSettingInvalid, "%v; allowed: the flags that --help lists", err)
	}
	allowed := "a whole number"
	if bad.GetFlag().Value.Type() == "stringSlice" {
		allowed = "a list separated by commas"
	}
	return waxfleet.NewError(waxfleet.CodeSettingInvalid, "--%s is %q; allowed: %s", bad.GetFlag().Name, bad.GetValue(), allowed)
}

// commands holds the subcommands; each file registers its own.
var commands []*cobra.Command

func register(c *cobra.Command) { commands = append(commands, c) }

func main() {
	root := &cobra.Command{
		Use: "waxrouter", Short: "Router instance of the waxwingdrift fleet",
		SilenceUsage: true, SilenceErrors: true,
	}
	root.SetFlagErrorFunc(flagError)
	root.AddCommand(commands...)
	if err := root.ExecuteContext(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, "waxrouter:", err)
		os.Exit(exitOf(err))
	}
}
