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

	// maxBodyBytes bounds a request body.
	maxBodyBytes = 32 << 20
)

// Answer is the body of an answer.
type Answer struct {
	RequestID  string `json:"request-id"`
	Server     string `json:"server"`
	Method     string `json:"method"`
	Path       string `json:"path"`
	BodyDigest string `json:"body-digest"`
}

type loadBody struct {
	InFlight    int    `json:"in-flight"`
	Cold        bool   `json:"cold"`
	Leaving     bool   `json:"leaving"`
	Incarnation string `json:"incarnation"`
}

func (s *Service) handler() http.Handler {
	router := echo.New()
	api := router.Group("", s.whileThawed)
	api.GET("/healthz", func(c echo.Context) error { return c.NoContent(http.StatusOK) })
	api.GET("/load", s.getLoad)
	api.Any("/*", s.call)
	admin := router.Group("/admin", waxserve.Admin)
	admin.PUT("/faults", s.putFaults)
	admin.GET("/runs", func(c echo.Context) error { return c.JSON(http.StatusOK, s.Runs()) })
	admin.GET("/history", func(c echo.Context) error { return c.JSON(http.StatusOK, s.History()) })
	return router
}

func (s *Service) whileThawed(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if _, err := s.freezer.Wait(c.Request().Context()); err != nil {
			return err
		}
		return next(c)
	}
}

func (s *Service) call(c echo.Context) error {
	r := c.Request()
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), r.Body, maxBodyBytes))
	if err != nil {
		return c.NoContent(http.StatusRequestEntityTooLarge)
	}
	faults := s.fault()
	if faults.Refuse {
		return c.NoContent(http.StatusServiceUnavailable)
	}
	event := eventOf(r, body)
	incarnation := s.begin(event)
	defer func() { s.end(event, incarnation) }()
	marker := faults.PoisonMarker
	if (marker != "" && bytes.Contains(body, []byte(marker))) || s.hits(faults.DieInCall) {
		s.crash()
	}
	if err := s.work(c, faults.LateBy); err != nil {
		return err
	}
	if s.ended(incarnation) {
		panic(http.ErrAbortHandler)
	}
	if err := s.answer(c, event); err != nil {
		return err
	}
	event.Whole = true
	return nil
}

func eventOf(r *http.Request, body []byte) Event {
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

// work takes the time of a call. A caller that goes away doesn't end the run.
func (s *Service) work(c echo.Context, lateBy waxfleet.Millis) error {
	if err := s.clock.Sleep(s.ctx, s.opts.Delay); err != nil {
		return err
	}
	if _, err := s.freezer.Wait(s.ctx); err != nil {
		return err
	}
	return s.clock.Sleep(c.Request().Context(), lateBy)
}

func (s *Service) answer(c echo.Context, e Event) error {
	id := s.answerID(e.RequestID)
	data, err := json.Marshal(Answer{
		RequestID: id, Server: s.opts.ID, Method: e.Method, Path: e.Path, BodyDigest: e.BodyDigest,
	})
	if err != nil {
		return err
	}
	header := c.Response().Header()
	header.Set(headerRequestID, id)
	header.Set(echo.HeaderContentLength, strconv.Itoa(len(data)))
	if !s.hits(s.fault().CutAnswers) {
		return c.Blob(http.StatusOK, echo.MIMEApplicationJSON, data)
	}
	if err := c.Blob(http.StatusOK, echo.MIMEApplicationJSON, data[:len(data)/2]); err != nil {
		return err
	}
	c.Response().Flush()
	panic(http.ErrAbortHandler)
}

// answerID returns the id that the answer carries: that of another call when it
// is crossed.
func (s *Service) answerID(id string) string {
	s.mu.Lock()
	other := s.lastID
	s.lastID = id
	s.mu.Unlock()
	if !s.hits(s.fault().CrossAnswers) {
		return id
	}
	if other == "" || other == id {
		return "crossed-" + id
	}
	return other
}

func (s *Service) getLoad(c echo.Context) error {
	return c.JSON(http.StatusOK, loadBody{
		InFlight:    s.InFlight(),
		Leaving:     s.fault().Leaving,
		Incarnation: s.incarnationName(),
	})
}

func (s *Service) putFaults(c echo.Context) error {
	var f Faults
	if err := waxserve.BindStrict(c, &f); err != nil {
		return err
	}
	s.SetFaults(f)
	return c.NoContent(http.StatusNoContent)
}
