// Package waxentry serves callers: it parses, authorises and limits requests,
// and writes their answers.
package waxentry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/url"
	"path"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"
	"github.com/oklog/ulid/v2"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxclaim"
	"waxwingdrift.org/waxfleet/waxmetric"
	"waxwingdrift.org/waxfleet/waxroute"
)

// Header names of the caller's side.
const (
	HeaderTier           = "X-Wax-Tier"
	HeaderChat           = "X-Wax-Chat"
	HeaderRequestID      = "X-Request-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderBackendServer  = "X-Wax-Backend-Server"
	HeaderTraceID        = "X-Wax-Trace-Id"
)

const (
	// maxHeaderValue is the longest accepted value of a header that the router
	// reads, in bytes.
	maxHeaderValue = 512
	// bytesPerToken estimates the prompt length where the caller does not state it.
	bytesPerToken = 4
	// chatPath is the path of the chat-completions protocol.
	chatPath = "/v1/chat/completions"
)

// Route runs a parsed request.
type Route interface {
	Route(ctx context.Context, req *waxroute.Request, answer waxroute.Answer) error
}

// Parts are the components that an entry works with.
type Parts struct {
	Clock    *waxfleet.Clock
	Config   waxfleet.ConfigSource
	Route    Route
	Recorder waxfleet.Recorder
	Metrics  *waxmetric.Metrics
	Tracer   trace.Tracer
	Log      *slog.Logger
	// Ready reports whether this instance wants calls.
	Ready func() bool
}

// Entry serves callers. It is safe for concurrent use.
type Entry struct {
	Parts
	echo *echo.Echo
}

