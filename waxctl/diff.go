package main

import (
	"fmt"

	"github.com/pmezard/go-difflib/difflib"
	"github.com/spf13/cobra"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxconfig"
)

func init() { register(newDiff) }

const diffContextLines = 3

func newDiff(a *app) *cobra.Command {
	return &cobra.Command{
		Use:       "diff SECTION FILE",
		Short:     "Compare a section of the current configuration with a file",
		Args:      usageArgs(cobra.ExactArgs(2)),
		ValidArgs: waxconfig.Sections(),
		RunE: func(cmd *cobra.Command, args []string) error {
			raw, err := a.readFile(args[1])
			if err != nil {
				return err
			}
			proposed, err := waxconfig.Canonical(raw)
			if err != nil {
				return err
			}
			e, err := a.newEditor()
			if err != nil {
				return err
			}
			ctx, cancel := a.withTimeout(cmd.Context())
			defer cancel()
			snap, err := e.Read(ctx)
			if err != nil {
				return err
			}
			current, ok := snap.Section(args[0])
			if !ok {
				return waxfleet.NewError(waxfleet.CodeConfigUnknownSection, "section %q; allowed: one of %v", args[0], waxconfig.Sections())
			}
			return a.showDiff(fmt.Sprintf("%s, version %d", args[0], snap.Version()), current, args[1], proposed)
		},
	}
}

// showDiff writes a unified diff, in either output format.
func (a *app) showDiff(fromName string, from []byte, toName string, to []byte) error {
	fromText, err := indentJSON(from)
	if err != nil {
		return err
	}
	toText, err := indentJSON(to)
	if err != nil {
		return err
	}
	return difflib.WriteUnifiedDiff(a.out, difflib.UnifiedDiff{
		A: difflib.SplitLines(fromText), FromFile: fromName,
		B: difflib.SplitLines(toText), ToFile: toName,
		Context: diffContextLines,
	})
}
