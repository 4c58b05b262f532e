package waxobject

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"waxwingdrift.org/waxfleet"
)

// TestFailuresAreClassified guards against reporting a write that may have taken effect as
// not written, and against the reverse.
func TestFailuresAreClassified(t *testing.T) {
	status := func(code int) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(code) }
	}
	cases := []struct {
		name    string
		respond http.HandlerFunc
		read    waxfleet.Code
		write   waxfleet.Code
	}{
		{"missing", status(404), waxfleet.CodeObjectNotFound, waxfleet.CodeObjectNotFound},
		{"conflict", status(412), waxfleet.CodeObjectConflict, waxfleet.CodeObjectConflict},
		{"too large", status(413), waxfleet.CodeBodyTooLarge, waxfleet.CodeBodyTooLarge},
		{"rate limit", status(429), waxfleet.CodePlatformRateLimited, waxfleet.CodePlatformRateLimited},
		{"outage", status(503), waxfleet.CodePlatformUnreachable, waxfleet.CodePlatformUnreachable},
		{"server error", status(500), waxfleet.CodePlatformUnreachable, waxfleet.CodePlatformUnknown},
		{"no version", status(200), waxfleet.CodePlatformUnreachable, waxfleet.CodePlatformUnknown},
		{"cut", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, waxfleet.CodePlatformUnreachable, waxfleet.CodePlatformUnknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var calls atomic.Int64
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				calls.Add(1)
				c.respond(w, r)
			}))
			defer s.Close()
			client := NewClient(s.URL, "caerdydd-1", nil)
			_, err := client.Get(t.Context(), "claim", "n")
			is.Equal(waxfleet.CodeOf(err), c.read)
			_, err = client.Put(t.Context(), "claim", "n", []byte("v"), 3)
			is.Equal(waxfleet.CodeOf(err), c.write)
			is.Equal(calls.Load(), int64(2))
			s.Close()
			// A new client has no idle connection on which the write might be sent.
			_, err = NewClient(s.URL, "caerdydd-1", nil).Put(t.Context(), "claim", "n", []byte("v"), 3)
			is.Equal(waxfleet.CodeOf(err), waxfleet.CodePlatformUnreachable)
		})
	}
}

// TestCancelledWriteHasUnknownOutcome guards against reporting a write as not written when
// its caller cancelled it after it was sent.
func TestCancelledWriteHasUnknownOutcome(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		cancel()
		<-r.Context().Done()
	}))
	defer s.Close()
	err := NewClient(s.URL, "i", nil).Delete(ctx, "claim", "n", 1)
	is.Equal(waxfleet.CodeOf(err), waxfleet.CodePlatformUnknown)
	_, err = NewClient(s.URL, "i", nil).Get(ctx, "claim", "n")
	is.Equal(waxfleet.CodeOf(err), waxfleet.CodePlatformUnreachable)
}

// TestProtocol guards against requests and responses that deviate from the Object
// API.
func TestProtocol(t *testing.T) {
	is := is.New(t)
	var seen atomic.Value
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		seen.Store(fmt.Sprint(r.Method, " ", r.URL.RequestURI(), " ", r.Header.Get("If-Match"),
			r.Header.Get("If-None-Match"), " ", r.Header.Get("X-Wax-Instance")))
		w.Header().Set("ETag", `"8"`)
		switch {
		case r.URL.Path == "/instances":
			_, _ = w.Write([]byte(`{"routers":[{"id":"r","failure-domain":"d","peer-address":"a:1","state":"live"}],"backend-servers":[{"id":"b","service":"s","failure-domain":"d","address":"a:2","state":"leaving"}]}`))
		case r.URL.Path == "/objects/claim":
			_, _ = w.Write([]byte(`{"objects":[{"name":"n","version":7,"value":"dg=="}]}`))
		case r.Method == http.MethodDelete:
			w.WriteHeader(http.StatusNoContent)
		case r.URL.Query().Get("after") == "9" || r.URL.Query().Get("after") == "0":
			w.WriteHeader(http.StatusNotModified)
		default:
			_, _ = w.Write([]byte("v"))
		}
	}))
	defer s.Close()
	ctx := t.Context()
	c := NewClient(s.URL+"/", "r1", nil)
	want := waxfleet.NewObject("lease.d", "a/b", []byte("v"), 8)
	check := func(o waxfleet.Object, err error, request string) {
		t.Helper()
		is.NoErr(err)
		is.Equal(o, want)
		is.Equal(seen.Load(), request)
	}
	o, err := c.Get(ctx, "lease.d", "a/b")
	check(o, err, "GET /objects/lease.d/a%2Fb  r1")
	o, err = c.Put(ctx, "lease.d", "a/b", []byte("v"), 0)
	check(o, err, "PUT /objects/lease.d/a%2Fb * r1")
	o, err = c.Put(ctx, "lease.d", "a/b", []byte("v"), 7)
	check(o, err, `PUT /objects/lease.d/a%2Fb "7" r1`)
	o, err = c.Watch(ctx, "lease.d", "a/b", 7)
	check(o, err, "GET /objects/lease.d/a%2Fb?after=7&wait-ms=25000  r1")
	o, err = c.Watch(ctx, "lease.d", "a/b", 9)
	check(o, err, "GET /objects/lease.d/a%2Fb  r1") // the wait ended without a newer version
	_, err = c.Watch(ctx, "lease.d", "a/b", 0)
	is.Equal(waxfleet.CodeOf(err), waxfleet.CodeObjectNotFound)
	is.NoErr(c.Delete(ctx, "claim", "n", 7))
	is.Equal(seen.Load(), `DELETE /objects/claim/n "7" r1`)
	list, err := c.List(ctx, "claim")
	is.NoErr(err)
	is.Equal(list, []waxfleet.Object{waxfleet.NewObject("claim", "n", []byte("v"), 7)})
	routers, servers, err := c.ListInstances(ctx)
	is.NoErr(err)
	is.Equal(routers, []waxfleet.Instance{waxfleet.NewInstance("r", "d", "a:1", waxfleet.StateLive)})
	is.Equal(servers, []waxfleet.BackendServer{waxfleet.NewBackendServer("b", "s", "d", "a:2", waxfleet.StateLeaving)})
	_, err = c.Put(ctx, "claim", "n", make([]byte, waxfleet.MaxObjectBytes+1), 0)
	is.Equal(waxfleet.CodeOf(err), waxfleet.CodeBodyTooLarge)
}

