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
		Short: "Drain a backend server, so that it gets no new requests",
		Args:  usageArgs(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			return a.runEdit(cmd.Context(), waxconfig.SectionRules, func(ctx context.Context, e *waxconfig.Editor) (uint64, error) {
				if err := a.checkServer(ctx, args[0], undo); err != nil {
					return 0, err
				}
				return e.Edit(ctx, waxconfig.SectionRules, waxconfig.SetDraining(args[0], !undo))
			})
		},
	}
	cmd.Flags().BoolVar(&undo, "undo", false, "cancel the drain")
	return cmd
}

// checkServer rejects a backend server that is not in the instance list, because its
// ID is most likely misspelled. It accepts any ID if undo is set, so that the drain of
// a removed server can be canceled, and if the instance list is unavailable.
//
// Errors: CodeObjectNotFound if the backend server is not listed.
func (a *app) checkServer(ctx context.Context, id string, undo bool) error {
	if undo {
		return nil
	}
	client, err := a.newPlatformClient()
	if err != nil {
		return err
	}
	_, servers, err := client.ListInstances(ctx)
	if err != nil {
		a.logf("cannot check the ID of the backend server: %v", err)
		return nil
	}
	for _, b := range servers {
		if b.ID() == id {
			return nil
		}
	}
	return waxfleet.NewError(waxfleet.CodeObjectNotFound, "backend server %q is not in the instance list", id)
}
