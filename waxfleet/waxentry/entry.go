// Package waxentry is the HTTP server for callers: it parses and authorizes
// requests, limits their size, routes them and writes the responses.
package waxentry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"net/url"
	"path"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"
	"github.com/oklog/ulid/v2"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxclaim"
	"waxwingdrift.org/waxfleet/waxconn"
	"waxwingdrift.org/waxfleet/waxintake"
	"waxwingdrift.org/waxfleet/waxmetric"
	"waxwingdrift.org/waxfleet/waxroute"
)

// Headers of requests and responses.
const (
	HeaderTier           = "X-Wax-Tier"
	HeaderChat           = "X-Wax-Chat"
	HeaderRequestID      = "X-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderBackendServer  = "X-Wax-Backend-Server"
	HeaderTraceID        = "X-Wax-Trace-Id"
)

const (
	// maxHeaderValueBytes bounds the value of each header that the router reads, in
	// bytes.
	maxHeaderValueBytes = 512
	// bytesPerToken estimates the prompt length when the caller does not send it.
	bytesPerToken = 4
	// answerTimeout is the time in which a caller has to read the next part of a response.
	answerTimeout waxfleet.Millis = 60_000
	// chatPath is the path of the chat-completions API.
	chatPath = "/v1/chat/completions"
)

// Router routes validated requests to backend servers.
type Router interface {
	// Route runs req at a backend server and writes the result to response. If it
	// returns an error, it may have written a part of the result.
	Route(ctx context.Context, req *waxroute.Request, response waxroute.ResponseWriter) error
}

// Dependencies are the dependencies of an Entry.
type Dependencies struct {
	Clock    *waxfleet.Clock
	Config   waxfleet.ConfigSource
	Router   Router
	Recorder waxfleet.Recorder
	Metrics  *waxmetric.Metrics
	Tracer   trace.Tracer
	Log      *slog.Logger
	// Ready reports whether this instance accepts requests; it determines the status of
	// /readyz.
	Ready func() bool
}

// Entry handles the HTTP requests of callers. It is safe for concurrent use.
type Entry struct {
	Dependencies
	echo *echo.Echo
}

// New returns an Entry, which is an http.Handler. Its http.Server needs the ConnContext of
// waxconn.
func New(deps Dependencies) *Entry {
	e := &Entry{Dependencies: deps, echo: echo.New()}
	e.echo.HideBanner = true
	e.echo.HTTPErrorHandler = handleNotFound
	e.echo.Pre(e.trackConn)
	e.echo.POST(chatPath, e.handleChat)
	e.echo.Any("/services/:service/*", e.handlePlainService)
	e.echo.GET("/healthz", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	e.echo.GET("/readyz", e.handleReadyz)
	e.echo.GET("/metrics", echo.WrapHandler(deps.Metrics.Handler()))
	return e
}

// ServeHTTP implements http.Handler.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.echo.ServeHTTP(w, r) }

// trackConn tells the connection when a request begins and ends.
func (e *Entry) trackConn(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		r := c.Request()
		conn := waxintake.Of(r.Context())
		conn.AnswerBy(e.Clock.Now() + answerTimeout)
		defer conn.End()
		if err := conn.Begin(r.ContentLength != 0); err != nil {
			return respondWithError(c, err, requestID(r))
		}
		return next(c)
	}
}

// respondWithError writes an error response. It closes the connection if the rest of the
// request is not read.
func respondWithError(c echo.Context, err error, id string) error {
	var coded *waxfleet.Error
	if !errors.As(err, &coded) {
		coded = waxfleet.WrapError(err, waxfleet.CodeInternal, "internal error")
	}
	h := c.Response().Header()
	h.Set(HeaderRequestID, id)
	if coded.Code() == waxfleet.CodeRouterFull {
		h.Set("Retry-After", strconv.FormatFloat(waxintake.RetryAfter().Duration().Seconds(), 'f', 3, 64))
	}
	if !waxintake.Of(c.Request().Context()).KeepAfterRefusal(c.Request().ContentLength) {
		h.Set("Connection", "close")
	}
	return c.JSON(coded.Code().Status(), newErrorEnvelope(coded, id))
}

