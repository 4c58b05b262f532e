package main

import (
	"context"

	"github.com/spf13/cobra"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxconfig"
)

func init() { register(newDrain) }

func newDrain(a *app) *cobra.Command {
	var undo bool
	cmd := &cobra.Command{
		Use:   "drain SERVER",
		Short: "Mark a backend server as leaving, so that it gets no new work",
		Args:  usageArgs(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			return a.edit(cmd.Context(), waxconfig.SectionRules, func(ctx context.Context, e *waxconfig.Editor) (uint64, error) {
				if err := a.checkServer(ctx, args[0], undo); err != nil {
					return 0, err
				}
				return e.Edit(ctx, waxconfig.SectionRules, waxconfig.SetDraining(args[0], !undo))
			})
		},
	}
	cmd.Flags().BoolVar(&undo, "undo", false, "remove the mark")
	return cmd
}

// checkServer refuses a backend server that the instance list does not have,
// which is most likely misspelt. The mark of a server that has gone can still
// be removed.
func (a *app) checkServer(ctx context.Context, id string, undo bool) error {
	if undo {
		return nil
	}
	p, err := a.platform()
	if err != nil {
		return err
	}
	_, servers, err := p.ListInstances(ctx)
	if err != nil {
		a.note("the name of the backend server was not checked: %v", err)
		return nil
	}
	for _, b := range servers {
		if b.ID() == id {
			return nil
		}
	}
	return waxfleet.NewError(waxfleet.CodeObjectNotFound, "backend server %q is not in the instance list", id)
}
