package main

import (
	"context"

	"github.com/spf13/cobra"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxconfig"
)

func init() { register(newDomain) }

func newDomain(a *app) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "domain",
		Short: "Take a failure domain out of service or bring it back",
		Args:  usageArgs(cobra.NoArgs),
		RunE:  func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	cmd.AddCommand(
		newSetDomainState(a, "out NAME", "Stop sending new requests to the failure domain", waxconfig.DomainStateOut),
		newSetDomainState(a, "in NAME", "Send requests to the failure domain again", waxconfig.DomainStateIn),
	)
	return cmd
}

func newSetDomainState(a *app, use, short, state string) *cobra.Command {
	return &cobra.Command{
		Use:   use,
		Short: short,
		Args:  usageArgs(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			return a.runEdit(cmd.Context(), waxconfig.SectionFailureDomains, func(ctx context.Context, e *waxconfig.Editor) (uint64, error) {
				if err := a.checkDomain(ctx, e, args[0]); err != nil {
					return 0, err
				}
				return e.Edit(ctx, waxconfig.SectionFailureDomains, waxconfig.SetDomainState(args[0], state))
			})
		},
	}
}

// checkDomain rejects a name that is in neither the configuration nor the instance
// list: it is most likely misspelled, and the intended domain would stay in service.
// It accepts any name if the instance list is unavailable, because a domain may have
// to be taken out of service during such an outage.
//
// Errors: CodeObjectNotFound if the name is unknown.
func (a *app) checkDomain(ctx context.Context, e *waxconfig.Editor, name string) error {
	snap, err := e.Read(ctx)
	if err != nil {
		return err
	}
	doc, err := snap.Document()
	if err != nil {
		return err
	}
	if doc.HasFailureDomain(name) {
		return nil
	}
	client, err := a.newPlatformClient()
	if err != nil {
		return err
	}
	routers, servers, err := client.ListInstances(ctx)
	if err != nil {
		a.logf("cannot check the name of the failure domain: %v", err)
		return nil
	}
	for _, r := range routers {
		if r.FailureDomain() == name {
			return nil
		}
	}
	for _, b := range servers {
		if b.FailureDomain() == name {
			return nil
		}
	}
	return waxfleet.NewError(waxfleet.CodeObjectNotFound, "failure domain %q has no instance, backend server or entry in the configuration", name)
}
