package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/textproto"
	"slices"
	"strings"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxwire"
	"waxwingdrift.org/waxfleet/waxwire/waxwireconnect"
)

func init() { register(newPlace) }

// placeFlags are the flags of the place command.
type placeFlags struct {
	store, instance          string
	all                      bool
	file, method, host, path string
	key                      string
	headers                  []string
}

// placeReport is the output of the place command.
type placeReport struct {
	// Agree is true if all instances that responded give the same answer: the same route,
	// workspace, result code and first server.
	Agree     bool       `json:"agree"`
	Instances []placeRow `json:"instances"`
}

// placeRow is what one instance would do with the request. It never holds the key.
type placeRow struct {
	Instance      string `json:"instance"`
	Answers       bool   `json:"answers"`
	ConfigVersion uint64 `json:"config-version"`
	Route         string `json:"route"`
	Service       string `json:"service"`
	Workspace     string `json:"workspace"`
	// Priority is -1 if the request has none, because it is rejected before.
	Priority  int32 `json:"priority"`
	TimeoutMs int64 `json:"timeout-ms"`
	// Code is 0 if the request would be sent.
	Code         int32  `json:"code"`
	Outcome      string `json:"outcome"`
	Message      string `json:"message"`
	Status       int32  `json:"status"`
	RetryAfterMs int64  `json:"retry-after-ms"`
	// PinnedVersion is the software version at which the stream goes on; null if any may.
	PinnedVersion *string       `json:"pinned-version"`
	SharedTokens  uint32        `json:"shared-tokens"`
	PromptTokens  uint32        `json:"prompt-tokens"`
	MeanLoad      float64       `json:"mean-load"`
	LoadLimit     uint32        `json:"load-limit"`
	PredictedMs   *int64        `json:"predicted-ms"`
	Eligible      []placeServer `json:"eligible"`
	Excluded      []placeServer `json:"excluded"`
}

// placeServer is a server with the terms that decided. Pace, WorkLeft and PredictedMs are null if
// they are not known.
type placeServer struct {
	ID              string   `json:"id"`
	FailureDomain   string   `json:"failure-domain"`
	SoftwareVersion string   `json:"software-version"`
	Reason          string   `json:"reason"`
	Load            uint32   `json:"load"`
	Slots           uint32   `json:"slots"`
	PendingTokens   uint32   `json:"pending-tokens"`
	CachedTokens    uint32   `json:"cached-tokens"`
	Flags           []string `json:"flags"`
	Pace            *float64 `json:"pace"`
	WorkLeft        *float64 `json:"work-left"`
	PredictedMs     *int64   `json:"predicted-ms"`
}

func newPlace(a *app) *cobra.Command {
	var f placeFlags
	c := &cobra.Command{
		Use:   "place (--instance NAME | --all) [--file FILE | --host HOST --path PATH]",
		Short: "Show where a request would go now, and why, without sending it",
		Args:  usageArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if f.all == (f.instance != "") {
				return newUsageError(errors.New("one of the flags --instance and --all is required, and not both"))
			}
			head, err := a.readPlaceRequest(f)
			if err != nil {
				return err
			}
			replies, err := a.fetchPlacements(cmd.Context(), f, head)
			if err != nil {
				return err
			}
			report := newPlaceReport(replies)
			return a.emit(report, func(w io.Writer) { writePlaceReport(w, report) })
		},
	}
	flags := c.Flags()
	flags.StringVar(&f.store, flagStore, "", "address of the platform's metadata store, ip:port (WAX_STORE)")
	flags.StringVar(&f.instance, "instance", "", "name of the instance to ask")
	flags.BoolVar(&f.all, "all", false, "ask all registered instances, and say whether they agree")
	flags.StringVar(&f.file, "file", "", "file with a request head, as HTTP/1.1 has it; - for standard input")
	flags.StringVar(&f.method, "method", http.MethodPost, "method of the request")
	flags.StringVar(&f.host, "host", "", "host of the request")
	flags.StringVar(&f.path, "path", "", "path and query of the request")
	flags.StringVar(&f.key, "key", "", "API key; other users of the machine can see flags, so a file is safer")
	flags.StringArrayVar(&f.headers, "header", nil, `header field, "Name: value"; may be repeated`)
	return c
}

