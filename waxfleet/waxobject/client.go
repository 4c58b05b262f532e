// Package waxobject is a client of the platform's Object API and instance list,
// directly over HTTP or relayed by a peer.
package waxobject

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxhead"
)

const (
	// callTimeout bounds each call; a watch has its wait in addition. The platform
	// normally responds in milliseconds; after 2 s it is considered too slow.
	callTimeout = 2 * time.Second
	// watchWait is the longest wait of one watch. Together with callTimeout it is less
	// than the 30 s that a watch may take.
	watchWait = 25 * time.Second
	// maxListBytes bounds the response to a list request.
	maxListBytes = 64 << 20
	// maxIdleConns bounds the idle connections to the platform.
	maxIdleConns = 8
	// idleConnTimeout closes idle connections before middleboxes usually drop them.
	idleConnTimeout = 30 * time.Second

	headerInstance = "X-Wax-Instance"
)

// Client implements waxfleet.ObjectStore and waxfleet.InstanceLister.
type Client struct {
	baseURL    string
	instance   string
	httpClient *http.Client
	// cachedList is the latest instance list that had an ETag.
	cachedList atomic.Pointer[instanceList]
}

// instanceList is an instance list with its ETag.
type instanceList struct {
	etag    string
	raw     []byte
	routers []waxfleet.Instance
	servers []waxfleet.BackendServer
}

var (
	_ waxfleet.ObjectStore    = (*Client)(nil)
	_ waxfleet.InstanceLister = (*Client)(nil)
)

// NewClient returns a client of the platform at baseURL ("http://ip:port").
// instance identifies the caller to the platform, which counts calls per instance. If
// httpClient is nil, a new one is used.
func NewClient(baseURL, instance string, httpClient *http.Client) *Client {
	if httpClient == nil {
		httpClient = &http.Client{Transport: waxhead.NewTransport(&http.Transport{
			MaxIdleConnsPerHost: maxIdleConns,
			IdleConnTimeout:     idleConnTimeout,
			DisableCompression:  true,
		})}
	}
	return &Client{baseURL: strings.TrimSuffix(baseURL, "/"), instance: instance, httpClient: httpClient}
}

// Get implements waxfleet.ObjectStore.
func (c *Client) Get(ctx context.Context, kind, name string) (waxfleet.Object, error) {
	r, err := c.do(ctx, request{method: http.MethodGet, path: objectPath(kind, name), maxBytes: waxfleet.MaxObjectBytes, timeout: callTimeout})
	if err != nil {
		return waxfleet.Object{}, err
	}
	if r.status != http.StatusOK {
		return waxfleet.Object{}, statusError(r, false)
	}
	return readObject(kind, name, r)
}

// Put implements waxfleet.ObjectStore.
func (c *Client) Put(ctx context.Context, kind, name string, value []byte, version uint64) (waxfleet.Object, error) {
	if len(value) > waxfleet.MaxObjectBytes {
		return waxfleet.Object{}, waxfleet.NewError(waxfleet.CodeBodyTooLarge,
			"object %s/%s has %d bytes, at most %d are allowed", kind, name, len(value),
			waxfleet.MaxObjectBytes)
	}
	condition := http.Header{"If-Match": {etag(version)}}
	if version == 0 {
		condition = http.Header{"If-None-Match": {"*"}}
	}
	r, err := c.do(ctx, request{
		method:  http.MethodPut,
		path:    objectPath(kind, name),
		header:  condition,
		body:    value,
		write:   true,
		timeout: callTimeout,
	})
	if err != nil {
		return waxfleet.Object{}, err
	}
	if r.status != http.StatusOK {
		return waxfleet.Object{}, statusError(r, true)
	}
	written, err := parseETag(r.header.Get("ETag"))
	if err != nil {
		return waxfleet.Object{}, waxfleet.WrapError(err, waxfleet.CodePlatformUnknown,
			"the platform's response to a write of %s/%s has no valid version", kind, name)
	}
	return waxfleet.NewObject(kind, name, value, written), nil
}

// Delete implements waxfleet.ObjectStore.
func (c *Client) Delete(ctx context.Context, kind, name string, version uint64) error {
	condition := http.Header{"If-Match": {etag(version)}}
	r, err := c.do(ctx, request{
		method:  http.MethodDelete,
		path:    objectPath(kind, name),
		header:  condition,
		write:   true,
		timeout: callTimeout,
	})
	if err != nil {
		return err
	}
	if r.status != http.StatusNoContent && r.status != http.StatusOK {
		return statusError(r, true)
	}
	return nil
}

type listResponse struct {
	Objects []struct {
		Name    string `json:"name"`
		Version uint64 `json:"version"`
		Value   []byte `json:"value"`
	} `json:"objects"`
}

