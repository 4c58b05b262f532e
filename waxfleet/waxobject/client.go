// Package waxobject speaks the HTTP protocol of the platform's Object API and
// instance list.
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
)

const (
	// callTimeout bounds each call, and a watch beyond its wait. The platform
	// answers in milliseconds; after 2 s it counts as slow.
	callTimeout = 2 * time.Second
	// watchWait is the longest wait of one watch. It leaves room for the time-out
	// within the 30 s that a watch may take.
	watchWait = 25 * time.Second
	// maxListBytes bounds the answer to a list, in bytes.
	maxListBytes = 64 << 20
	// maxIdleConnections is the number of idle connections kept to the platform.
	maxIdleConnections = 8
	// idleTimeout closes idle connections before usual middleboxes drop them.
	idleTimeout = 30 * time.Second

	headerInstance = "X-Wax-Instance"
)

// Client implements waxfleet.ObjectStore and waxfleet.InstanceLister.
type Client struct {
	baseURL  string
	instance string
	client   *http.Client
	// list is the newest instance list that came with an ETag.
	list atomic.Pointer[instanceList]
}

// instanceList is an instance list as the platform tagged it.
type instanceList struct {
	tag     string
	raw     []byte
	routers []waxfleet.Instance
	servers []waxfleet.BackendServer
}

var (
	_ waxfleet.ObjectStore    = (*Client)(nil)
	_ waxfleet.InstanceLister = (*Client)(nil)
)

// NewClient returns a client of the platform at baseURL ("http://ip:port").
// instance is the name that the platform counts the calls under. A nil client
// stands for one with its own connections.
func NewClient(baseURL, instance string, client *http.Client) *Client {
	if client == nil {
		client = &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: maxIdleConnections,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
		}}
	}
	return &Client{baseURL: strings.TrimSuffix(baseURL, "/"), instance: instance, client: client}
}

// Get implements waxfleet.ObjectStore.
func (c *Client) Get(ctx context.Context, kind, name string) (waxfleet.Object, error) {
	a, err := c.call(ctx, call{method: http.MethodGet, path: objectPath(kind, name), maxBytes: waxfleet.MaxObjectBytes, timeout: callTimeout})
	if err != nil {
		return waxfleet.Object{}, err
	}
	if a.status != http.StatusOK {
		return waxfleet.Object{}, statusError(a, false)
	}
	return readObject(kind, name, a)
}

// Put implements waxfleet.ObjectStore.
func (c *Client) Put(ctx context.Context, kind, name string, value []byte, version uint64) (waxfleet.Object, error) {
	if len(value) > waxfleet.MaxObjectBytes {
		return waxfleet.Object{}, waxfleet.NewError(waxfleet.CodeBodyTooLarge, "object %s/%s has %d bytes, at most %d are allowed", kind, name, len(value), waxfleet.MaxObjectBytes)
	}
	condition := http.Header{"If-Match": {etag(version)}}
	if version == 0 {
		condition = http.Header{"If-None-Match": {"*"}}
	}
	a, err := c.call(ctx, call{method: http.MethodPut, path: objectPath(kind, name), header: condition, body: value, write: true, timeout: callTimeout})
	if err != nil {
		return waxfleet.Object{}, err
	}
	if a.status != http.StatusOK {
		return waxfleet.Object{}, statusError(a, true)
	}
	written, err := parseETag(a.header.Get("ETag"))
	if err != nil {
		return waxfleet.Object{}, waxfleet.WrapError(err, waxfleet.CodePlatformUnknown, "the platform accepted a write of %s/%s without a version", kind, name)
	}
	return waxfleet.NewObject(kind, name, value, written), nil
}

// Delete implements waxfleet.ObjectStore.
func (c *Client) Delete(ctx context.Context, kind, name string, version uint64) error {
	condition := http.Header{"If-Match": {etag(version)}}
	a, err := c.call(ctx, call{method: http.MethodDelete, path: objectPath(kind, name), header: condition, write: true, timeout: callTimeout})
	if err != nil {
		return err
	}
	if a.status != http.StatusNoContent && a.status != http.StatusOK {
		return statusError(a, true)
	}
	return nil
}

type listAnswer struct {
	Objects []struct {
		Name    string `json:"name"`
		Version uint64 `json:"version"`
		Value   []byte `json:"value"`
	} `json:"objects"`
}

