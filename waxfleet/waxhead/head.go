// Package waxhead reads HTTP/1.1 responses strictly. net/http accepts heads that are no HTTP: a
// status below 100, which it takes for an interim response, or a field whose name holds a blank,
// which it keeps and does not interpret, even if the name is that of the framing.
//
// All clients of this product read responses through this package, either from a connection of
// their own (ReadResponse) or through net/http (Transport).
package waxhead

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"net/textproto"

	"golang.org/x/net/http/httpguts"

	"waxwingdrift.org/waxfleet"
)

const (
	// minStatus and maxStatus are the lowest and the highest status of a final response, and
	// minInterimStatus the lowest one of an interim response.
	minInterimStatus = 100
	minStatus        = 200
	maxStatus        = 599
	// maxInterimResponses is the maximum number of interim responses before the final one.
	maxInterimResponses = 5
)

// ReadResponse reads a final response to a request with the method, and skips interim ones. The
// body ends with an error if its trailer is malformed.
//
// Errors: CodeAnswerMismatch when the head is not that of a response of HTTP/1.1; those of
// http.ReadResponse.
func ReadResponse(r *bufio.Reader, method string) (*http.Response, error) {
	for range maxInterimResponses + 1 {
		resp, err := http.ReadResponse(r, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if err := check(resp.ProtoMajor, resp.StatusCode, resp.Header); err != nil {
			return nil, err
		}
		if resp.StatusCode >= minStatus {
			if len(resp.TransferEncoding) > 0 {
				resp.Body = &chunkedBody{ReadCloser: resp.Body, resp: resp}
			}
			return resp, nil
		}
	}
	return nil, errTooManyInterim()
}

func errTooManyInterim() error {
	return waxfleet.NewError(waxfleet.CodeAnswerMismatch, "more than %d interim responses", maxInterimResponses)
}

func errStatus(status int) error {
	return waxfleet.NewError(waxfleet.CodeAnswerMismatch, "response with status %03d", status)
}

// check checks the head of a response, which may be an interim one.
func check(protoMajor, status int, h http.Header) error {
	switch {
	case protoMajor != 1:
		return waxfleet.NewError(waxfleet.CodeAnswerMismatch, "response of HTTP version %d", protoMajor)
	case status < minInterimStatus || status > maxStatus || status == http.StatusSwitchingProtocols:
		return errStatus(status)
	}
	return checkNames(h, "field")
}

// checkNames checks the names of the fields of a head or a trailer.
func checkNames(h http.Header, what string) error {
	for name := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return waxfleet.NewError(waxfleet.CodeAnswerMismatch, "response with a %s named %q", what, name)
		}
	}
	return nil
}

// chunkedBody is the body of a response that may have a trailer.
type chunkedBody struct {
	io.ReadCloser
	resp *http.Response
}

// Read implements io.Reader.
//
// Errors: CodeAnswerMismatch at the end of the body when the trailer is malformed.
func (b *chunkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	var malformed textproto.ProtocolError
	switch {
	case errors.As(err, &malformed):
		err = waxfleet.WrapError(err, waxfleet.CodeAnswerMismatch, "response with a malformed trailer")
	case errors.Is(err, io.EOF):
		if trailerErr := checkNames(b.resp.Trailer, "trailer field"); trailerErr != nil {
			err = trailerErr
		}
	}
	return n, err
}
