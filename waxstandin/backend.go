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

// Flags that the commands of backend servers have.
const (
	flagID            = "id"
	flagFailureDomain = "failure-domain"
	flagService       = "service"
	flagPlatform      = "platform"
)

func addBackendFlags(cmd *cobra.Command, service string) {
	cmd.Flags().String(flagID, "", "id of the backend server")
	cmd.Flags().String(flagFailureDomain, "", "failure domain of the backend server")
	cmd.Flags().String(flagService, service, "service that the backend server belongs to")
	cmd.Flags().String(flagPlatform, "", `"ip:port" of a stand-in platform to list the backend server at`)
}

type listing struct {
	Service       string `json:"service"`
	FailureDomain string `json:"failure-domain"`
	Address       string `json:"address"`
}

// list registers the backend server with the stand-in platform, if one is set.
func list(ctx context.Context, settings *viper.Viper, address string) error {
	platform := settings.GetString(flagPlatform)
	if platform == "" {
		return nil
	}
	body, err := json.Marshal(listing{
		Service:       settings.GetString(flagService),
		FailureDomain: settings.GetString(flagFailureDomain),
		Address:       address,
	})
	if err != nil {
		return errors.Wrap(err, "encode the listing")
	}
	target := "http://" + platform + "/admin/instances/" + url.PathEscape(settings.GetString(flagID))
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, target, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "platform address")
	}
	answer, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "list the backend server")
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusNoContent {
		return errors.Newf("the platform answered %s to the listing", answer.Status)
	}
	return nil
}
