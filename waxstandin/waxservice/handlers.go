package waxservice

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"
	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxstandin/internal/waxserve"
)

const (
	headerRequestID      = "X-Request-Id"
	headerAttempt        = "X-Wax-Attempt"
	headerIdempotencyKey = "Idempotency-Key"

	maxBodyBytes = 32 << 20
)

// Response is the JSON body of the response to a request that the service executes.
type Response struct {
	RequestID  string `json:"request-id"`
	Server     string `json:"server"`
	Method     string `json:"method"`
	Path       string `json:"path"`
	BodyDigest string `json:"body-digest"`
}

type loadReport struct {
	InFlight    int    `json:"in-flight"`
	Cold        bool   `json:"cold"`
	Leaving     bool   `json:"leaving"`
	Incarnation string `json:"incarnation"`
}

func (s *Service) handler() http.Handler {
	router := echo.New()
	api := router.Group("", s.freezeMiddleware)
	api.GET("/healthz", func(c echo.Context) error { return c.NoContent(http.StatusOK) })
	api.GET("/load", s.getLoad)
	api.Any("/*", s.handleCall)
	admin := router.Group("/admin", waxserve.AdminMiddleware)
	admin.PUT("/faults", s.putFaults)
	admin.GET("/runs", func(c echo.Context) error { return c.JSON(http.StatusOK, s.Runs()) })
	admin.GET("/history", func(c echo.Context) error { return c.JSON(http.StatusOK, s.History()) })
	return router
}

// freezeMiddleware holds requests while the service is frozen.
func (s *Service) freezeMiddleware(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if _, err := s.freezeGate.Wait(c.Request().Context()); err != nil {
			return err
		}
		return next(c)
	}
}

func (s *Service) handleCall(c echo.Context) error {
	r := c.Request()
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), r.Body, maxBodyBytes))
	if err != nil {
		return c.NoContent(http.StatusRequestEntityTooLarge)
	}
	faults := s.currentFaults()
	if faults.RejectRequests {
		return c.NoContent(http.StatusServiceUnavailable)
	}
	event := newEvent(r, body)
	incarnation := s.recordStart(event)
	defer func() { s.recordEnd(event, incarnation) }()
	marker := faults.PoisonMarker
	if (marker != "" && bytes.Contains(body, []byte(marker))) || s.shouldInject(faults.CrashDuringRequest) {
		s.crash()
	}
	if err := s.simulateWork(c, faults.ResponseDelay); err != nil {
		return err
	}
	if s.incarnationEnded(incarnation) {
		panic(http.ErrAbortHandler)
	}
	if err := s.sendResponse(c, event); err != nil {
		return err
	}
	event.Complete = true
	return nil
}

func newEvent(r *http.Request, body []byte) Event {
	sum := sha256.Sum256(body)
	digest := hex.EncodeToString(sum[:16])
	e := Event{
		RequestID:  r.Header.Get(headerRequestID),
		Attempt:    r.Header.Get(headerAttempt),
		Key:        r.Header.Get(headerIdempotencyKey),
		Method:     r.Method,
		Path:       r.URL.Path,
		BodyDigest: digest,
	}
	if e.RequestID == "" {
		e.RequestID = newRequestID()
	}
	if e.Key == "" {
		e.Key = digest
	}
	return e
}

// simulateWork waits for the processing time and then for the response delay. Only the
// response delay ends when the client disconnects.
func (s *Service) simulateWork(c echo.Context, responseDelay waxfleet.Millis) error {
	if err := s.clock.Sleep(s.ctx, s.opts.ProcessingDelay); err != nil {
		return err
	}
	if _, err := s.freezeGate.Wait(s.ctx); err != nil {
		return err
	}
	return s.clock.Sleep(c.Request().Context(), responseDelay)
}

func (s *Service) sendResponse(c echo.Context, e Event) error {
	id := s.responseID(e.RequestID)
	data, err := json.Marshal(Response{
		RequestID:  id,
		Server:     s.opts.ID,
		Method:     e.Method,
		Path:       e.Path,
		BodyDigest: e.BodyDigest,
	})
	if err != nil {
		return err
	}
	header := c.Response().Header()
	header.Set(headerRequestID, id)
	header.Set(echo.HeaderContentLength, strconv.Itoa(len(data)))
	if !s.shouldInject(s.currentFaults().TruncateResponses) {
		return c.Blob(http.StatusOK, echo.MIMEApplicationJSON, data)
	}
	if err := c.Blob(http.StatusOK, echo.MIMEApplicationJSON, data[:len(data)/2]); err != nil {
		return err
	}
	c.Response().Flush()
	panic(http.ErrAbortHandler)
}

// responseID returns the request ID of the response. The fault MismatchResponses replaces
// it with that of another request.
func (s *Service) responseID(id string) string {
	s.mu.Lock()
	previous := s.lastRequestID
	s.lastRequestID = id
	s.mu.Unlock()
	if !s.shouldInject(s.currentFaults().MismatchResponses) {
		return id
	}
	if previous == "" || previous == id {
		return "crossed-" + id
	}
	return previous
}

func (s *Service) getLoad(c echo.Context) error {
	return c.JSON(http.StatusOK, loadReport{
		InFlight:    s.InFlight(),
		Leaving:     s.currentFaults().Leaving,
		Incarnation: s.incarnationID(),
	})
}

func (s *Service) putFaults(c echo.Context) error {
	var f Faults
	if err := waxserve.BindJSONStrict(c, &f); err != nil {
		return err
	}
	s.SetFaults(f)
	return c.NoContent(http.StatusNoContent)
}