// failingStore is a store whose writes return a code; CodeOK means success.
type failingStore struct {
	waxfleet.ObjectStore
	code  waxfleet.Code
	calls *int
}

func (f failingStore) Put(context.Context, string, string, []byte, uint64) (waxfleet.Object, error) {
	*f.calls++
	if f.code == waxfleet.CodeOK {
		return waxfleet.Object{}, nil
	}
	return waxfleet.Object{}, waxfleet.NewError(f.code, "fault")
}

// TestFallback guards against resending through a relay a write that may have taken
// effect.
func TestFallback(t *testing.T) {
	const down = waxfleet.CodePlatformUnreachable
	for _, c := range []struct {
		primary waxfleet.Code
		relays  []waxfleet.Code
		want    waxfleet.Code
		calls   int
	}{
		{waxfleet.CodeOK, []waxfleet.Code{waxfleet.CodeOK}, waxfleet.CodeOK, 1},
		{waxfleet.CodePlatformUnknown, []waxfleet.Code{waxfleet.CodeOK}, waxfleet.CodePlatformUnknown, 1},
		{waxfleet.CodePlatformRateLimited, []waxfleet.Code{waxfleet.CodeOK}, waxfleet.CodePlatformRateLimited, 1},
		{down, nil, down, 1},
		{down, []waxfleet.Code{waxfleet.CodeOK, waxfleet.CodeOK}, waxfleet.CodeOK, 2},
		{down, []waxfleet.Code{down, waxfleet.CodeObjectConflict}, waxfleet.CodeObjectConflict, 3},
		{down, []waxfleet.Code{waxfleet.CodePlatformUnknown, waxfleet.CodeOK}, waxfleet.CodePlatformUnknown, 2},
		{down, []waxfleet.Code{down, down, waxfleet.CodeOK}, down, 3},
	} {
		is := is.New(t)
		calls := 0
		relays := func() (stores []waxfleet.ObjectStore) {
			for _, code := range c.relays {
				stores = append(stores, failingStore{code: code, calls: &calls})
			}
			return stores
		}
		_, err := NewFallback(failingStore{code: c.primary, calls: &calls}, relays).Put(t.Context(), "k", "n", nil, 0)
		is.Equal(waxfleet.CodeOf(err), c.want)
		is.Equal(calls, c.calls)
	}
}

// TestUnchangedInstanceListIsNotResent guards against a stale instance list after a
// change, and against transferring the full list on each read of an unchanged one.
func TestUnchangedInstanceListIsNotResent(t *testing.T) {
	is := is.New(t)
	tag, id, full := `"t1"`, "b1", 0
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if tag != "" {
			w.Header().Set("ETag", tag)
		}
		if tag != "" && r.Header.Get("If-None-Match") == tag {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		full++
		_, _ = fmt.Fprintf(w, `{"backend-servers":[{"id":%q}]}`, id)
	}))
	defer s.Close()
	c := NewClient(s.URL, "i", nil)
	read := func(want string, reads int) {
		t.Helper()
		_, servers, err := c.ListInstances(t.Context())
		is.NoErr(err)
		is.Equal(len(servers), 1)
		is.Equal(servers[0].ID(), want)
		is.Equal(full, reads)
		servers[0] = waxfleet.BackendServer{} // the caller may modify the returned slice
	}
	read("b1", 1)
	read("b1", 1)
	tag, id = `"t2"`, "b2"
	read("b2", 2)
	read("b2", 2)
	tag, id = "", "b3" // a platform that sends no ETag
	read("b3", 3)
	read("b3", 4)
}