// handleNotFound responds to paths and methods that are not served.
func handleNotFound(_ error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	e := waxfleet.NewError(waxfleet.CodeUnknownPath, "%s %s is not served", c.Request().Method, c.Request().URL.Path)
	_ = respondWithError(c, e, requestID(c.Request()))
}

func (e *Entry) handleReadyz(c echo.Context) error {
	if !e.Ready() {
		return c.String(http.StatusServiceUnavailable, "not ready\n")
	}
	return c.String(http.StatusOK, "ready\n")
}

// chatBody has the fields of a chat-completions body that the router reads.
type chatBody struct {
	Model       string        `json:"model"`
	Messages    []chatMessage `json:"messages"`
	Stream      bool          `json:"stream"`
	Chat        string        `json:"chat"`
	InputLength int64         `json:"input_length"`
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

func (e *Entry) handleChat(c echo.Context) error {
	req := &waxroute.Request{Method: http.MethodPost, Path: chatPath}
	return e.handle(c, req, func(cfg waxfleet.Config) error {
		var body chatBody
		if err := json.Unmarshal(req.Body, &body); err != nil {
			return waxfleet.NewError(waxfleet.CodeMalformedBody, "the body is not valid chat-completions JSON: %v", err)
		}
		if body.Model == "" || len(body.Messages) == 0 {
			return waxfleet.NewError(waxfleet.CodeMalformedBody, "the fields model and messages are required")
		}
		service, ok := cfg.ServiceForModel(body.Model)
		if !ok || !req.Workspace.AllowsModel(body.Model) {
			return waxfleet.NewError(waxfleet.CodeUnknownModel, "model %q is not served for workspace %s", body.Model, req.Workspace.Name())
		}
		req.Service, req.Model, req.Stream = service, body.Model, body.Stream
		req.PromptTokens = body.InputLength
		if req.PromptTokens <= 0 {
			req.PromptTokens = int64(len(req.Body) / bytesPerToken)
		}
		chat := c.Request().Header.Get(HeaderChat)
		if chat == "" {
			chat = body.Chat
		}
		if len(chat) > maxHeaderValueBytes {
			return waxfleet.NewError(waxfleet.CodeHeaderTooLarge, "the chat id is longer than %d bytes", maxHeaderValueBytes)
		}
		if chat == "" {
			chat = leadingMessagesDigest(body.Messages)
		}
		req.ChatKey = req.Workspace.Name() + "/" + chat
		return e.readIdempotencyKey(c, req)
	})
}

// readIdempotencyKey marks the request as at-most-once if it has an idempotency
// key, which it validates.
func (e *Entry) readIdempotencyKey(c echo.Context, req *waxroute.Request) error {
	req.IdempotencyKey = c.Request().Header.Get(HeaderIdempotencyKey)
	if req.IdempotencyKey == "" {
		return nil
	}
	req.Once = true
	return waxclaim.CheckKey(req.IdempotencyKey, e.Clock.Wall())
}

// leadingMessagesDigest returns the chat id for a chat that has none: a digest of its
// leading messages, up to and including the user's first message. These are the same in
// all turns.
func leadingMessagesDigest(messages []chatMessage) string {
	h := sha256.New()
	for _, m := range messages {
		_, _ = fmt.Fprintf(h, "%s\x00%s\x00", m.Role, m.Content)
		if m.Role == "user" {
			break
		}
	}
	return "digest-" + hex.EncodeToString(h.Sum(nil)[:16])
}

func (e *Entry) handlePlainService(c echo.Context) error {
	req := &waxroute.Request{Method: c.Request().Method, Path: servicePath(c.Request().URL)}
	if q := c.Request().URL.RawQuery; q != "" {
		req.Path += "?" + q
	}
	return e.handle(c, req, func(cfg waxfleet.Config) error {
		service, ok := cfg.Service(c.Param("service"))
		if !ok || service.Kind() != waxfleet.KindPlainService {
			return waxfleet.NewError(waxfleet.CodeUnknownService, "service %q is not a configured plain service", c.Param("service"))
		}
		req.Service = service
		req.ChatKey = req.Workspace.Name() + "/" + req.ID
		err := e.readIdempotencyKey(c, req)
		if req.Once {
			req.ChatKey = req.Workspace.Name() + "/" + req.IdempotencyKey
			return err
		}
		if service.AtMostOnce(req.Path) || service.AtMostOnce(canonicalPath(req.Path)) {
			return waxfleet.NewError(waxfleet.CodeKeyRequired,
				"calls to %s%s run at most once and need the header %s", service.Name(), req.Path,
				HeaderIdempotencyKey)
		}
		return nil
	})
}

// servicePath returns the path after /services/{service}, with the caller's
// percent-encoding.
func servicePath(u *url.URL) string {
	_, rest, _ := strings.Cut(strings.TrimPrefix(u.EscapedPath(), "/services/"), "/")
	return "/" + rest
}

// canonicalPath returns the canonical form of a path, which is matched against
// once-paths. A backend server may treat /%64eposits and //deposits as /deposits,
// and such a call must not run twice either.
func canonicalPath(raw string) string {
	raw, _, _ = strings.Cut(raw, "?")
	unescaped, err := url.PathUnescape(raw)
	if err != nil {
		unescaped = raw
	}
	return path.Clean("/" + unescaped)
}

// handle reads the request, calls parse to fill in the fields that depend on the
// kind of service, and routes it.
func (e *Entry) handle(c echo.Context, req *waxroute.Request, parse func(cfg waxfleet.Config) error) error {
	startedAt := e.Clock.Now()
	r := c.Request()
	ctx := propagation.TraceContext{}.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := e.Tracer.Start(ctx, "entry", trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	req.ID = requestID(r)
	c.Response().Header().Set(HeaderRequestID, req.ID)
	c.Response().Header().Set(HeaderTraceID, span.SpanContext().TraceID().String())
	cfg := e.Config.Current()
	response := &responseWriter{
		response: c.Response(), clock: e.Clock, startedAt: startedAt, timeToFirstByte: -1,
		conn: waxconn.Of(r.Context()), intake: waxintake.Of(r.Context()), closeDelimited: !r.ProtoAtLeast(1, 1),
	}
	err := e.readRequest(r, req, cfg)
	if err == nil {
		err = parse(cfg)
	}
	if err == nil {
		req.Digest = requestDigest(req)
		e.Recorder.Record(req.ID, "accept", fmt.Sprintf("workspace=%s tier=%s service=%s chat=%s",
			req.Workspace.Name(), req.Tier.Name(), req.Service.Name(), req.ChatKey))
		err = e.Router.Route(ctx, req, response)
	}
	code := waxfleet.CodeOf(err)
	span.SetAttributes(attribute.String("request-id", req.ID), attribute.String("tier", req.Tier.Name()), attribute.String("code", code.Name()))
	e.Metrics.CountRequest(req.Tier.Name(), code)
	if response.timeToFirstByte >= 0 {
		e.Metrics.RecordTimeToFirstByte(req.Tier.Name(), response.timeToFirstByte)
	}
	e.Recorder.Record(req.ID, "end", "code="+code.Name())
	e.Log.InfoContext(ctx, "request", "request-id", req.ID, "workspace", req.Workspace.Name(), "tier", req.Tier.Name(),
		"service", req.Service.Name(), "code", int(code), "first-byte-ms", int64(response.timeToFirstByte), "total-ms", int64(e.Clock.Now()-startedAt))
	if err != nil {
		return e.writeError(c, req, response, err)
	}
	response.complete()
	return nil
}

// writeError writes the error. If the response has already started, it closes the
// connection, so that the caller can't mistake a partial response for a complete
// one.
func (e *Entry) writeError(c echo.Context, req *waxroute.Request, response *responseWriter, err error) error {
	var coded *waxfleet.Error
	if !errors.As(err, &coded) {
		coded = waxfleet.WrapError(err, waxfleet.CodeInternal, "internal error")
	}
	if response.headerWritten {
		if response.isStream {
			_, _ = fmt.Fprintf(c.Response(), "event: error\ndata: %s\n\n", marshalError(newErrorEnvelope(coded, req.ID)))
			c.Response().Flush()
		}
		panic(http.ErrAbortHandler)
	}
	return respondWithError(c, err, req.ID)
}

type errorJSON struct {
	Code      int    `json:"code"`
	Name      string `json:"name"`
	Message   string `json:"message"`
	NotRun    bool   `json:"not-run"`
	RequestID string `json:"request-id"`
}

type errorEnvelope struct {
	Error errorJSON `json:"error"`
}

func newErrorEnvelope(e *waxfleet.Error, id string) errorEnvelope {
	return errorEnvelope{Error: errorJSON{
		Code:      int(e.Code()),
		Name:      e.Code().Name(),
		Message:   e.Message(),
		NotRun:    e.NotRun(),
		RequestID: id,
	}}
}

func marshalError(v errorEnvelope) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		return []byte("{}") // unreachable: the type always marshals
	}
	return data
}

