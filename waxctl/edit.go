package main

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"waxwingdrift.org/waxfleet/waxconfig"
)

func init() { register(newEdit) }

func newEdit(a *app) *cobra.Command {
	var file, base string
	cmd := &cobra.Command{
		Use:       "edit SECTION --file FILE [--base FILE]",
		Short:     "Replace a section of the configuration",
		Args:      usageArgs(cobra.ExactArgs(1)),
		ValidArgs: waxconfig.Sections(),
		RunE: func(cmd *cobra.Command, args []string) error {
			if file == "" {
				return newUsageError(errors.New(`required flag "file" not set`))
			}
			value, err := a.readFile(file)
			if err != nil {
				return err
			}
			if base == "" {
				return a.runEdit(cmd.Context(), args[0], func(ctx context.Context, e *waxconfig.Editor) (uint64, error) {
					return e.Edit(ctx, args[0], func([]byte) ([]byte, error) { return value, nil })
				})
			}
			from, err := a.readFile(base)
			if err != nil {
				return err
			}
			return a.runEdit(cmd.Context(), args[0], func(ctx context.Context, e *waxconfig.Editor) (uint64, error) {
				return e.Replace(ctx, args[0], from, value)
			})
		},
	}
	cmd.Flags().StringVar(&file, "file", "", "file with the new content of the section; - for standard input")
	cmd.Flags().StringVar(&base, "base", "", "file with the section as it was read; the edit is rejected if the section has changed since")
	return cmd
}

type conflictReport struct {
	Section        string          `json:"section"`
	BaseVersion    uint64          `json:"base-version"`
	CurrentVersion uint64          `json:"current-version"`
	Current        json.RawMessage `json:"current"`
	Yours          json.RawMessage `json:"yours"`
}

// writeConflict writes the current and the proposed section if err is a conflict. It
// returns err, combined with any write error.
func (a *app) writeConflict(err error) error {
	var c *waxconfig.ConflictError
	if !errors.As(err, &c) {
		return err
	}
	report := conflictReport{
		Section:        c.Section(),
		BaseVersion:    c.BaseVersion(),
		CurrentVersion: c.CurrentVersion(),
		Current:        c.Current(),
		Yours:          c.Proposed(),
	}
	if a.wantsJSON() {
		return errors.CombineErrors(err, a.emit(report, nil))
	}
	for _, side := range []struct {
		title string
		raw   []byte
	}{{fmt.Sprintf("current, version %d", c.CurrentVersion()), c.Current()}, {"yours", c.Proposed()}} {
		text, indentErr := indentJSON(side.raw)
		if indentErr != nil {
			return errors.CombineErrors(err, indentErr)
		}
		if _, writeErr := fmt.Fprintf(a.out, "# %s, %s\n%s", c.Section(), side.title, text); writeErr != nil {
			return errors.CombineErrors(err, writeErr)
		}
	}
	return err
}
