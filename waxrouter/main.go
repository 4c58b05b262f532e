// Command waxrouter runs one router instance of the waxwingdrift fleet.
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

// exitCode returns the exit code of an error: 2 for an invalid setting, 1 otherwise.
func exitCode(err error) int {
	if waxfleet.CodeOf(err) == waxfleet.CodeSettingInvalid {
		return 2
	}
	return 1
}

// flagError converts a flag parsing error to one with CodeSettingInvalid. Only integer
// and list flags have values that can fail to parse.
func flagError(_ *cobra.Command, err error) error {
	var invalid *pflag.InvalidValueError
	if !errors.As(err, &invalid) {
		return waxfleet.NewError(waxfleet.CodeSettingInvalid, "%v; allowed: the flags listed by --help", err)
	}
	allowed := "an integer"
	if invalid.GetFlag().Value.Type() == "stringSlice" {
		allowed = "a comma-separated list"
	}
	return waxfleet.NewError(waxfleet.CodeSettingInvalid, "--%s is %q; allowed: %s", invalid.GetFlag().Name, invalid.GetValue(), allowed)
}

// commands holds the subcommands that init functions register.
var commands []*cobra.Command

func register(c *cobra.Command) { commands = append(commands, c) }

func main() {
	root := &cobra.Command{
		Use:           "waxrouter",
		Short:         "Router of the waxwingdrift fleet",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetFlagErrorFunc(flagError)
	root.AddCommand(commands...)
	if err := root.ExecuteContext(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, "waxrouter:", err)
		os.Exit(exitCode(err))
	}
}
