package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/url"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
	"github.com/spf13/viper"
)

// Flags of the commands that run backend servers.
const (
	flagID            = "id"
	flagFailureDomain = "failure-domain"
	flagService       = "service"
	flagPlatform      = "platform"
)

// addBackendServerFlags declares the flags that all backend servers have.
func addBackendServerFlags(cmd *cobra.Command, defaultService string) {
	cmd.Flags().String(flagID, "", "ID of the backend server")
	cmd.Flags().String(flagFailureDomain, "", "failure domain of the backend server")
	cmd.Flags().String(flagService, defaultService, "service of the backend server")
	cmd.Flags().String(flagPlatform, "", `"ip:port" of a fake platform to register the backend server with`)
}

// registration is the body of PUT /admin/instances/:id of the fake platform.
type registration struct {
	Service       string `json:"service"`
	FailureDomain string `json:"failure-domain"`
	Address       string `json:"address"`
}

// registerWithPlatform registers the backend server with the fake platform. It does
// nothing if --platform is not set.
func registerWithPlatform(ctx context.Context, settings *viper.Viper, address string) error {
	platform := settings.GetString(flagPlatform)
	if platform == "" {
		return nil
	}
	body, err := json.Marshal(registration{
		Service:       settings.GetString(flagService),
		FailureDomain: settings.GetString(flagFailureDomain),
		Address:       address,
	})
	if err != nil {
		return errors.Wrap(err, "encode registration")
	}
	target := "http://" + platform + "/admin/instances/" + url.PathEscape(settings.GetString(flagID))
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, target, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "create registration request")
	}
	response, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "register the backend server")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusNoContent {
		return errors.Newf("platform responded to the registration with %s", response.Status)
	}
	return nil
}
