package waxengine

import (
	"io"
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"
	"github.com/oklog/ulid/v2"
	"waxwingdrift.org/waxstandin/internal/waxserve"
)

const (
	headerRequestID   = "X-Request-Id"
	headerAttempt     = "X-Wax-Attempt"
	headerLastEventID = "Last-Event-ID"

	maxBodyBytes = 32 << 20
)

func (e *Engine) handler() http.Handler {
	router := echo.New()
	api := router.Group("", e.availabilityMiddleware)
	api.POST("/v1/chat/completions", e.handleCompletion)
	api.GET("/healthz", func(c echo.Context) error { return c.NoContent(http.StatusOK) })
	api.GET("/load", func(c echo.Context) error { return c.JSON(http.StatusOK, e.laggedLoad()) })
	api.GET("/cache-events", e.getCacheEvents)
	api.POST("/orders", e.postOrder)
	api.GET("/kv/:chat", e.exportKV)
	api.PUT("/kv/:chat", e.importKV)
	admin := router.Group("/admin", waxserve.AdminMiddleware)
	admin.PUT("/faults", e.putFaults)
	admin.GET("/history", func(c echo.Context) error { return c.JSON(http.StatusOK, e.History()) })
	return router
}

// availabilityMiddleware holds requests while the engine is frozen, and rejects them
// with 503 while the engine recovers from overload.
func (e *Engine) availabilityMiddleware(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if _, err := e.freezeGate.Wait(c.Request().Context()); err != nil {
			return err
		}
		if e.recovering() {
			return sendError(c, http.StatusServiceUnavailable, string(rejectionStarting))
		}
		return next(c)
	}
}

// recovering reports whether the engine still recovers from overload.
func (e *Engine) recovering() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.clock.Now() < e.unavailableUntil
}

func (e *Engine) handleCompletion(c echo.Context) error {
	r := c.Request()
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), r.Body, maxBodyBytes))
	if err != nil {
		return sendError(c, http.StatusRequestEntityTooLarge, "request body is too large")
	}
	id := r.Header.Get(headerRequestID)
	if last := r.Header.Get(headerLastEventID); last != "" {
		return e.resumeStream(c, id, last)
	}
	request, p, err := parseRequest(body)
	if err != nil {
		return sendError(c, http.StatusBadRequest, err.Error())
	}
	if !e.servesModel(request.Model) {
		return sendError(c, http.StatusNotFound, "model is not served by this engine")
	}
	if id == "" {
		id = ulid.Make().String()
	}
	newRun := &run{
		id:      id,
		attempt: r.Header.Get(headerAttempt),
		body:    body,
		request: request,
		prompt:  p,
		started: make(chan struct{}),
		changed: make(chan struct{}),
	}
	if reason := e.admit(newRun); reason != "" {
		return sendError(c, http.StatusServiceUnavailable, string(reason))
	}
	defer e.detach(newRun)
	identity := e.identityFor(newRun)
	if request.Stream {
		return e.sendStream(c, newRun, identity, newStreamFaults(e, newRun))
	}
	return e.sendCompletion(c, newRun, identity)
}

// resumeStream sends the rest of a stream, after the event with the ID last.
func (e *Engine) resumeStream(c echo.Context, id, last string) error {
	after, err := strconv.Atoi(last)
	if err != nil {
		return sendError(c, http.StatusBadRequest, headerLastEventID+" is not a valid number")
	}
	r := e.attachStream(id)
	if r == nil {
		return sendError(c, http.StatusNotFound, "stream cannot be resumed")
	}
	defer e.detach(r)
	return e.sendStream(c, r, responseIdentity{id: r.id, digest: r.prompt.digest}, streamFaults{nextEvent: after + 1})
}

func (e *Engine) getCacheEvents(c echo.Context) error {
	after, err := strconv.ParseUint("0"+c.QueryParam("after"), 10, 64)
	if err != nil {
		return sendError(c, http.StatusBadRequest, "after is not a valid number")
	}
	return c.JSON(http.StatusOK, e.laggedCacheEvents(after))
}

func (e *Engine) postOrder(c echo.Context) error {
	var o Order
	if err := waxserve.BindJSON(c, &o); err != nil {
		return err
	}
	switch o.Kind {
	case OrderLoadModel, OrderLoadAdapter, OrderSetRole:
	default:
		return sendError(c, http.StatusBadRequest, "unknown order kind")
	}
	if !e.execute(o) {
		return sendError(c, http.StatusConflict, "fencing token is stale")
	}
	return c.NoContent(http.StatusOK)
}

// kvExport is the exported KV cache of a chat: the keys and sizes of its blocks.
type kvExport struct {
	Chat   string    `json:"chat"`
	Blocks []kvBlock `json:"blocks"`
}

type kvBlock struct {
	Key    string `json:"key"`
	Tokens int    `json:"tokens"`
}

func (e *Engine) exportKV(c echo.Context) error {
	chat, err := waxserve.PathParam(c, "chat")
	if err != nil {
		return err
	}
	body := kvExport{Chat: chat}
	e.mu.Lock()
	blocks, ok := e.cache.cachedPrefix(body.Chat)
	e.mu.Unlock()
	if !ok {
		return sendError(c, http.StatusNotFound, "chat is not cached")
	}
	for _, b := range blocks {
		body.Blocks = append(body.Blocks, kvBlock{Key: strconv.FormatUint(b.key, 16), Tokens: b.tokens})
	}
	return c.JSON(http.StatusOK, body)
}

func (e *Engine) importKV(c echo.Context) error {
	chat, err := waxserve.PathParam(c, "chat")
	if err != nil {
		return err
	}
	var body kvExport
	if err := waxserve.BindJSON(c, &body); err != nil {
		return err
	}
	blocks := make([]block, 0, len(body.Blocks))
	for _, b := range body.Blocks {
		key, err := strconv.ParseUint(b.Key, 16, 64)
		if err != nil {
			return sendError(c, http.StatusBadRequest, "block key is not a hexadecimal number")
		}
		blocks = append(blocks, block{key: key, tokens: b.Tokens})
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cache.insert(chat, blocks)
	return c.NoContent(http.StatusNoContent)
}

func (e *Engine) putFaults(c echo.Context) error {
	var f Faults
	if err := waxserve.BindJSONStrict(c, &f); err != nil {
		return err
	}
	e.SetFaults(f)
	return c.NoContent(http.StatusNoContent)
}

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    int    `json:"code"`
}

func sendError(c echo.Context, status int, message string) error {
	return c.JSON(status, errorBody{Error: errorDetail{Message: message, Type: http.StatusText(status), Code: status}})
}
