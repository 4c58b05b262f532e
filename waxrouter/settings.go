package main

import (
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
	"github.com/spf13/viper"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxnode"
)

const envPrefix = "WAX"

// maxDrainTimeoutMs is one day. It keeps the timeout from overflowing a duration.
const maxDrainTimeoutMs = 86_400_000

// addFlags declares the flags of serve. writeReference generates docs/settings.md
// from them.
func addFlags(f *pflag.FlagSet) {
	f.String("instance-id", "", "name of this instance in the platform's instance list")
	f.String("failure-domain", "", "failure domain that this instance runs in")
	f.String("caller-address", "127.0.0.1:8080", "ip:port for callers")
	f.String("peer-address", "127.0.0.1:8081", "ip:port for other instances")
	f.String("platform-address", "127.0.0.1:8090", "ip:port of the platform's Object API")
	f.StringSlice("seed-peers", nil, "comma-separated list of instances known at start, id=failure-domain=ip:port")
	f.Int64("progress-timeout-ms", int64(waxnode.DefaultProgressTimeout), "time without progress of a stream after which the backend server is probed, in ms")
	f.Int64("list-interval-ms", int64(waxnode.DefaultListInterval), "interval between reads of the instance list, in ms")
	f.Int("exceptions", waxnode.DefaultMaxExceptions, "maximum number of remembered chats that are placed away from their first choice")
	f.Int("records", waxnode.DefaultMaxRecords, "maximum number of requests whose decisions are kept for explain")
	f.Int("memory-mb", waxnode.DefaultMemoryMB, "memory limit of the process in MB; callers may make it hold a quarter; 0 means unlimited")
	f.Int("max-open-files", waxnode.DefaultMaxOpenFiles, "maximum number of open descriptors of the process; callers may hold half of those that are not for files; 0 means unlimited")
	f.String("log-level", "info", "minimum level of log lines: debug, info, warn or error")
	f.String("trace-file", "", "file that receives spans as JSON; - for standard output, empty to disable tracing")
	f.Int64("drain-timeout-ms", 0, "timeout of the graceful shutdown in ms; 0 means none")
}

// envName returns the environment variable of a flag.
func envName(flag string) string {
	return envPrefix + "_" + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// bindFlags reads flags and environment variables; flags take precedence.
func bindFlags(f *pflag.FlagSet) (*viper.Viper, error) {
	v := viper.New()
	v.SetEnvPrefix(envPrefix)
	v.SetEnvKeyReplacer(strings.NewReplacer("-", "_"))
	v.AutomaticEnv()
	if err := v.BindPFlags(f); err != nil {
		return nil, waxfleet.WrapError(err, waxfleet.CodeInternal, "cannot bind flags to settings")
	}
	return v, nil
}

// intSetting reads an integer setting. It does not use viper's GetInt64, which reads a
// malformed environment variable as 0.
//
// Errors: CodeSettingInvalid if the value is not an integer.
func intSetting(v *viper.Viper, flag string) (int64, error) {
	var n int64
	if _, err := fmt.Sscanf(v.GetString(flag)+"\n", "%d\n", &n); err != nil {
		return 0, waxfleet.NewError(waxfleet.CodeSettingInvalid, "--%s is %q; allowed: an integer", flag, v.GetString(flag))
	}
	return n, nil
}

// listSetting reads a comma-separated list. It joins what viper returns, because viper
// splits an environment variable at white space instead of commas.
func listSetting(v *viper.Viper, flag string) []string {
	return strings.FieldsFunc(strings.Join(v.GetStringSlice(flag), ","), func(c rune) bool { return c == ',' })
}

// drainTimeout returns the timeout of the graceful shutdown; 0 means none.
func drainTimeout(v *viper.Viper) (waxfleet.Millis, error) {
	n, err := intSetting(v, "drain-timeout-ms")
	if err != nil {
		return 0, err
	}
	if n < 0 || n > maxDrainTimeoutMs {
		return 0, waxfleet.NewError(waxfleet.CodeSettingInvalid, "--drain-timeout-ms is %q; allowed: 0 to %d", v.GetString("drain-timeout-ms"), maxDrainTimeoutMs)
	}
	return waxfleet.Millis(n), nil
}

// readSettings reads and validates the settings of the instance.
func readSettings(v *viper.Viper, traceWriter io.Writer) (waxnode.Settings, error) {
	s := waxnode.Settings{
		InstanceID:      v.GetString("instance-id"),
		FailureDomain:   v.GetString("failure-domain"),
		CallerAddress:   v.GetString("caller-address"),
		PeerAddress:     v.GetString("peer-address"),
		PlatformAddress: v.GetString("platform-address"),
		SeedPeers:       listSetting(v, "seed-peers"),
		TraceWriter:     traceWriter,
	}
	values := map[string]int64{}
	for _, flag := range []string{"progress-timeout-ms", "list-interval-ms", "exceptions", "records", "memory-mb", "max-open-files"} {
		n, err := intSetting(v, flag)
		if err != nil {
			return s, err
		}
		values[flag] = n
	}
	s.ProgressTimeout = waxfleet.Millis(values["progress-timeout-ms"])
	s.ListInterval = waxfleet.Millis(values["list-interval-ms"])
	s.MaxExceptions = int(values["exceptions"])
	s.MaxRecords = int(values["records"])
	s.MemoryMB, s.MaxOpenFiles = int(values["memory-mb"]), int(values["max-open-files"])
	return s, s.Validate()
}

func init() {
	register(&cobra.Command{
		Use: "settings", Short: "Print the settings reference as a Markdown table", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			f := pflag.NewFlagSet("serve", pflag.ContinueOnError)
			addFlags(f)
			return writeReference(cmd.OutOrStdout(), f)
		},
	})
}

// writeReference writes the content of docs/settings.md.
func writeReference(w io.Writer, f *pflag.FlagSet) error {
	if _, err := fmt.Fprint(w, "# Settings of waxrouter\n\nFlags take precedence over environment variables. If a value is invalid, the process exits at start with result code 5001 and exit code 2.\n\n| flag | environment variable | default | meaning |\n|---|---|---|---|\n"); err != nil {
		return err
	}
	var err error
	f.VisitAll(func(flag *pflag.Flag) {
		if err == nil {
			_, err = fmt.Fprintf(w, "| `--%s` | `%s` | `%s` | %s |\n", flag.Name, envName(flag.Name), flag.DefValue, flag.Usage)
		}
	})
	return err
}
