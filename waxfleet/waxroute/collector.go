package waxroute

import (
	"bytes"
	"encoding/json"
	"net"

	"github.com/cockroachdb/errors"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxwire"
)

// collector takes the replies of one attempt and passes the answer on.
type collector struct {
	run       *run
	router    *Router
	redirect  *waxwire.Redirect
	refusal   *waxwire.Refusal
	ended     bool
	callerErr error
}

// Send implements waxowner.ReplyStream.
func (c *collector) Send(reply *waxwire.ServeReply) error {
	switch part := reply.GetPart().(type) {
	case *waxwire.ServeReply_Head:
		return c.head(part.Head)
	case *waxwire.ServeReply_Body:
		return c.body(part.Body)
	case *waxwire.ServeReply_End:
		c.ended = true
	case *waxwire.ServeReply_Redirect:
		c.redirect = part.Redirect
	case *waxwire.ServeReply_Refusal:
		c.refusal = part.Refusal
	}
	return nil
}

func (c *collector) head(h *waxwire.Head) error {
	if c.run.began {
		return nil // the caller has the head of an earlier attempt
	}
	c.run.began = true
	c.callerErr = c.run.answer.Head(int(h.GetStatus()), h.GetContentType(), h.GetBackendServer())
	return c.callerErr
}

func (c *collector) body(part []byte) error {
	c.run.keep(part)
	c.callerErr = c.run.answer.Body(part)
	c.run.finished = c.run.finished || (c.run.Stream && c.callerErr == nil && bytes.HasSuffix(part, doneEvent))
	return c.callerErr
}

// keep remembers the stream so far, so that another engine can continue it.
func (u *run) keep(part []byte) {
	if !u.Stream || u.dropped {
		return
	}
	if len(u.partial)+len(part) > partialLimit {
		u.dropped, u.partial = true, nil
		return
	}
	u.partial = append(u.partial, part...)
	u.events += int64(countEvents(part))
}

// canContinue reports whether a begun answer can go on at another engine.
func (u *run) canContinue() bool { return u.Stream && !u.Once && !u.dropped }

var (
	eventEnd   = []byte("\n\n")
	dataPrefix = []byte("data:")
	streamDone = []byte("[DONE]")
	doneEvent  = []byte("data: [DONE]\n\n")
)

// countEvents counts the data events of a part, without the end marker.
func countEvents(part []byte) int {
	n := 0
	for _, event := range bytes.Split(part, eventEnd) {
		if _, ok := eventData(event); ok {
			n++
		}
	}
	return n
}

func eventData(event []byte) ([]byte, bool) {
	for _, line := range bytes.Split(event, []byte("\n")) {
		data, ok := bytes.CutPrefix(line, dataPrefix)
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		return data, !bytes.Equal(data, streamDone)
	}
	return nil, false
}

type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

// text returns the text of the stream so far.
func (u *run) text() (string, error) {
	var out bytes.Buffer
	for _, event := range bytes.Split(u.partial, eventEnd) {
		data, ok := eventData(event)
		if !ok {
			continue
		}
		var c chunk
		if err := json.Unmarshal(data, &c); err != nil {
			return "", err
		}
		for _, choice := range c.Choices {
			out.WriteString(choice.Delta.Content)
		}
	}
	return out.String(), nil
}

// continueFrom turns the attempt into a continuation when the caller already has
// a part of the stream: the text so far becomes a final partial message of the
// assistant.
func (u *run) continueFrom(req *waxwire.ServeRequest) error {
	if u.events == 0 {
		return nil
	}
	text, err := u.text()
	if err != nil {
		return waxfleet.WrapError(err, waxfleet.CodeStreamIncomplete, "the stream broke and its text can't be read to continue it").MaybeRun()
	}
	body, err := continuedBody(u.Body, text)
	if err != nil {
		return waxfleet.WrapError(err, waxfleet.CodeStreamIncomplete, "the stream broke and can't be continued").MaybeRun()
	}
	req.Body, req.ResumeFrom = body, u.events
	return nil
}

func continuedBody(body []byte, text string) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, err
	}
	var messages []json.RawMessage
	if err := json.Unmarshal(fields["messages"], &messages); err != nil {
		return nil, err
	}
	partial, err := json.Marshal(struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}{"assistant", text})
	if err != nil {
		return nil, err
	}
	all, err := json.Marshal(append(messages, partial))
	if err != nil {
		return nil, err
	}
	fields["messages"] = all
	fields["continue_final_message"] = json.RawMessage("true")
	return json.Marshal(fields)
}

// notConnected reports whether the connection to the peer could not be opened,
// so that nothing of the request can have reached it.
func notConnected(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
