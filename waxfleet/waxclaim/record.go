package waxclaim

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"waxwingdrift.org/waxfleet"
)

// maxResultBytes is the largest stored result: the largest object less 16 KiB
// for the fields of the claim.
const maxResultBytes = waxfleet.MaxObjectBytes - 16<<10

// maxContentTypeBytes bounds a content type in bytes, to keep the fields of a
// claim within their 16 KiB. Usual content types are far shorter.
const maxContentTypeBytes = 1 << 10

type state string

const (
	stateRunning  state = "running"
	stateDone     state = "done"
	stateReleased state = "released"
)

// record is the value of a claim object. It is stored as one line of JSON
// followed by the raw body of the result. Base64 inside the JSON would enlarge
// the body beyond the object size limit.
type record struct {
	Token         string          `json:"attempt-token"`
	Holder        string          `json:"holder"`
	RequestDigest string          `json:"request-digest"`
	State         state           `json:"state"`
	Created       waxfleet.Millis `json:"created"`
	// Abandoned marks a running claim that will get no result.
	Abandoned bool    `json:"abandoned,omitempty"`
	Result    *result `json:"result,omitempty"`
}

type result struct {
	Status      int    `json:"status"`
	ContentType string `json:"content-type"`
	// Digest is the SHA-256 of a body that is too large to store.
	Digest string `json:"digest,omitempty"`

	body []byte
}

func newResult(status int, contentType string, body []byte) *result {
	r := &result{Status: status, ContentType: contentType, body: body}
	if len(r.ContentType) > maxContentTypeBytes {
		r.ContentType = ""
	}
	if len(body) > maxResultBytes {
		sum := sha256.Sum256(body)
		r.Digest = hex.EncodeToString(sum[:])
		r.body = nil
	}
	return r
}

func (r record) encode() ([]byte, error) {
	value, err := json.Marshal(r)
	if err != nil {
		return nil, err
	}
	value = append(value, '\n')
	if r.Result != nil {
		value = append(value, r.Result.body...)
	}
	return value, nil
}

func decode(value []byte) (record, error) {
	var r record
	head, body, ok := bytes.Cut(value, []byte{'\n'})
	if !ok {
		return record{}, errors.New("the claim has no newline after its JSON fields")
	}
	if err := json.Unmarshal(head, &r); err != nil {
		return record{}, err
	}
	switch r.State {
	case stateRunning, stateReleased:
	case stateDone:
		if r.Result == nil {
			return record{}, errors.New("the claim has state done but no result")
		}
		r.Result.body = body
	default:
		return record{}, errors.Newf("the claim has the unknown state %q", r.State)
	}
	return r, nil
}
