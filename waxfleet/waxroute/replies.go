package waxroute

import (
	"bytes"
	"encoding/json"
	"net"

	"github.com/cockroachdb/errors"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxwire"
)

// replyForwarder receives the replies of one attempt and writes the response to the
// caller.
type replyForwarder struct {
	state     *requestState
	router    *Router
	redirect  *waxwire.Redirect
	refusal   *waxwire.Refusal
	ended     bool
	callerErr error
}

// Send implements waxowner.ReplyStream.
func (f *replyForwarder) Send(reply *waxwire.ServeReply) error {
	switch part := reply.GetPart().(type) {
	case *waxwire.ServeReply_Head:
		return f.forwardHead(part.Head)
	case *waxwire.ServeReply_Body:
		return f.forwardBody(part.Body)
	case *waxwire.ServeReply_End:
		f.ended = true
	case *waxwire.ServeReply_Redirect:
		f.redirect = part.Redirect
	case *waxwire.ServeReply_Refusal:
		f.refusal = part.Refusal
	}
	return nil
}

func (f *replyForwarder) forwardHead(h *waxwire.Head) error {
	if f.state.headSent {
		return nil // the caller already has the head from an earlier attempt
	}
	f.state.headSent = true
	f.callerErr = f.state.response.Head(int(h.GetStatus()), h.GetContentType(), h.GetBackendServer())
	return f.callerErr
}

func (f *replyForwarder) forwardBody(part []byte) error {
	f.state.bufferStream(part)
	f.callerErr = f.state.response.Body(part)
	f.state.endMarkerSent = f.state.endMarkerSent || (f.state.Stream && f.callerErr == nil && bytes.HasSuffix(part, endMarkerEvent))
	return f.callerErr
}

// bufferStream appends to the buffered stream, so that another engine can continue
// it.
func (rs *requestState) bufferStream(part []byte) {
	if !rs.Stream || rs.bufferDropped {
		return
	}
	if len(rs.streamed)+len(part) > maxBufferedBytes {
		rs.bufferDropped, rs.streamed = true, nil
		return
	}
	rs.streamed = append(rs.streamed, part...)
	rs.eventCount += int64(countEvents(part))
}

// canContinue reports whether another engine can continue a partly sent response.
func (rs *requestState) canContinue() bool { return rs.Stream && !rs.Once && !rs.bufferDropped }

var (
	eventEnd       = []byte("\n\n")
	dataPrefix     = []byte("data:")
	endMarker      = []byte("[DONE]")
	endMarkerEvent = []byte("data: [DONE]\n\n")
)

// countEvents returns the number of data events in a part, without the end marker.
func countEvents(part []byte) int {
	n := 0
	for _, event := range bytes.Split(part, eventEnd) {
		if _, ok := eventData(event); ok {
			n++
		}
	}
	return n
}

// eventData returns the data of a server-sent event. It returns false if the event has
// no data or is the end marker.
func eventData(event []byte) ([]byte, bool) {
	for _, line := range bytes.Split(event, []byte("\n")) {
		data, ok := bytes.CutPrefix(line, dataPrefix)
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		return data, !bytes.Equal(data, endMarker)
	}
	return nil, false
}

type streamChunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

// streamedText returns the text of the buffered stream.
func (rs *requestState) streamedText() (string, error) {
	var out bytes.Buffer
	for _, event := range bytes.Split(rs.streamed, eventEnd) {
		data, ok := eventData(event)
		if !ok {
			continue
		}
		var chunk streamChunk
		if err := json.Unmarshal(data, &chunk); err != nil {
			return "", err
		}
		for _, choice := range chunk.Choices {
			out.WriteString(choice.Delta.Content)
		}
	}
	return out.String(), nil
}

// setContinuation turns the request into a continuation if the caller already has
// part of the stream: the text so far becomes a final partial message of the
// assistant.
func (rs *requestState) setContinuation(req *waxwire.ServeRequest) error {
	if rs.eventCount == 0 {
		return nil
	}
	text, err := rs.streamedText()
	if err != nil {
		return waxfleet.WrapError(err, waxfleet.CodeStreamIncomplete, "the stream broke and can't be continued: a chunk is not valid JSON").WithoutNotRun()
	}
	body, err := continuationBody(rs.Body, text)
	if err != nil {
		return waxfleet.WrapError(err, waxfleet.CodeStreamIncomplete, "the stream broke and can't be continued").WithoutNotRun()
	}
	req.Body, req.ResumeFrom = body, rs.eventCount
	return nil
}

func continuationBody(body []byte, text string) ([]byte, error) {
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

// isDialError reports whether the connection to the peer could not be opened, in
// which case no part of the request has reached it.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