// List implements waxfleet.ObjectStore.
func (c *Client) List(ctx context.Context, kind string) ([]waxfleet.Object, error) {
	r, err := c.do(ctx, request{method: http.MethodGet, path: "/objects/" + url.PathEscape(kind), maxBytes: maxListBytes, timeout: callTimeout})
	if err != nil {
		return nil, err
	}
	if r.status != http.StatusOK {
		return nil, statusError(r, false)
	}
	var list listResponse
	if err := json.Unmarshal(r.body, &list); err != nil {
		return nil, waxfleet.WrapError(err, waxfleet.CodePlatformUnreachable, "the platform's list of %s is invalid", kind)
	}
	objects := make([]waxfleet.Object, 0, len(list.Objects))
	for _, o := range list.Objects {
		objects = append(objects, waxfleet.NewObject(kind, o.Name, o.Value, o.Version))
	}
	return objects, nil
}

// Watch implements waxfleet.ObjectStore. When the wait ends without a newer
// version, it returns the current object, or CodeObjectNotFound if there is none.
func (c *Client) Watch(ctx context.Context, kind, name string, after uint64) (waxfleet.Object, error) {
	query := url.Values{
		"after":   {strconv.FormatUint(after, 10)},
		"wait-ms": {strconv.FormatInt(watchWait.Milliseconds(), 10)},
	}
	r, err := c.do(ctx, request{
		method:   http.MethodGet,
		path:     objectPath(kind, name) + "?" + query.Encode(),
		maxBytes: waxfleet.MaxObjectBytes,
		timeout:  watchWait + callTimeout,
	})
	if err != nil {
		return waxfleet.Object{}, err
	}
	switch {
	case r.status == http.StatusOK:
		return readObject(kind, name, r)
	case r.status != http.StatusNotModified:
		return waxfleet.Object{}, statusError(r, false)
	case after == 0:
		return waxfleet.Object{}, waxfleet.NewError(waxfleet.CodeObjectNotFound, "%s/%s does not exist", kind, name)
	default:
		return c.Get(ctx, kind, name)
	}
}

type instancesResponse struct {
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

// ListInstances implements waxfleet.InstanceLister. It uses a conditional
// request, because the list of the target fleet has 300 KB and each instance
// reads it once a second.
func (c *Client) ListInstances(ctx context.Context) ([]waxfleet.Instance, []waxfleet.BackendServer, error) {
	list, err := c.fetchInstances(ctx)
	if err != nil {
		return nil, nil, err
	}
	return slices.Clone(list.routers), slices.Clone(list.servers), nil
}

func (c *Client) rawInstances(ctx context.Context) ([]byte, error) {
	list, err := c.fetchInstances(ctx)
	if err != nil {
		return nil, err
	}
	return list.raw, nil
}

func (c *Client) fetchInstances(ctx context.Context) (*instanceList, error) {
	known := c.cachedList.Load()
	header := http.Header{}
	if known != nil {
		header.Set("If-None-Match", known.etag)
	}
	r, err := c.do(ctx, request{
		method:   http.MethodGet,
		path:     "/instances",
		header:   header,
		maxBytes: maxListBytes,
		timeout:  callTimeout,
	})
	if err != nil {
		return nil, err
	}
	if r.status == http.StatusNotModified && known != nil {
		return known, nil
	}
	if r.status != http.StatusOK {
		return nil, statusError(r, false)
	}
	routers, servers, err := parseInstances(r.body)
	if err != nil {
		return nil, err
	}
	list := &instanceList{etag: r.header.Get("ETag"), raw: r.body, routers: routers, servers: servers}
	if list.etag != "" {
		c.cachedList.Store(list)
	}
	return list, nil
}

func parseInstances(raw []byte) ([]waxfleet.Instance, []waxfleet.BackendServer, error) {
	var list instancesResponse
	if err := json.Unmarshal(raw, &list); err != nil {
		return nil, nil, waxfleet.WrapError(err, waxfleet.CodePlatformUnreachable, "the platform's instance list is invalid")
	}
	routers, servers := list.instances()
	return routers, servers, nil
}

func (resp instancesResponse) instances() ([]waxfleet.Instance, []waxfleet.BackendServer) {
	routers := make([]waxfleet.Instance, 0, len(resp.Routers))
	for _, r := range resp.Routers {
		routers = append(routers, waxfleet.NewInstance(r.ID, r.FailureDomain, r.PeerAddress, r.State))
	}
	servers := make([]waxfleet.BackendServer, 0, len(resp.BackendServers))
	for _, b := range resp.BackendServers {
		servers = append(servers, waxfleet.NewBackendServer(b.ID, b.Service, b.FailureDomain, b.Address, b.State))
	}
	return routers, servers
}

// request is one call of the platform's HTTP API. maxBytes bounds the response body;
// write is set if the call changes an object.
type request struct {
	method   string
	path     string
	header   http.Header
	body     []byte
	write    bool
	maxBytes int64
	timeout  time.Duration
}

type response struct {
	status int
	header http.Header
	body   []byte
}

// do makes one HTTP call. A write that fails after a connection was available to send
// it on returns CodePlatformUnknown.
func (c *Client) do(ctx context.Context, call request) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, call.timeout)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		// net/http retries a write only if none of it was written, so each attempt
		// starts as not sent.
		GetConn: func(string) { connected.Store(false) },
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, call.method, c.baseURL+call.path, bytes.NewReader(call.body))
	if err != nil {
		return response{}, waxfleet.WrapError(err, waxfleet.CodePlatformUnreachable, "the platform's address is invalid")
	}
	for name, values := range call.header {
		req.Header[name] = values
	}
	req.Header.Set(headerInstance, c.instance)
	resp, err := c.httpClient.Do(req)
	if err != nil {
		c.closeIdleAfterTimeout(ctx)
		if call.write && connected.Load() {
			return response{}, waxfleet.WrapError(err, waxfleet.CodePlatformUnknown, "the platform did not respond to a write")
		}
		return response{}, waxfleet.WrapError(err, waxfleet.CodePlatformUnreachable, "the platform did not respond")
	}
	defer func() { _ = resp.Body.Close() }()
	r := response{status: resp.StatusCode, header: resp.Header}
	if call.write {
		// Status and ETag give the result of a write. The body is read only so that
		// the connection can be reused, and may be cut off, but not malformed.
		if _, err := io.CopyN(io.Discard, resp.Body, waxfleet.MaxObjectBytes); waxfleet.CodeOf(err) == waxfleet.CodeAnswerMismatch {
			return response{}, waxfleet.WrapError(err, waxfleet.CodePlatformUnknown, "the platform's response to a write is malformed")
		}
		return r, nil
	}
	r.body, err = io.ReadAll(io.LimitReader(resp.Body, call.maxBytes+1))
	if err != nil {
		c.closeIdleAfterTimeout(ctx)
		return response{}, waxfleet.WrapError(err, waxfleet.CodePlatformUnreachable, "the platform's response was incomplete")
	}
	if int64(len(r.body)) > call.maxBytes {
		return response{}, waxfleet.NewError(waxfleet.CodePlatformUnreachable, "the platform's response exceeds %d bytes", call.maxBytes)
	}
	return r, nil
}

