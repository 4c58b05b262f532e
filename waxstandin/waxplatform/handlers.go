package waxplatform

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"
	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxstandin/internal/waxserve"
)

const (
	headerInstance = "X-Wax-Instance"

	// maxWatchTimeout bounds the timeout of a watch, whatever the client requests.
	maxWatchTimeout waxfleet.Millis = 60_000

	// etagDigestBytes is the length of the ETag of the instance list, a truncated
	// SHA-256.
	etagDigestBytes = 16
)

func (p *Platform) handler() http.Handler {
	e := echo.New()
	api := e.Group("", p.faultMiddleware)
	api.GET("/objects/:kind", p.listObjects)
	api.GET("/objects/:kind/*", p.getObject)
	api.PUT("/objects/:kind/*", p.putObject)
	api.DELETE("/objects/:kind/*", p.deleteObject)
	api.GET("/instances", p.listInstances)
	admin := e.Group("/admin", waxserve.AdminMiddleware)
	admin.PUT("/faults", p.putFaults)
	admin.PUT("/instances/:id", p.putInstance)
	admin.DELETE("/instances/:id", p.deleteInstance)
	admin.GET("/history", func(c echo.Context) error { return c.JSON(http.StatusOK, p.History()) })
	admin.GET("/counts", func(c echo.Context) error { return c.JSON(http.StatusOK, p.Counts()) })
	return e
}

// faultMiddleware counts the request, applies the rate limits and injects the faults that
// act before the request takes effect.
func (p *Platform) faultMiddleware(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		ctx := c.Request().Context()
		allowed := p.countAndAllow(c.Request().Method)
		p.holdIfPartitioned(c)
		faults, _ := p.currentFaults()
		if err := p.clock.Sleep(ctx, faults.RequestDelay/2); err != nil {
			return err
		}
		if faults.Outage {
			return c.NoContent(http.StatusServiceUnavailable)
		}
		if !allowed {
			return c.NoContent(http.StatusTooManyRequests)
		}
		return next(c)
	}
}