// New returns an entry; ServeHTTP takes calls.
func New(parts Parts) *Entry {
	e := &Entry{Parts: parts, echo: echo.New()}
	e.echo.HideBanner = true
	e.echo.HTTPErrorHandler = unservedPath
	e.echo.POST(chatPath, e.chat)
	e.echo.Any("/services/:service/*", e.plain)
	e.echo.GET("/healthz", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	e.echo.GET("/readyz", e.readyz)
	e.echo.GET("/metrics", echo.WrapHandler(parts.Metrics.Handler()))
	return e
}

// ServeHTTP implements http.Handler.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.echo.ServeHTTP(w, r) }

// unservedPath answers paths and methods that are not served.
func unservedPath(_ error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	e := waxfleet.NewError(waxfleet.CodeUnknownPath, "%s %s is not served", c.Request().Method, c.Request().URL.Path)
	id := requestID(c.Request())
	c.Response().Header().Set(HeaderRequestID, id)
	_ = c.JSON(e.Code().Status(), errorBody(e, id))
}

func (e *Entry) readyz(c echo.Context) error {
	if !e.Ready() {
		return c.String(http.StatusServiceUnavailable, "not ready\n")
	}
	return c.String(http.StatusOK, "ready\n")
}

// chatBody holds the fields of a chat-completions body that the router reads.
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

func (e *Entry) chat(c echo.Context) error {
	req := &waxroute.Request{Method: http.MethodPost, Path: chatPath}
	return e.serve(c, req, func(cfg waxfleet.Config) error {
		var body chatBody
		if err := json.Unmarshal(req.Body, &body); err != nil {
			return waxfleet.NewError(waxfleet.CodeMalformedBody, "the body is no chat-completions JSON: %v", err)
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
		if len(chat) > maxHeaderValue {
			return waxfleet.NewError(waxfleet.CodeHeaderTooLarge, "the chat id is longer than %d bytes", maxHeaderValue)
		}
		if chat == "" {
			chat = leadingDigest(body.Messages)
		}
		req.ChatKey = req.Workspace.Name() + "/" + chat
		return e.takeKey(c, req)
	})
}

// takeKey makes the request run at most once if it has an idempotency key.
func (e *Entry) takeKey(c echo.Context, req *waxroute.Request) error {
	req.IdempotencyKey = c.Request().Header.Get(HeaderIdempotencyKey)
	if req.IdempotencyKey == "" {
		return nil
	}
	req.Once = true
	return waxclaim.CheckKey(req.IdempotencyKey, e.Clock.Wall())
}

// leadingDigest identifies a chat without an id by its leading messages, up to
// and including the first one of the user. They stay the same over all turns.
func leadingDigest(messages []chatMessage) string {
	h := sha256.New()
	for _, m := range messages {
		_, _ = fmt.Fprintf(h, "%s\x00%s\x00", m.Role, m.Content)
		if m.Role == "user" {
			break
		}
	}
	return "digest-" + hex.EncodeToString(h.Sum(nil)[:16])
}

func (e *Entry) plain(c echo.Context) error {
	req := &waxroute.Request{Method: c.Request().Method, Path: servicePath(c.Request().URL)}
	if q := c.Request().URL.RawQuery; q != "" {
		req.Path += "?" + q
	}
	return e.serve(c, req, func(cfg waxfleet.Config) error {
		service, ok := cfg.Service(c.Param("service"))
		if !ok || service.Kind() != waxfleet.KindPlainService {
			return waxfleet.NewError(waxfleet.CodeUnknownService, "service %q is no configured plain service", c.Param("service"))
		}
		req.Service = service
		req.ChatKey = req.Workspace.Name() + "/" + req.ID
		err := e.takeKey(c, req)
		if req.Once {
			req.ChatKey = req.Workspace.Name() + "/" + req.IdempotencyKey
			return err
		}
		if service.Once(req.Path) || service.Once(plainPath(req.Path)) {
			return waxfleet.NewError(waxfleet.CodeKeyRequired, "calls of %s%s may not be repeated and need the header %s", service.Name(), req.Path, HeaderIdempotencyKey)
		}
		return nil
	})
}

// servicePath returns what follows the service in /services/{service}/{path}, as
// the caller has encoded it.
func servicePath(u *url.URL) string {
	_, rest, _ := strings.Cut(strings.TrimPrefix(u.EscapedPath(), "/services/"), "/")
	return "/" + rest
}

// plainPath returns the one form of a path that once-paths are compared with. A
// backend server may take /%64eposits and //deposits for /deposits, and such a
// call must not run twice either.
func plainPath(raw string) string {
	raw, _, _ = strings.Cut(raw, "?")
	plain, err := url.PathUnescape(raw)
	if err != nil {
		plain = raw
	}
	return path.Clean("/" + plain)
}

// serve reads the request, lets parse fill in what depends on its kind, and
// routes it.
func (e *Entry) serve(c echo.Context, req *waxroute.Request, parse func(cfg waxfleet.Config) error) error {
	start := e.Clock.Now()
	r := c.Request()
	ctx := propagation.TraceContext{}.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := e.Tracer.Start(ctx, "entry", trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	req.ID = requestID(r)
	c.Response().Header().Set(HeaderRequestID, req.ID)
	c.Response().Header().Set(HeaderTraceID, span.SpanContext().TraceID().String())
	cfg := e.Config.Current()
	answer := &writer{response: c.Response(), clock: e.Clock, start: start, firstByte: -1}
	err := e.read(r, req, cfg)
	if err == nil {
		err = parse(cfg)
	}
	if err == nil {
		req.Digest = digest(req)
		e.Recorder.Record(req.ID, "accept", fmt.Sprintf("workspace=%s tier=%s service=%s chat=%s", req.Workspace.Name(), req.Tier.Name(), req.Service.Name(), req.ChatKey))
		err = e.Route.Route(ctx, req, answer)
	}
	code := waxfleet.CodeOf(err)
	span.SetAttributes(attribute.String("request-id", req.ID), attribute.String("tier", req.Tier.Name()), attribute.String("code", code.Name()))
	e.Metrics.Request(req.Tier.Name(), code)
	if answer.firstByte >= 0 {
		e.Metrics.FirstByte(req.Tier.Name(), answer.firstByte)
	}
	e.Recorder.Record(req.ID, "end", "code="+code.Name())
	e.Log.InfoContext(ctx, "request", "request-id", req.ID, "workspace", req.Workspace.Name(), "tier", req.Tier.Name(),
		"service", req.Service.Name(), "code", int(code), "first-byte-ms", int64(answer.firstByte), "total-ms", int64(e.Clock.Now()-start))
	if err != nil {
		return e.fail(c, req, answer, err)
	}
	return nil
}

// fail writes the error, or cuts the connection when the answer has begun: a
// caller must not take a part for the whole.
func (e *Entry) fail(c echo.Context, req *waxroute.Request, answer *writer, err error) error {
	var coded *waxfleet.Error
	if !errors.As(err, &coded) {
		coded = waxfleet.WrapError(err, waxfleet.CodeInternal, "internal error")
	}
	if answer.begun {
		if answer.stream {
			_, _ = fmt.Fprintf(c.Response(), "event: error\ndata: %s\n\n", mustJSON(errorBody(coded, req.ID)))
			c.Response().Flush()
		}
		panic(http.ErrAbortHandler)
	}
	return c.JSON(coded.Code().Status(), errorBody(coded, req.ID))
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

func errorBody(e *waxfleet.Error, id string) errorEnvelope {
	return errorEnvelope{Error: errorJSON{Code: int(e.Code()), Name: e.Code().Name(), Message: e.Message(), NotRun: e.NotRun(), RequestID: id}}
}

func mustJSON(v errorEnvelope) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		return []byte("{}") // unreachable: the type has plain fields only
	}
	return data
}

// requestID takes the caller's id when it is usable, else makes one.
func requestID(r *http.Request) string {
	id := r.Header.Get(HeaderRequestID)
	if id == "" || len(id) > 128 || strings.ContainsFunc(id, func(c rune) bool { return c <= ' ' || c > '~' }) {
		return ulid.Make().String()
	}
	return id
}

// read checks sizes, reads the body, and finds the workspace and the tier.
func (e *Entry) read(r *http.Request, req *waxroute.Request, cfg waxfleet.Config) error {
	for _, name := range []string{HeaderTier, HeaderChat, HeaderIdempotencyKey, "Authorization"} {
		if len(r.Header.Get(name)) > maxHeaderValue {
			return waxfleet.NewError(waxfleet.CodeHeaderTooLarge, "header %s is longer than %d bytes", name, maxHeaderValue)
		}
	}
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return waxfleet.NewError(waxfleet.CodeUnauthorized, "the header Authorization needs a workspace key: Bearer <key>")
	}
	if req.Workspace, ok = cfg.WorkspaceByKey(key); !ok {
		return waxfleet.NewError(waxfleet.CodeUnauthorized, "the workspace key is not known")
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
	limit := cfg.Limits().MaxBodyBytes()
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return waxfleet.WrapError(err, waxfleet.CodeMalformedBody, "the body could not be read")
	}
	if int64(len(body)) > limit {
		return waxfleet.NewError(waxfleet.CodeBodyTooLarge, "the body is larger than %d bytes", limit)
	}
	req.Body = body
	return nil
}

// digest identifies the work of a request, whoever sends it again.
func digest(req *waxroute.Request) string {
	h := sha256.New()
	_, _ = fmt.Fprintf(h, "%s\x00%s\x00%s\x00%s\x00", req.Workspace.Name(), req.Service.Name(), req.Method, req.Path)
	_, _ = h.Write(req.Body)
	return hex.EncodeToString(h.Sum(nil)[:16])
}
