package main

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"sync"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxhead"
	"waxwingdrift.org/waxfleet/waxwire/waxwireconnect"
)

// maxConcurrentQueries bounds the number of routers queried at the same time.
const maxConcurrentQueries = 32

// routerReply is the reply of one router, or the error of the query.
type routerReply[T any] struct {
	router waxfleet.Instance
	value  T
	err    error
}

// queryRouters queries the routers and returns one reply for each, sorted by router
// ID. It also reports failed queries on standard error.
//
// Errors: CodePeerUnreachable if there are routers and none responds.
func queryRouters[T any](
	ctx context.Context, a *app, routers []waxfleet.Instance,
	query func(context.Context, waxwireconnect.PeerClient) (T, error),
) ([]routerReply[T], error) {
	client := newPeerHTTPClient()
	defer client.CloseIdleConnections()
	return queryAll(ctx, a, "router", routers, func(ctx context.Context, url string) (T, error) {
		return query(ctx, waxwireconnect.NewPeerClient(client, url))
	})
}

// queryAll does the same as queryRouters, but query gets the base URL of a router
// instead of a client. kind is the word for a router in messages and errors.
//
// Errors: CodePeerUnreachable if there are routers and none responds.
func queryAll[T any](
	ctx context.Context, a *app, kind string, routers []waxfleet.Instance,
	query func(ctx context.Context, url string) (T, error),
) ([]routerReply[T], error) {
	replies := make([]routerReply[T], len(routers))
	semaphore := make(chan struct{}, maxConcurrentQueries)
	var wg sync.WaitGroup
	for i, r := range routers {
		semaphore <- struct{}{}
		wg.Go(func() {
			defer func() { <-semaphore }()
			value, err := query(ctx, "http://"+r.PeerAddress())
			replies[i] = routerReply[T]{router: r, value: value, err: err}
		})
	}
	wg.Wait()
	slices.SortFunc(replies, func(x, y routerReply[T]) int { return cmp.Compare(x.router.ID(), y.router.ID()) })
	failed := 0
	for _, reply := range replies {
		if reply.err != nil {
			failed++
			a.logf("%s %s at %s did not respond: %v", kind, reply.router.ID(), reply.router.PeerAddress(), reply.err)
		}
	}
	if failed == len(replies) && failed > 0 {
		return replies, waxfleet.NewError(waxfleet.CodePeerUnreachable, "none of %d %ss responded", failed, kind)
	}
	return replies, nil
}

// listInstances returns the routers and backend servers of the instance list.
func (a *app) listInstances(ctx context.Context) ([]waxfleet.Instance, []waxfleet.BackendServer, error) {
	client, err := a.newPlatformClient()
	if err != nil {
		return nil, nil, err
	}
	return client.ListInstances(ctx)
}

// newPeerHTTPClient returns a client for unencrypted HTTP/2, the protocol between
// routers.
func newPeerHTTPClient() *http.Client {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Client{Transport: waxhead.NewTransport(&http.Transport{Protocols: protocols})}
}

// newInspectionHTTPClient returns a client for HTTP/1.1, the protocol of the routers on the users'
// platform.
func newInspectionHTTPClient() *http.Client {
	return &http.Client{Transport: waxhead.NewTransport(&http.Transport{Proxy: http.ProxyFromEnvironment})}
}
