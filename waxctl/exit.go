package main

import (
	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"waxwingdrift.org/waxfleet"
)

// Exit codes of the command.
const (
	exitOK          = 0
	exitOther       = 1
	exitUsage       = 2
	exitConflict    = 3
	exitInvalid     = 4
	exitUnreachable = 5
	exitNotFound    = 6
)

// usageError reports an invalid command line.
type usageError struct{ cause error }

func newUsageError(cause error) error { return &usageError{cause: cause} }

// Error implements error.
func (u *usageError) Error() string { return u.cause.Error() }

// Unwrap returns the cause.
func (u *usageError) Unwrap() error { return u.cause }

// usageArgs wraps the errors of an argument check in usageError.
func usageArgs(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		if err := check(cmd, args); err != nil {
			return newUsageError(err)
		}
		return nil
	}
}

// exitCode returns the exit code of an error. An unknown outcome has no exit code of
// its own: a script must not conclude from the code that nothing was changed.
func exitCode(err error) int {
	var usage *usageError
	if errors.As(err, &usage) {
		return exitUsage
	}
	switch waxfleet.CodeOf(err) {
	case waxfleet.CodeOK:
		return exitOK
	case waxfleet.CodeSettingInvalid:
		return exitUsage
	case waxfleet.CodeConfigConflict, waxfleet.CodeObjectConflict:
		return exitConflict
	case waxfleet.CodeConfigInvalid, waxfleet.CodeConfigTooLarge:
		return exitInvalid
	case waxfleet.CodePlatformUnreachable, waxfleet.CodePlatformRateLimited,
		waxfleet.CodeConfigUnavailable, waxfleet.CodePeerUnreachable:
		return exitUnreachable
	case waxfleet.CodeObjectNotFound, waxfleet.CodeConfigUnknownSection:
		return exitNotFound
	}
	return exitOther
}
