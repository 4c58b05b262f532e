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

// maxParallelAsks bounds the routers that are asked at the same time.
const maxParallelAsks = 32

// routerAnswer is what one router said, or why it said nothing.
type routerAnswer[T any] struct {
	router waxfleet.Instance
	value  T
	err    error
}

// askRouters asks all routers of the instance list and returns their answers by
// router id. It notes those that do not answer.
//
// Errors: CodePeerUnreachable when no router answers.
func askRouters[T any](ctx context.Context, a *app, routers []waxfleet.Instance, ask func(context.Context, waxwireconnect.PeerClient) (T, error)) ([]routerAnswer[T], error) {
	client := newPeerHTTPClient()
	defer client.CloseIdleConnections()
	return askAll(ctx, a, "router", routers, func(ctx context.Context, url string) (T, error) {
		return ask(ctx, waxwireconnect.NewPeerClient(client, url))
	})
}

// askAll asks all routers at their URLs, a bounded number at a time. kind names them
// in notes and errors.
//
// Errors: CodePeerUnreachable when there are routers and none answers.
func askAll[T any](ctx context.Context, a *app, kind string, routers []waxfleet.Instance, ask func(ctx context.Context, url string) (T, error)) ([]routerAnswer[T], error) {
	answers := make([]routerAnswer[T], len(routers))
	slots := make(chan struct{}, maxParallelAsks)
	var wg sync.WaitGroup
	for i, r := range routers {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			value, err := ask(ctx, "http://"+r.PeerAddress())
			answers[i] = routerAnswer[T]{router: r, value: value, err: err}
		})
	}
	wg.Wait()
	slices.SortFunc(answers, func(x, y routerAnswer[T]) int { return cmp.Compare(x.router.ID(), y.router.ID()) })
	silent := 0
	for _, answer := range answers {
		if answer.err != nil {
			silent++
			a.note("%s %s at %s does not answer: %v", kind, answer.router.ID(), answer.router.PeerAddress(), answer.err)
		}
	}
	if silent == len(answers) && silent > 0 {
		return answers, waxfleet.NewError(waxfleet.CodePeerUnreachable, "none of %d %ss answers", silent, kind)
	}
	return answers, nil
}

// listInstances returns the routers and backend servers of the instance list.
func (a *app) listInstances(ctx context.Context) ([]waxfleet.Instance, []waxfleet.BackendServer, error) {
	p, err := a.platform()
	if err != nil {
		return nil, nil, err
	}
	return p.ListInstances(ctx)
}

// newPeerHTTPClient speaks HTTP/2 without TLS, as routers do between each other.
func newPeerHTTPClient() *http.Client {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Client{Transport: &http.Transport{Protocols: protocols}}
}