// requestID returns the request id that the caller sent, or a new one if it is
// missing, longer than 128 bytes or not printable ASCII.
func requestID(r *http.Request) string {
	id := r.Header.Get(HeaderRequestID)
	if id == "" || len(id) > 128 || strings.ContainsFunc(id, func(c rune) bool { return c <= ' ' || c > '~' }) {
		return ulid.Make().String()
	}
	return id
}

// readRequest checks the size of headers and body, authenticates the workspace,
// looks up the price tier and reads the body.
func (e *Entry) readRequest(r *http.Request, req *waxroute.Request, cfg waxfleet.Config) error {
	for _, name := range []string{HeaderTier, HeaderChat, HeaderIdempotencyKey, "Authorization"} {
		if len(r.Header.Get(name)) > maxHeaderValueBytes {
			return waxfleet.NewError(waxfleet.CodeHeaderTooLarge, "header %s is longer than %d bytes", name, maxHeaderValueBytes)
		}
	}
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return waxfleet.NewError(waxfleet.CodeUnauthorized, "header Authorization must have the form: Bearer <workspace key>")
	}
	if req.Workspace, ok = cfg.WorkspaceByKey(key); !ok {
		return waxfleet.NewError(waxfleet.CodeUnauthorized, "the workspace key is unknown")
	}
	name := r.Header.Get(HeaderTier)
	if name == "" {
		name = req.Workspace.DefaultTier()
	}
	if req.Tier, ok = cfg.Tier(name); !ok {
		return waxfleet.NewError(waxfleet.CodeUnknownTier, "price tier %q is not configured", name)
	}
	if !req.Workspace.AllowsTier(name) {
		return waxfleet.NewError(waxfleet.CodeNotAllowed, "price tier %q is not allowed for workspace %s", name, req.Workspace.Name())
	}
	req.ContentType = r.Header.Get("Content-Type")
	if r.ContentLength == 0 {
		return nil
	}
	limit := cfg.Limits().MaxBodyBytes()
	body, err := waxintake.Of(r.Context()).ReadBody(r.Body, r.ContentLength, limit, 0)
	switch waxfleet.CodeOf(err) {
	case waxfleet.CodeInternal:
		return waxfleet.WrapError(err, waxfleet.CodeMalformedBody, "the body could not be read")
	case waxfleet.CodeBodyTooLarge:
		return waxfleet.NewError(waxfleet.CodeBodyTooLarge, "the body is larger than %d bytes", limit)
	}
	req.Body = body
	return err
}

// requestDigest returns a digest that is the same for all attempts to send a request.
func requestDigest(req *waxroute.Request) string {
	h := sha256.New()
	_, _ = fmt.Fprintf(h, "%s\x00%s\x00%s\x00%s\x00", req.Workspace.Name(), req.Service.Name(), req.Method, req.Path)
	_, _ = h.Write(req.Body)
	return hex.EncodeToString(h.Sum(nil)[:16])
}