// List implements waxfleet.ObjectStore.
func (c *Client) List(ctx context.Context, kind string) ([]waxfleet.Object, error) {
	a, err := c.call(ctx, call{method: http.MethodGet, path: "/objects/" + url.PathEscape(kind), maxBytes: maxListBytes, timeout: callTimeout})
	if err != nil {
		return nil, err
	}
	if a.status != http.StatusOK {
		return nil, statusError(a, false)
	}
	var list listAnswer
	if err := json.Unmarshal(a.body, &list); err != nil {
		return nil, waxfleet.WrapError(err, waxfleet.CodePlatformUnreachable, "the platform's list of %s is malformed", kind)
	}
	objects := make([]waxfleet.Object, 0, len(list.Objects))
	for _, o := range list.Objects {
		objects = append(objects, waxfleet.NewObject(kind, o.Name, o.Value, o.Version))
	}
	return objects, nil
}

// Watch implements waxfleet.ObjectStore. When the wait passes without a newer
// version it reads the object, and the version of the answer is not above
// after.
func (c *Client) Watch(ctx context.Context, kind, name string, after uint64) (waxfleet.Object, error) {
	query := url.Values{
		"after":   {strconv.FormatUint(after, 10)},
		"wait-ms": {strconv.FormatInt(watchWait.Milliseconds(), 10)},
	}
	a, err := c.call(ctx, call{
		method:   http.MethodGet,
		path:     objectPath(kind, name) + "?" + query.Encode(),
		maxBytes: waxfleet.MaxObjectBytes,
		timeout:  watchWait + callTimeout,
	})
	if err != nil {
		return waxfleet.Object{}, err
	}
	switch {
	case a.status == http.StatusOK:
		return readObject(kind, name, a)
	case a.status != http.StatusNotModified:
		return waxfleet.Object{}, statusError(a, false)
	case after == 0:
		return waxfleet.Object{}, waxfleet.NewError(waxfleet.CodeObjectNotFound, "%s/%s does not exist", kind, name)
	default:
		return c.Get(ctx, kind, name)
	}
}

type instancesAnswer struct {
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

// ListInstances implements waxfleet.InstanceLister. The platform sends the list
// only when it differs from the last one: in full, the list of the target fleet
// takes 300 KB, at one read a second and instance.
func (c *Client) ListInstances(ctx context.Context) ([]waxfleet.Instance, []waxfleet.BackendServer, error) {
	list, err := c.readList(ctx)
	if err != nil {
		return nil, nil, err
	}
	return slices.Clone(list.routers), slices.Clone(list.servers), nil
}

func (c *Client) rawInstances(ctx context.Context) ([]byte, error) {
	list, err := c.readList(ctx)
	if err != nil {
		return nil, err
	}
	return list.raw, nil
}

func (c *Client) readList(ctx context.Context) (*instanceList, error) {
	known := c.list.Load()
	header := http.Header{}
	if known != nil {
		header.Set("If-None-Match", known.tag)
	}
	a, err := c.call(ctx, call{method: http.MethodGet, path: "/instances", header: header, maxBytes: maxListBytes, timeout: callTimeout})
	if err != nil {
		return nil, err
	}
	if a.status == http.StatusNotModified && known != nil {
		return known, nil
	}
	if a.status != http.StatusOK {
		return nil, statusError(a, false)
	}
	routers, servers, err := parseInstances(a.body)
	if err != nil {
		return nil, err
	}
	list := &instanceList{tag: a.header.Get("ETag"), raw: a.body, routers: routers, servers: servers}
	if list.tag != "" {
		c.list.Store(list)
	}
	return list, nil
}

func parseInstances(raw []byte) ([]waxfleet.Instance, []waxfleet.BackendServer, error) {
	var list instancesAnswer
	if err := json.Unmarshal(raw, &list); err != nil {
		return nil, nil, waxfleet.WrapError(err, waxfleet.CodePlatformUnreachable, "the platform's instance list is malformed")
	}
	routers, servers := list.instances()
	return routers, servers, nil
}

func (a instancesAnswer) instances() ([]waxfleet.Instance, []waxfleet.BackendServer) {
	routers := make([]waxfleet.Instance, 0, len(a.Routers))
	for _, r := range a.Routers {
		routers = append(routers, waxfleet.NewInstance(r.ID, r.FailureDomain, r.PeerAddress, r.State))
	}
	servers := make([]waxfleet.BackendServer, 0, len(a.BackendServers))
	for _, b := range a.BackendServers {
		servers = append(servers, waxfleet.NewBackendServer(b.ID, b.Service, b.FailureDomain, b.Address, b.State))
	}
	return routers, servers
}

type call struct {
	method   string
	path     string
	header   http.Header
	body     []byte
	write    bool
	maxBytes int64
	timeout  time.Duration
}

type answer struct {
	status int
	header http.Header
	body   []byte
}

// call makes one HTTP call. The error of a write is CodePlatformUnknown as soon
// as a connection was there to send it on.
func (c *Client) call(ctx context.Context, p call) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		// net/http sends a write again only when nothing of it was written, so
		// each new attempt starts unsent.
		GetConn: func(string) { connected.Store(false) },
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, p.method, c.baseURL+p.path, bytes.NewReader(p.body))
	if err != nil {
		return answer{}, waxfleet.WrapError(err, waxfleet.CodePlatformUnreachable, "the platform's address is malformed")
	}
	for name, values := range p.header {
		req.Header[name] = values
	}
	req.Header.Set(headerInstance, c.instance)
	resp, err := c.client.Do(req)
	if err != nil {
		c.afterFailure(ctx)
		if p.write && connected.Load() {
			return answer{}, waxfleet.WrapError(err, waxfleet.CodePlatformUnknown, "a write to the platform got no answer")
		}
		return answer{}, waxfleet.WrapError(err, waxfleet.CodePlatformUnreachable, "the platform did not answer")
	}
	defer func() { _ = resp.Body.Close() }()
	a := answer{status: resp.StatusCode, header: resp.Header}
	if p.write {
		// Status and ETag decide a write; its body is only drained for reuse.
		_, _ = io.CopyN(io.Discard, resp.Body, waxfleet.MaxObjectBytes)
		return a, nil
	}
	a.body, err = io.ReadAll(io.LimitReader(resp.Body, p.maxBytes+1))
	if err != nil {
		c.afterFailure(ctx)
		return answer{}, waxfleet.WrapError(err, waxfleet.CodePlatformUnreachable, "the platform's answer broke off")
	}
	if int64(len(a.body)) > p.maxBytes {
		return answer{}, waxfleet.NewError(waxfleet.CodePlatformUnreachable, "the platform's answer exceeds %d bytes", p.maxBytes)
	}
	return a, nil
}

