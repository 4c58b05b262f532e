package main

import (
	"context"
	"net/http"
	"testing"

	"github.com/matryer/is"
	"github.com/spf13/viper"
	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxstandin/waxplatform"
)

// Guards against a command that is not registered or lacks the common flags.
func TestCommandsRegister(t *testing.T) {
	is := is.New(t)
	for _, name := range []string{"platform", "engine", "service"} {
		cmd, _, err := rootCommand.Find([]string{name})
		is.NoErr(err)
		is.Equal(cmd.Name(), name)
		is.True(cmd.Flags().Lookup(flagAddress) != nil)
	}
}

// Guards against an engine whose settings from the environment are ignored and
// one that is never listed at the platform.
func TestEngineSettingsAndListing(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	p, err := waxplatform.New(ctx, waxplatform.Options{})
	is.NoErr(err)
	t.Setenv("WAX_PLATFORM", p.Address())
	t.Setenv("WAX_ID", "e1")
	t.Setenv("WAX_FAILURE_DOMAIN", "bkk-a")
	cmd, _, err := rootCommand.Find([]string{"engine"})
	is.NoErr(err)
	settings, err := settingsOf(cmd)
	is.NoErr(err)
	listed, err := startEngine(ctx, settings)
	is.NoErr(err)
	instances := p.Instances()
	is.Equal(len(instances.BackendServers), 1)
	is.Equal(instances.BackendServers[0], waxplatform.BackendServer{
		ID: "e1", Service: "engine", FailureDomain: "bkk-a", Address: listed, State: waxfleet.StateLive,
	})
	answer, err := http.Get("http://" + listed + "/healthz")
	is.NoErr(err)
	is.NoErr(answer.Body.Close())
	is.Equal(answer.StatusCode, http.StatusOK)
}

// Guards against a stand-in that can't listen but reports success.
func TestStartFails(t *testing.T) {
	is := is.New(t)
	settings := viper.New()
	settings.Set(flagAddress, "not-an-address")
	err := serve(context.Background(), "service", settings, startService)
	is.Equal(waxfleet.CodeOf(err), waxfleet.CodeSettingInvalid)
}