// readPlaceRequest returns the head of the request from the file and the flags, which replace
// what the file says.
//
// Errors: usageError, CodeObjectNotFound.
func (a *app) readPlaceRequest(f placeFlags) (*waxwire.PlaceRequest, error) {
	r := &http.Request{Method: f.method, Header: http.Header{}}
	if f.file != "" {
		raw, err := a.readFile(f.file)
		if err != nil {
			return nil, err
		}
		// The empty line after the head may be missing.
		raw = append(bytes.TrimRight(raw, "\r\n"), "\r\n\r\n"...)
		if r, err = http.ReadRequest(bufio.NewReader(bytes.NewReader(raw))); err != nil {
			// The error of the parser may quote the file, and so the key.
			return nil, newUsageError(errors.Newf("--file: %s does not hold the head of an HTTP/1.1 request", f.file))
		}
	}
	if f.host != "" {
		r.Host = f.host
	}
	if f.path != "" {
		r.RequestURI = f.path
	}
	for i, field := range f.headers {
		name, value, ok := strings.Cut(field, ":")
		if name = strings.TrimSpace(name); !ok || name == "" {
			return nil, newUsageError(errors.Newf("--header: field %d has no name and colon; allowed: \"Name: value\"", i+1))
		}
		r.Header.Set(name, strings.TrimSpace(value))
	}
	if f.key != "" {
		r.Header.Set(keyHeader(f.key))
	}
	if r.Host == "" || !strings.HasPrefix(r.RequestURI, "/") {
		return nil, newUsageError(errors.New("--host and --path, or --file, are required; a path begins with a slash"))
	}
	head := &waxwire.PlaceRequest{Method: r.Method, Host: r.Host, Target: r.RequestURI}
	for name, values := range r.Header {
		for _, v := range values {
			head.Header = append(head.Header, &waxwire.HeaderField{Name: textproto.CanonicalMIMEHeaderKey(name), Value: v})
		}
	}
	return head, nil
}

// fetchPlacements asks the instances.
//
// Errors: CodeObjectNotFound if the named instance is not registered; CodePeerUnreachable if
// none responds; those of listRegistered.
func (a *app) fetchPlacements(ctx context.Context, f placeFlags, head *waxwire.PlaceRequest) ([]routerReply[*waxwire.PlaceReply], error) {
	ctx, cancel := a.withTimeout(ctx)
	defer cancel()
	store := f.store
	if store == "" {
		store = a.settings.GetString(flagStore)
	}
	instances, err := a.listRegistered(ctx, store)
	if waxfleet.CodeOf(err) == waxfleet.CodePlatformUnknown {
		// A list that brought no response has changed nothing.
		err = waxfleet.WrapError(err, waxfleet.CodePlatformUnreachable, "failed to list the instances")
	}
	if err != nil {
		return nil, err
	}
	if !f.all {
		instances = slices.DeleteFunc(instances, func(i waxfleet.Instance) bool { return i.ID() != f.instance })
		if len(instances) == 0 {
			return nil, waxfleet.NewError(waxfleet.CodeObjectNotFound, "no instance %s is registered", f.instance)
		}
	}
	client := newInspectionHTTPClient()
	return queryAll(ctx, a, "instance", instances, func(ctx context.Context, url string) (*waxwire.PlaceReply, error) {
		resp, err := waxwireconnect.NewInspectionClient(client, url).Place(ctx, connect.NewRequest(head))
		if connect.CodeOf(err) == connect.CodeUnimplemented {
			return nil, errors.New("its version does not know the question")
		}
		if err != nil {
			return nil, err
		}
		return resp.Msg, nil
	})
}

// newPlaceReport combines the replies.
func newPlaceReport(replies []routerReply[*waxwire.PlaceReply]) placeReport {
	report := placeReport{Agree: true}
	var first *placeRow
	for _, reply := range replies {
		p := reply.value
		row := placeRow{
			Instance: reply.router.ID(), Answers: reply.err == nil, ConfigVersion: p.GetConfigVersion(),
			Route: p.GetRoute(), Service: p.GetService(), Workspace: p.GetWorkspace(), Priority: p.GetPriority(), TimeoutMs: p.GetTimeoutMs(),
			Code: p.GetCode(), Outcome: p.GetOutcome(), Message: p.GetMessage(), Status: p.GetStatus(), RetryAfterMs: p.GetRetryAfterMs(),
			SharedTokens: p.GetSharedTokens(), PromptTokens: p.GetPromptTokens(), MeanLoad: p.GetMeanLoad(), LoadLimit: p.GetLoadLimit(),
			Eligible: newPlaceServers(p.GetEligible()), Excluded: newPlaceServers(p.GetExcluded()),
		}
		if p.GetPinned() {
			version := p.GetSoftwareVersion()
			row.PinnedVersion = &version
		}
		if p != nil {
			row.PredictedMs = p.PredictedMs
		}
		report.Instances = append(report.Instances, row)
		if !row.Answers {
			continue
		}
		if first == nil {
			first = &report.Instances[len(report.Instances)-1]
		}
		report.Agree = report.Agree && row.answer() == first.answer()
	}
	return report
}