// afterFailure drops the idle connections after a time-out, because connections
// that went silent would each cost another time-out.
func (c *Client) afterFailure(ctx context.Context) {
	if ctx.Err() != nil {
		c.client.CloseIdleConnections()
	}
}

func statusError(a answer, write bool) error {
	switch a.status {
	case http.StatusNotFound:
		return waxfleet.NewError(waxfleet.CodeObjectNotFound, "the object does not exist")
	case http.StatusPreconditionFailed:
		return waxfleet.NewError(waxfleet.CodeObjectConflict, "the object has another version")
	case http.StatusTooManyRequests:
		return waxfleet.NewError(waxfleet.CodePlatformRateLimited, "the platform limits the rate of calls")
	case http.StatusRequestEntityTooLarge:
		return waxfleet.NewError(waxfleet.CodeBodyTooLarge, "the platform refused the size of the object")
	case http.StatusServiceUnavailable:
		return waxfleet.NewError(waxfleet.CodePlatformUnreachable, "the platform is out of service")
	}
	// Only 503 promises that nothing was written; other server errors may come
	// from a proxy that had passed the write on.
	if write && a.status >= http.StatusInternalServerError {
		return waxfleet.NewError(waxfleet.CodePlatformUnknown, "the platform answered a write with status %d", a.status)
	}
	return waxfleet.NewError(waxfleet.CodePlatformUnreachable, "the platform answered with status %d", a.status)
}

func readObject(kind, name string, a answer) (waxfleet.Object, error) {
	version, err := parseETag(a.header.Get("ETag"))
	if err != nil {
		return waxfleet.Object{}, waxfleet.WrapError(err, waxfleet.CodePlatformUnreachable, "the platform's answer for %s/%s has no version", kind, name)
	}
	return waxfleet.NewObject(kind, name, a.body, version), nil
}

func objectPath(kind, name string) string {
	return "/objects/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

func etag(version uint64) string { return fmt.Sprintf("%q", strconv.FormatUint(version, 10)) }

func parseETag(tag string) (uint64, error) {
	return strconv.ParseUint(strings.Trim(tag, `"`), 10, 64)
}
