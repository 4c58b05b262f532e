package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"
	"github.com/spf13/viper"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxconfig"
	"waxwingdrift.org/waxfleet/waxobject"
)

const (
	flagPlatform  = "platform"
	flagOutput    = "output"
	flagTimeoutMs = "timeout-ms"

	outputTable = "table"
	outputJSON  = "json"

	defaultTimeoutMs = 10_000

	// clientName identifies waxctl in its requests to the platform.
	clientName = "waxctl"
)

// app holds the settings, the standard streams and the clock that all commands share.
type app struct {
	settings *viper.Viper
	in       io.Reader
	out      io.Writer
	errOut   io.Writer
	clock    *waxfleet.Clock
}

// commands holds the command constructors that init functions register.
var commands []func(*app) *cobra.Command

func register(c func(*app) *cobra.Command) { commands = append(commands, c) }

// run executes a command line and returns its exit code.
func run(ctx context.Context, args []string, in io.Reader, out, errOut io.Writer) int {
	a := &app{
		settings: viper.New(),
		in:       in,
		out:      out,
		errOut:   errOut,
		clock:    waxfleet.NewClock(),
	}
	root := newRoot(a)
	root.SetArgs(args)
	root.SetIn(in)
	root.SetOut(out)
	root.SetErr(errOut)
	err := root.ExecuteContext(ctx)
	if err != nil {
		a.logf("waxctl: %v", err)
	}
	return exitCode(err)
}

func newRoot(a *app) *cobra.Command {
	root := &cobra.Command{
		Use:               "waxctl",
		Short:             "Operate a waxwingdrift router fleet",
		SilenceUsage:      true,
		SilenceErrors:     true,
		CompletionOptions: cobra.CompletionOptions{DisableDefaultCmd: true},
		Args:              usageArgs(cobra.NoArgs),
		RunE:              func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
		PersistentPreRunE: func(*cobra.Command, []string) error { return a.validateSettings() },
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return newUsageError(err) })
	flags := root.PersistentFlags()
	flags.String(flagPlatform, "", "base URL of the platform's Object API (WAX_PLATFORM)")
	flags.String(flagOutput, outputTable, "output format: table or json (WAX_OUTPUT)")
	flags.Int64(flagTimeoutMs, defaultTimeoutMs, "timeout of the command in ms (WAX_TIMEOUT_MS)")
	a.settings.SetEnvPrefix("WAX")
	a.settings.SetEnvKeyReplacer(strings.NewReplacer("-", "_"))
	a.settings.AutomaticEnv()
	for _, name := range []string{flagPlatform, flagOutput, flagTimeoutMs} {
		if err := a.settings.BindPFlag(name, flags.Lookup(name)); err != nil {
			panic(err) // fails only if the flag is missing
		}
	}
	for _, newCommand := range commands {
		root.AddCommand(newCommand(a))
	}
	return root
}

// validateSettings checks the flags of all commands except --platform, which not every
// command needs.
func (a *app) validateSettings() error {
	if o := a.settings.GetString(flagOutput); o != outputTable && o != outputJSON {
		return waxfleet.NewError(waxfleet.CodeSettingInvalid, "--%s: value %q; allowed: %s or %s", flagOutput, o, outputTable, outputJSON)
	}
	if a.settings.GetInt64(flagTimeoutMs) <= 0 {
		return waxfleet.NewError(waxfleet.CodeSettingInvalid,
			"--%s: value %q; allowed: a positive integer", flagTimeoutMs, a.settings.GetString(flagTimeoutMs))
	}
	return nil
}

func (a *app) wantsJSON() bool { return a.settings.GetString(flagOutput) == outputJSON }

// withTimeout returns a context that ends after the timeout of the command.
func (a *app) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, time.Duration(a.settings.GetInt64(flagTimeoutMs))*time.Millisecond)
}

// newPlatformClient returns a client for the platform's Object API and
// instance list.
//
// Errors: CodeSettingInvalid if --platform is not set or not a valid URL.
func (a *app) newPlatformClient() (*waxobject.Client, error) {
	address := a.settings.GetString(flagPlatform)
	if address == "" {
		return nil, waxfleet.NewError(waxfleet.CodeSettingInvalid, "--%s: no value; allowed: the base URL of the Object API", flagPlatform)
	}
	base := address
	if !strings.Contains(base, "://") {
		base = "http://" + base
	}
	if u, err := url.Parse(base); err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return nil, waxfleet.NewError(waxfleet.CodeSettingInvalid, "--%s: value %q; allowed: an http or https URL", flagPlatform, address)
	}
	return waxobject.NewClient(base, clientName, nil), nil
}

func (a *app) newEditor() (*waxconfig.Editor, error) {
	client, err := a.newPlatformClient()
	if err != nil {
		return nil, err
	}
	log := slog.New(slog.NewJSONHandler(a.errOut, &slog.HandlerOptions{Level: slog.LevelWarn}))
	return waxconfig.NewEditor(client, a.clock, log), nil
}

// runEdit applies an edit and writes the configuration version that includes it.
func (a *app) runEdit(ctx context.Context, section string, edit func(context.Context, *waxconfig.Editor) (uint64, error)) error {
	e, err := a.newEditor()
	if err != nil {
		return err
	}
	ctx, cancel := a.withTimeout(ctx)
	defer cancel()
	version, err := edit(ctx, e)
	if err != nil {
		return a.writeConflict(err)
	}
	return a.emit(editReport{Section: section, Version: version}, func(w io.Writer) {
		writeRow(w, "SECTION", "VERSION")
		writeRow(w, section, version)
	})
}

type editReport struct {
	Section string `json:"section"`
	Version uint64 `json:"version"`
}

// readFile returns the content of a file, or of standard input for -.
//
// Errors: CodeObjectNotFound if the file does not exist.
func (a *app) readFile(name string) ([]byte, error) {
	var raw []byte
	var err error
	if name == "-" {
		raw, err = io.ReadAll(a.in)
	} else {
		raw, err = os.ReadFile(name)
	}
	if os.IsNotExist(err) {
		return nil, waxfleet.NewError(waxfleet.CodeObjectNotFound, "file %s", name)
	}
	return raw, err
}

// logf writes a line to standard error, so that it does not mix with the output of the
// command.
func (a *app) logf(format string, args ...any) {
	_, _ = fmt.Fprintf(a.errOut, format+"\n", args...)
}
