package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"waxwingdrift.org/waxfleet"
)

// platform is the Object API and the instance list.
type platform interface {
	waxfleet.ObjectStore
	waxfleet.InstanceLister
}

// newPlatform returns the client that all commands use.
func newPlatform(baseURL, instance string, client *http.Client) platform {
	return newObjectClient(baseURL, instance, client)
}

// objectClient speaks the Object API, as section 14.1 of docs/design.md
// describes it, as far as this command needs it. It makes no watch calls.
type objectClient struct {
	baseURL  string
	instance string
	client   *http.Client
}

func newObjectClient(baseURL, instance string, client *http.Client) *objectClient {
	return &objectClient{baseURL: strings.TrimRight(baseURL, "/"), instance: instance, client: client}
}

type apiCall struct {
	method string
	path   string
	header http.Header
	body   []byte
}

func objectPath(kind, name string) string {
	return "/objects/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

// Get implements waxfleet.ObjectStore.
func (c *objectClient) Get(ctx context.Context, kind, name string) (waxfleet.Object, error) {
	value, version, err := c.do(ctx, apiCall{method: http.MethodGet, path: objectPath(kind, name)})
	if err != nil {
		return waxfleet.Object{}, err
	}
	return waxfleet.NewObject(kind, name, value, version), nil
}

// Put implements waxfleet.ObjectStore.
func (c *objectClient) Put(ctx context.Context, kind, name string, value []byte, version uint64) (waxfleet.Object, error) {
	header := http.Header{"If-None-Match": {"*"}}
	if version > 0 {
		header = ifMatch(version)
	}
	_, written, err := c.do(ctx, apiCall{method: http.MethodPut, path: objectPath(kind, name), header: header, body: value})
	if err != nil {
		return waxfleet.Object{}, err
	}
	if written == 0 {
		return waxfleet.Object{}, waxfleet.NewError(waxfleet.CodePlatformUnknown, "put %s/%s: answer without a version", kind, name)
	}
	return waxfleet.NewObject(kind, name, value, written), nil
}

// Delete implements waxfleet.ObjectStore.
func (c *objectClient) Delete(ctx context.Context, kind, name string, version uint64) error {
	_, _, err := c.do(ctx, apiCall{method: http.MethodDelete, path: objectPath(kind, name), header: ifMatch(version)})
	return err
}

// List implements waxfleet.ObjectStore.
func (c *objectClient) List(ctx context.Context, kind string) ([]waxfleet.Object, error) {
	raw, _, err := c.do(ctx, apiCall{method: http.MethodGet, path: "/objects/" + url.PathEscape(kind)})
	if err != nil {
		return nil, err
	}
	var answer struct {
		Objects []struct {
			Name    string `json:"name"`
			Version uint64 `json:"version"`
			Value   []byte `json:"value"`
		} `json:"objects"`
	}
	if err := json.Unmarshal(raw, &answer); err != nil {
		return nil, waxfleet.WrapError(err, waxfleet.CodePlatformUnreachable, "list %s: answer not readable", kind)
	}
	all := make([]waxfleet.Object, 0, len(answer.Objects))
	for _, o := range answer.Objects {
		all = append(all, waxfleet.NewObject(kind, o.Name, o.Value, o.Version))
	}
	return all, nil
}

// Watch implements waxfleet.ObjectStore by a read; no command waits.
func (c *objectClient) Watch(ctx context.Context, kind, name string, _ uint64) (waxfleet.Object, error) {
	return c.Get(ctx, kind, name)
}

// ListInstances implements waxfleet.InstanceLister.
func (c *objectClient) ListInstances(ctx context.Context) ([]waxfleet.Instance, []waxfleet.BackendServer, error) {
	raw, _, err := c.do(ctx, apiCall{method: http.MethodGet, path: "/instances"})
	if err != nil {
		return nil, nil, err
	}
	var answer struct {
		Routers []struct {
			ID            string         `json:"id"`
			FailureDomain string         `json:"failure-domain"`
			PeerAddress   string         `json:"peer-address"`
			State         waxfleet.State `json:"state"`
		} `json:"routers"`
		BackendServers []struct {
			ID            string         `json:"id"`
			Service       string         `json:"service"`
			FailureDomain string         `json:"failure-domain"`
			Address       string         `json:"address"`
			State         waxfleet.State `json:"state"`
		} `json:"backend-servers"`
	}
	if err := json.Unmarshal(raw, &answer); err != nil {
		return nil, nil, waxfleet.WrapError(err, waxfleet.CodePlatformUnreachable, "instance list not readable")
	}
	routers := make([]waxfleet.Instance, 0, len(answer.Routers))
	for _, r := range answer.Routers {
		routers = append(routers, waxfleet.NewInstance(r.ID, r.FailureDomain, r.PeerAddress, r.State))
	}
	servers := make([]waxfleet.BackendServer, 0, len(answer.BackendServers))
	for _, b := range answer.BackendServers {
		servers = append(servers, waxfleet.NewBackendServer(b.ID, b.Service, b.FailureDomain, b.Address, b.State))
	}
	return routers, servers, nil
}

// do makes one call and returns the body and the version of the answer. A write
// without an answer has an unknown outcome.
func (c *objectClient) do(ctx context.Context, call apiCall) ([]byte, uint64, error) {
	req, err := http.NewRequestWithContext(ctx, call.method, c.baseURL+call.path, bytes.NewReader(call.body))
	if err != nil {
		return nil, 0, waxfleet.WrapError(err, waxfleet.CodeSettingInvalid, "--%s", flagPlatform)
	}
	if call.header != nil {
		req.Header = call.header
	}
	req.Header.Set("X-Wax-Instance", c.instance)
	lost := waxfleet.CodePlatformUnreachable
	if call.method != http.MethodGet {
		lost = waxfleet.CodePlatformUnknown
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return nil, 0, waxfleet.WrapError(err, lost, "%s %s", call.method, call.path)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, 0, waxfleet.WrapError(err, lost, "%s %s", call.method, call.path)
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return nil, 0, waxfleet.NewError(statusCode(resp.StatusCode, lost), "%s %s: HTTP status %d", call.method, call.path, resp.StatusCode)
	}
	version, _ := strconv.ParseUint(strings.Trim(resp.Header.Get("ETag"), `"`), 10, 64)
	return body, version, nil
}

func statusCode(status int, lost waxfleet.Code) waxfleet.Code {
	switch status {
	case http.StatusNotFound:
		return waxfleet.CodeObjectNotFound
	case http.StatusPreconditionFailed:
		return waxfleet.CodeObjectConflict
	case http.StatusRequestEntityTooLarge:
		return waxfleet.CodeConfigTooLarge
	case http.StatusTooManyRequests:
		return waxfleet.CodePlatformRateLimited
	case http.StatusServiceUnavailable:
		return waxfleet.CodePlatformUnreachable
	}
	return lost
}

func ifMatch(version uint64) http.Header {
	return http.Header{"If-Match": {fmt.Sprintf("%q", strconv.FormatUint(version, 10))}}
}