// holdIfPartitioned holds a request of a partitioned client until the fault ends, and then
// closes its connection without a response.
func (p *Platform) holdIfPartitioned(c echo.Context) {
	faults, changed := p.currentFaults()
	if !isPartitioned(faults, c) {
		return
	}
	p.heldCount.Add(1)
	defer p.heldCount.Add(-1)
	for isPartitioned(faults, c) {
		select {
		case <-changed:
			faults, changed = p.currentFaults()
		case <-c.Request().Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
	panic(http.ErrAbortHandler)
}

func isPartitioned(f Faults, c echo.Context) bool {
	id := c.Request().Header.Get(headerInstance)
	for _, partitioned := range f.PartitionedClients {
		if id != "" && partitioned == id {
			return true
		}
	}
	return false
}

// beforeResponse injects the faults that act after the request took effect. wrote is true
// if the request was a write that was applied.
func (p *Platform) beforeResponse(c echo.Context, wrote bool) error {
	if wrote && p.shouldLoseResponse() {
		panic(http.ErrAbortHandler)
	}
	faults, _ := p.currentFaults()
	return p.clock.Sleep(c.Request().Context(), faults.RequestDelay-faults.RequestDelay/2)
}

type objectEntry struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}

type objectList struct {
	Objects []objectEntry `json:"objects"`
}

func (p *Platform) listObjects(c echo.Context) error {
	kind, err := waxserve.PathParam(c, "kind")
	if err != nil {
		return err
	}
	list := objectList{Objects: []objectEntry{}}
	for _, o := range p.store.list(kind) {
		list.Objects = append(list.Objects, objectEntry{Name: o.Name(), Version: o.Version(), Value: o.Value()})
		p.bytesOut.Add(int64(len(o.Value())))
	}
	if err := p.beforeResponse(c, false); err != nil {
		return err
	}
	return c.JSON(http.StatusOK, list)
}

func (p *Platform) getObject(c echo.Context) error {
	kind, name, err := objectParams(c)
	if err != nil {
		return err
	}
	if c.QueryParam("after") != "" {
		return p.watchObject(c, kind, name)
	}
	o, ok := p.store.get(kind, name)
	if err := p.beforeResponse(c, false); err != nil {
		return err
	}
	if !ok {
		return c.NoContent(http.StatusNotFound)
	}
	return p.sendObject(c, o)
}

func (p *Platform) watchObject(c echo.Context, kind, name string) error {
	after, err := strconv.ParseUint(c.QueryParam("after"), 10, 64)
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, "after is not a valid version")
	}
	wait, err := strconv.ParseInt("0"+c.QueryParam("wait-ms"), 10, 64)
	if err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, "wait-ms is not a valid number")
	}
	p.watchCount.Add(1)
	defer p.watchCount.Add(-1)
	ctx, cancel := context.WithCancel(c.Request().Context())
	defer cancel()
	timeout := make(chan struct{})
	go func() {
		if p.clock.Sleep(ctx, min(waxfleet.Millis(wait), maxWatchTimeout)) == nil {
			close(timeout)
		}
	}()
	for {
		o, next := p.store.watch(kind, name)
		faults, changed := p.currentFaults()
		p.holdIfPartitioned(c)
		if faults.Outage {
			return c.NoContent(http.StatusServiceUnavailable)
		}
		if o.Version() > after {
			return p.sendObject(c, o)
		}
		select {
		case <-next:
		case <-changed:
		case <-timeout:
			return c.NoContent(http.StatusNotModified)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (p *Platform) sendObject(c echo.Context, o waxfleet.Object) error {
	p.bytesOut.Add(int64(len(o.Value())))
	c.Response().Header().Set("ETag", etag(o.Version()))
	return c.Blob(http.StatusOK, echo.MIMEOctetStream, o.Value())
}

func (p *Platform) putObject(c echo.Context) error {
	kind, name, err := objectParams(c)
	if err != nil {
		return err
	}
	version, err := requiredVersion(c)
	if err != nil {
		return err
	}
	value, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, waxfleet.MaxObjectBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return c.NoContent(http.StatusRequestEntityTooLarge)
	}
	if err != nil {
		return err
	}
	p.bytesIn.Add(int64(len(value)))
	newVersion, result := p.store.compareAndPut(kind, name, value, version, c.Request().Header.Get(headerInstance))
	if err := p.beforeResponse(c, result == writeApplied); err != nil {
		return err
	}
	if result == writeConflict {
		return c.NoContent(http.StatusPreconditionFailed)
	}
	c.Response().Header().Set("ETag", etag(newVersion))
	return c.NoContent(http.StatusOK)
}

func (p *Platform) deleteObject(c echo.Context) error {
	kind, name, err := objectParams(c)
	if err != nil {
		return err
	}
	version, err := requiredVersion(c)
	if err != nil {
		return err
	}
	result := p.store.compareAndDelete(kind, name, version, c.Request().Header.Get(headerInstance))
	if err := p.beforeResponse(c, result == writeApplied); err != nil {
		return err
	}
	switch result {
	case writeNotFound:
		return c.NoContent(http.StatusNotFound)
	case writeConflict:
		return c.NoContent(http.StatusPreconditionFailed)
	default:
		return c.NoContent(http.StatusNoContent)
	}
}

func (p *Platform) listInstances(c echo.Context) error {
	visible := p.instances.visibleInstances()
	if err := p.beforeResponse(c, false); err != nil {
		return err
	}
	body, err := json.Marshal(visible)
	if err != nil {
		return err
	}
	sum := sha256.Sum256(body)
	tag := `"` + hex.EncodeToString(sum[:etagDigestBytes]) + `"`
	c.Response().Header().Set("ETag", tag)
	if c.Request().Header.Get("If-None-Match") == tag {
		return c.NoContent(http.StatusNotModified)
	}
	return c.JSONBlob(http.StatusOK, body)
}

func (p *Platform) putFaults(c echo.Context) error {
	var f Faults
	if err := waxserve.BindJSONStrict(c, &f); err != nil {
		return err
	}
	p.SetFaults(f)
	return c.NoContent(http.StatusNoContent)
}

// instanceUpdate is the body of PUT /admin/instances/:id. It adds a router if PeerAddress
// is set, or else a backend server if Service is set. State, if set, becomes the state of
// the entry, which may also have been added before.
type instanceUpdate struct {
	Service       string         `json:"service"`
	FailureDomain string         `json:"failure-domain"`
	Address       string         `json:"address"`
	PeerAddress   string         `json:"peer-address"`
	CallerAddress string         `json:"caller-address"`
	State         waxfleet.State `json:"state"`
}

func (p *Platform) putInstance(c echo.Context) error {
	var b instanceUpdate
	if err := waxserve.BindJSONStrict(c, &b); err != nil {
		return err
	}
	id, err := waxserve.PathParam(c, "id")
	if err != nil {
		return err
	}
	if b.PeerAddress != "" {
		p.AddRouter(id, b.FailureDomain, b.PeerAddress, b.CallerAddress)
	} else if b.Service != "" {
		p.AddBackendServer(id, b.Service, b.FailureDomain, b.Address)
	}
	if b.State != "" {
		p.SetState(id, b.State)
	}
	return c.NoContent(http.StatusNoContent)
}

func (p *Platform) deleteInstance(c echo.Context) error {
	id, err := waxserve.PathParam(c, "id")
	if err != nil {
		return err
	}
	p.Remove(id)
	return c.NoContent(http.StatusNoContent)
}

// requiredVersion returns the version that the object must have for a write. Version 0
// means that the object must not exist.
//
// Errors: echo.HTTPError if the request has no valid condition.
func requiredVersion(c echo.Context) (uint64, error) {
	h := c.Request().Header
	if h.Get("If-None-Match") == "*" {
		return 0, nil
	}
	match := h.Get("If-Match")
	if match == "" {
		return 0, echo.NewHTTPError(http.StatusPreconditionRequired, "If-Match or If-None-Match: * is required")
	}
	version, err := strconv.ParseUint(strings.Trim(match, `"`), 10, 64)
	if err != nil || version == 0 {
		return 0, echo.NewHTTPError(http.StatusBadRequest, "If-Match is not a valid version")
	}
	return version, nil
}

func etag(version uint64) string { return `"` + strconv.FormatUint(version, 10) + `"` }

func objectParams(c echo.Context) (kind, name string, err error) {
	if kind, err = waxserve.PathParam(c, "kind"); err != nil {
		return "", "", err
	}
	name, err = waxserve.PathParam(c, "*")
	return kind, name, err
}
