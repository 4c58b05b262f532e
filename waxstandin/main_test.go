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

// TestCommandsRegister guards against a missing command and one without the common
// flags.
func TestCommandsRegister(t *testing.T) {
	is := is.New(t)
	for _, name := range []string{"platform", "engine", "service"} {
		cmd, _, err := rootCommand.Find([]string{name})
		is.NoErr(err)
		is.Equal(cmd.Name(), name)
		is.True(cmd.Flags().Lookup(flagAddress) != nil)
	}
}

// TestEngineSettingsAndListing guards against an engine that ignores settings from the
// environment or doesn't register with the platform.
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
	settings, err := loadSettings(cmd)
	is.NoErr(err)
	address, err := startEngine(ctx, settings)
	is.NoErr(err)
	instances := p.Instances()
	is.Equal(len(instances.BackendServers), 1)
	is.Equal(instances.BackendServers[0], waxplatform.BackendServer{
		ID:            "e1",
		Service:       "engine",
		FailureDomain: "bkk-a",
		Address:       address,
		State:         waxfleet.StateLive,
	})
	response, err := http.Get("http://" + address + "/healthz")
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	is.Equal(response.StatusCode, http.StatusOK)
}

// TestStartFails guards against a server that can't listen but reports success.
func TestStartFails(t *testing.T) {
	is := is.New(t)
	settings := viper.New()
	settings.Set(flagAddress, "not-an-address")
	err := serve(context.Background(), "service", settings, startService)
	is.Equal(waxfleet.CodeOf(err), waxfleet.CodeSettingInvalid)
}