// answer returns the part of the reply in which instances should agree.
func (r *placeRow) answer() [5]string {
	server := ""
	if len(r.Eligible) > 0 {
		server = r.Eligible[0].ID
	}
	return [5]string{r.Route, r.Service, r.Workspace, fmt.Sprint(r.Code), server}
}

func newPlaceServers(servers []*waxwire.PlaceServer) []placeServer {
	out := make([]placeServer, 0, len(servers))
	for _, s := range servers {
		flags := []string{}
		if s.GetCold() {
			flags = append(flags, "cold")
		}
		if s.GetDegraded() {
			flags = append(flags, "doubtful")
		}
		out = append(out, placeServer{
			ID: s.GetId(), FailureDomain: s.GetFailureDomain(), SoftwareVersion: s.GetSoftwareVersion(), Reason: s.GetReason(),
			Load: s.GetLoad(), Slots: s.GetSlots(), PendingTokens: s.GetPendingTokens(), CachedTokens: s.GetCachedTokens(),
			Flags: flags, Pace: s.Pace, WorkLeft: s.WorkLeft, PredictedMs: s.PredictedMs,
		})
	}
	return out
}

// writePlaceReport writes one row for each instance, and the servers of the first one that
// responded.
func writePlaceReport(w io.Writer, report placeReport) {
	writeRow(w, "INSTANCE", "ANSWERS", "CONFIG", "ROUTE", "SERVICE", "WORKSPACE", "PRIORITY", "SERVER", "CODE", "STATUS", "RETRY AFTER MS", "PREDICTED MS")
	var shown *placeRow
	for i := range report.Instances {
		r := &report.Instances[i]
		writeRow(w, r.Instance, r.Answers, r.ConfigVersion, orDash(r.Route), orDash(r.Service), orDash(r.Workspace), r.Priority,
			orDash(r.answer()[4]), r.Code, r.Status, r.RetryAfterMs, orDashPtr(r.PredictedMs))
		if r.Answers && shown == nil {
			shown = r
		}
	}
	if !report.Agree {
		writeRow(w, "the instances do not agree")
	}
	if shown == nil {
		return
	}
	writeRow(w, "")
	if shown.Code != 0 {
		writeRow(w, fmt.Sprintf("%s would reject the request: %s", shown.Instance, shown.Message))
	}
	version := ""
	if shown.PinnedVersion != nil {
		version = fmt.Sprintf(", at software version %q", *shown.PinnedVersion)
	}
	writeRow(w, fmt.Sprintf("%s: timeout %d ms, %d prompt tokens, %d of them shared, mean load %.1f, load limit %d%s",
		shown.Instance, shown.TimeoutMs, shown.PromptTokens, shown.SharedTokens, shown.MeanLoad, shown.LoadLimit, version))
	writeRow(w, "#", "SERVER", "DOMAIN", "VERSION", "REASON", "LOAD", "SLOTS", "PENDING", "CACHED", "PACE", "WORK LEFT", "PREDICTED MS", "FLAGS")
	for i, s := range shown.Eligible {
		writePlaceServer(w, fmt.Sprint(i+1), s)
	}
	for _, s := range shown.Excluded {
		writePlaceServer(w, "-", s)
	}
}

func writePlaceServer(w io.Writer, position string, s placeServer) {
	writeRow(w, position, s.ID, s.FailureDomain, orDash(s.SoftwareVersion), s.Reason, s.Load, s.Slots, s.PendingTokens, s.CachedTokens,
		orDashPtr(s.Pace), orDashPtr(s.WorkLeft), orDashPtr(s.PredictedMs), orDash(strings.Join(s.Flags, ",")))
}

// orDashPtr returns a number, or a dash for one that is not known.
func orDashPtr[T int64 | float64](p *T) string {
	switch v := any(p).(type) {
	case *int64:
		if v != nil {
			return fmt.Sprint(*v)
		}
	case *float64:
		if v != nil {
			return fmt.Sprintf("%.2f", *v)
		}
	}
	return "-"
}
