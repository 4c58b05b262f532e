package waxobject

import (
	"context"

	"connectrpc.com/connect"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxwire"
	"waxwingdrift.org/waxfleet/waxwire/waxwireconnect"
)

// Verbs of ObjectCall.
const (
	verbGet    = "get"
	verbPut    = "put"
	verbDelete = "delete"
	// verbInstances reads the instance list.
	verbInstances = "instances"
)

// Relay is a client of the Object API and the instance list that uses a peer as a
// proxy. List and Watch are not supported: an instance that can't reach the
// platform receives changes by digests.
type Relay struct {
	peer waxwireconnect.PeerClient
}

// NewRelay returns a Relay that sends its calls to peer.
func NewRelay(peer waxwireconnect.PeerClient) *Relay { return &Relay{peer: peer} }

// Get implements waxfleet.ObjectStore.
func (r *Relay) Get(ctx context.Context, kind, name string) (waxfleet.Object, error) {
	return r.call(ctx, &waxwire.ObjectCall{Verb: verbGet, Kind: kind, Name: name})
}

// Put implements waxfleet.ObjectStore.
func (r *Relay) Put(ctx context.Context, kind, name string, value []byte, version uint64) (waxfleet.Object, error) {
	return r.call(ctx, &waxwire.ObjectCall{Verb: verbPut, Kind: kind, Name: name, Value: value, Version: version})
}

// Delete implements waxfleet.ObjectStore.
func (r *Relay) Delete(ctx context.Context, kind, name string, version uint64) error {
	_, err := r.call(ctx, &waxwire.ObjectCall{Verb: verbDelete, Kind: kind, Name: name, Version: version})
	return err
}

// List returns CodePlatformUnreachable.
func (r *Relay) List(context.Context, string) ([]waxfleet.Object, error) {
	return nil, waxfleet.NewError(waxfleet.CodePlatformUnreachable, "relays do not support lists")
}

// Watch returns CodePlatformUnreachable.
func (r *Relay) Watch(context.Context, string, string, uint64) (waxfleet.Object, error) {
	return waxfleet.Object{}, waxfleet.NewError(waxfleet.CodePlatformUnreachable, "relays do not support watches")
}

// ListInstances implements waxfleet.InstanceLister.
func (r *Relay) ListInstances(ctx context.Context) ([]waxfleet.Instance, []waxfleet.BackendServer, error) {
	o, err := r.call(ctx, &waxwire.ObjectCall{Verb: verbInstances})
	if err != nil {
		return nil, nil, err
	}
	return parseInstances(o.Value())
}

// call sends one object call to the peer. A write without a response returns
// CodePlatformUnknown.
func (r *Relay) call(ctx context.Context, c *waxwire.ObjectCall) (waxfleet.Object, error) {
	reply, err := r.peer.RelayObject(ctx, connect.NewRequest(c))
	if err != nil {
		if c.GetVerb() == verbGet || c.GetVerb() == verbInstances {
			return waxfleet.Object{}, waxfleet.WrapError(err, waxfleet.CodePlatformUnreachable, "relay failed")
		}
		return waxfleet.Object{}, waxfleet.WrapError(err, waxfleet.CodePlatformUnknown, "relay failed; the write may have taken effect")
	}
	if code := waxfleet.Code(reply.Msg.GetCode()); code != waxfleet.CodeOK {
		return waxfleet.Object{}, waxfleet.NewError(code, "%s", reply.Msg.GetMessage())
	}
	return waxfleet.NewObject(c.GetKind(), c.GetName(), reply.Msg.GetValue(), reply.Msg.GetVersion()), nil
}

// ServeRelay performs a call on behalf of a peer. Errors are part of the result.
func ServeRelay(ctx context.Context, store *Client, c *waxwire.ObjectCall) *waxwire.ObjectResult {
	var o waxfleet.Object
	var err error
	switch c.GetVerb() {
	case verbInstances:
		var list []byte
		list, err = store.rawInstances(ctx)
		o = waxfleet.NewObject("", "", list, 0)
	case verbGet:
		o, err = store.Get(ctx, c.GetKind(), c.GetName())
	case verbPut:
		o, err = store.Put(ctx, c.GetKind(), c.GetName(), c.GetValue(), c.GetVersion())
	case verbDelete:
		err = store.Delete(ctx, c.GetKind(), c.GetName(), c.GetVersion())
	default:
		err = waxfleet.NewError(waxfleet.CodeInternal, "unknown verb %q", c.GetVerb())
	}
	if err != nil {
		return &waxwire.ObjectResult{Code: int32(waxfleet.CodeOf(err)), Message: err.Error()}
	}
	return &waxwire.ObjectResult{Value: o.Value(), Version: o.Version()}
}
