package main

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"sync"

	"waxwingdrift.org/waxfleet"
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

// queryRouters queries the routers and returns their replies in order of router ID,
// failed queries included, which it also reports on standard error.
//
// Errors: CodePeerUnreachable if there are routers and none responds.
func queryRouters[T any](ctx context.Context, a *app, routers []waxfleet.Instance, query func(context.Context, waxwireconnect.PeerClient) (T, error)) ([]routerReply[T], error) {
	client := newPeerHTTPClient()
	defer client.CloseIdleConnections()
	return queryAll(ctx, a, "router", routers, func(ctx context.Context, url string) (T, error) {
		return query(ctx, waxwireconnect.NewPeerClient(client, url))
	})
}

// queryAll is queryRouters with a query function that gets the URL of the router.
// kind is what messages and errors call a router.
//
// Errors: CodePeerUnreachable if there are routers and none responds.
func queryAll[T any](ctx context.Context, a *app, kind string, routers []waxfleet.Instance, query func(ctx context.Context, url string) (T, error)) ([]routerReply[T], error) {
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
	p, err := a.platform()
	if err != nil {
		return nil, nil, err
	}
	return p.ListInstances(ctx)
}

// newPeerHTTPClient returns a client for unencrypted HTTP/2, which routers use among
// each other.
func newPeerHTTPClient() *http.Client {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Client{Transport: &http.Transport{Protocols: protocols}}
}