// closeIdleAfterTimeout closes the idle connections after a timeout, because
// each stalled connection would cost another timeout.
func (c *Client) closeIdleAfterTimeout(ctx context.Context) {
	if ctx.Err() != nil {
		c.httpClient.CloseIdleConnections()
	}
}

func statusError(r response, write bool) error {
	switch r.status {
	case http.StatusNotFound:
		return waxfleet.NewError(waxfleet.CodeObjectNotFound, "the object does not exist")
	case http.StatusPreconditionFailed:
		return waxfleet.NewError(waxfleet.CodeObjectConflict, "the object has another version")
	case http.StatusTooManyRequests:
		return waxfleet.NewError(waxfleet.CodePlatformRateLimited, "the platform limited the request rate")
	case http.StatusRequestEntityTooLarge:
		return waxfleet.NewError(waxfleet.CodeBodyTooLarge, "the platform rejected the object as too large")
	case http.StatusServiceUnavailable:
		return waxfleet.NewError(waxfleet.CodePlatformUnreachable, "the platform is unavailable")
	}
	// Only 503 guarantees that nothing was written; other server errors may come
	// from a proxy that had forwarded the write.
	if write && r.status >= http.StatusInternalServerError {
		return waxfleet.NewError(waxfleet.CodePlatformUnknown, "the platform responded to a write with status %d", r.status)
	}
	return waxfleet.NewError(waxfleet.CodePlatformUnreachable, "the platform responded with status %d", r.status)
}

func readObject(kind, name string, r response) (waxfleet.Object, error) {
	version, err := parseETag(r.header.Get("ETag"))
	if err != nil {
		return waxfleet.Object{}, waxfleet.WrapError(err, waxfleet.CodePlatformUnreachable,
			"the platform's response for %s/%s has no valid version", kind, name)
	}
	return waxfleet.NewObject(kind, name, r.body, version), nil
}

func objectPath(kind, name string) string {
	return "/objects/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

func etag(version uint64) string { return fmt.Sprintf("%q", strconv.FormatUint(version, 10)) }

func parseETag(tag string) (uint64, error) {
	return strconv.ParseUint(strings.Trim(tag, `"`), 10, 64)
}
