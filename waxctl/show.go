package main

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxconfig"
)

func init() { register(newShow) }

func newShow(a *app) *cobra.Command {
	return &cobra.Command{
		Use:       "show [SECTION]",
		Short:     "Show the current configuration",
		Args:      usageArgs(cobra.MaximumNArgs(1)),
		ValidArgs: waxconfig.Sections(),
		RunE: func(cmd *cobra.Command, args []string) error {
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
			if len(args) == 1 {
				return a.showSection(snap, args[0])
			}
			return a.showAll(snap)
		},
	}
}

// showSection writes the section as JSON in either output format, so that it can be
// modified and passed to edit. It writes the version to standard error.
func (a *app) showSection(snap waxconfig.Snapshot, name string) error {
	raw, ok := snap.Section(name)
	if !ok {
		return waxfleet.NewError(waxfleet.CodeConfigUnknownSection, "section %q; allowed: one of %v", name, waxconfig.Sections())
	}
	text, err := indentJSON(raw)
	if err != nil {
		return err
	}
	a.logf("version %d, revision %d", snap.Version(), snap.Revision(name))
	_, err = fmt.Fprint(a.out, text)
	return err
}

func (a *app) showAll(snap waxconfig.Snapshot) error {
	document := map[string]json.RawMessage{}
	for _, name := range waxconfig.Sections() {
		raw, _ := snap.Section(name)
		document[name] = raw
	}
	a.logf("version %d", snap.Version())
	return a.emit(document, func(w io.Writer) {
		writeRow(w, "SECTION", "REVISION", "BYTES", "DIGEST")
		for _, name := range waxconfig.Sections() {
			writeRow(w, name, snap.Revision(name), len(document[name]), snap.Digest(name)[:12])
		}
	})
}
