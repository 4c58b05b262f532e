package waxfront

import (
	"context"
	"fmt"
	"log/slog"
	"strconv"
	"strings"
	"sync"

	"waxwingdrift.org/waxfleet"
	"waxwingdrift.org/waxfleet/waxorigin"
	"waxwingdrift.org/waxfleet/waxpeer"
)

const (
	// originBatchDelay is how long origins are gathered before they are handed over to the
	// instance that writes them.
	originBatchDelay waxfleet.Millis = 5
	// originWriteInterval is the minimum interval between two writes of origins, and
	// originRetryDelay the delay after a failed one. The first event of a stream waits for
	// a write, so the interval is a small part of a latency objective.
	originWriteInterval waxfleet.Millis = 50
	originRetryDelay    waxfleet.Millis = 1_000
	// originCallTimeout is the timeout of a call to the store.
	originCallTimeout waxfleet.Millis = 1_000
	// maxOriginConfirms is the maximum number of batches that wait for a write.
	maxOriginConfirms = 10_000
	// originReadInterval is the minimum interval between two reads of the stored origins.
	originReadInterval waxfleet.Millis = 500
	// maxDeletedSegments is the maximum number of expired segments that are deleted after a
	// read.
	maxDeletedSegments = 20
)

// originLogOptions configures an originLog.
type originLogOptions struct {
	instance string
	clock    *waxfleet.Clock
	log      *slog.Logger
	store    waxfleet.TextStore
	streams  *waxorigin.Streams
	// pending holds the origins of streams of this instance until they are in the store, and
	// journal those that it writes, also for others.
	pending *waxorigin.Pending
	journal *waxorigin.Journal
	// recorder returns the instance that writes the origins of this one, whether that is this
	// one itself, and whether it confirms them. askToRecord passes origins on to it.
	recorder    func() (recorder waxpeer.Peer, self, confirms bool)
	askToRecord func(recorder waxpeer.Peer, origins []waxorigin.Origin)
	// deletes reports whether this instance deletes segments that have expired.
	deletes func() bool
	// countWrite counts a write for the metrics.
	countWrite func()
}

// originLog keeps the origins of streams in the store while several software versions are in
// use, so that callers can take their streams up after all instances were killed. In each
// group of instances, few write those of all.
type originLog struct {
	originLogOptions

	// changed signals that the journal has changed.
	changed chan struct{}

	mu sync.Mutex
	// confirms holds what is called after the next write.
	confirms []func()
	// read is the last read of the stored origins; nil before the first one.
	read *originRead
	// restored is true once the journal holds what earlier processes of this instance wrote.
	restored bool
}

// newOriginLog starts an originLog that runs until ctx ends.
func newOriginLog(ctx context.Context, opts originLogOptions) *originLog {
	l := &originLog{originLogOptions: opts, changed: make(chan struct{}, 1)}
	go func() {
		for {
			select {
			case <-l.pending.Added():
			case <-ctx.Done():
				return
			}
			delay := originBatchDelay
			for l.clock.Sleep(ctx, delay) == nil && l.handOver() {
				delay = waxorigin.ResendInterval / 2
			}
		}
	}()
	go func() {
		for {
			select {
			case <-l.changed:
			case <-ctx.Done():
				return
			}
			delay := originWriteInterval
			if !l.write(ctx) {
				delay = originRetryDelay
				l.notifyChanged()
			}
			if l.clock.Sleep(ctx, delay) != nil {
				return
			}
		}
	}()
	return l
}

// originRead is a read of the stored origins.
type originRead struct {
	startedAt waxfleet.Millis
	// done is closed at the end; err is set then.
	done chan struct{}
	err  error
}

// handOver hands the origins that are due over to the instance that writes them. It reports
// whether some are not confirmed yet.
func (l *originLog) handOver() bool {
	due, waiting := l.pending.Due()
	if len(due) == 0 {
		return waiting
	}
	streams := make([]uint64, len(due))
	for i, o := range due {
		streams[i] = o.Stream()
	}
	recorder, self, confirms := l.recorder()
	switch {
	case self:
		l.record(due, func() { l.pending.Confirm(streams...) })
		return waiting
	case !confirms:
		// An earlier version writes the origins without saying so.
		for _, stream := range streams {
			l.pending.Remove(stream)
		}
	}
	l.askToRecord(recorder, due)
	return waiting
}

// record adds origins to those that this instance writes, and calls confirm once they are in
// the store. confirm is not called if the next write fails.
func (l *originLog) record(origins []waxorigin.Origin, confirm func()) {
	l.journal.Add(origins...)
	l.mu.Lock()
	if len(l.confirms) < maxOriginConfirms {
		l.confirms = append(l.confirms, confirm)
	}
	l.mu.Unlock()
	l.notifyChanged()
}

func (l *originLog) notifyChanged() {
	select {
	case l.changed <- struct{}{}:
	default:
	}
}

// write writes the segments that have changed, and confirms the origins that were added
// before. It reports false if that failed.
func (l *originLog) write(ctx context.Context) bool {
	l.mu.Lock()
	confirms := l.confirms
	l.confirms = nil
	l.mu.Unlock()
	for l.journal.Dirty() {
		if err := l.restore(ctx); err != nil {
			return false
		}
		number, text, ok := l.journal.Next()
		if !ok {
			break
		}
		callCtx, cancel := context.WithTimeout(ctx, originCallTimeout.Duration())
		err := l.store.Write(callCtx, l.segmentName(number), text)
		cancel()
		if err != nil {
			l.journal.WriteFailed(number)
			l.log.Warn("failed to write the origins of streams", "segment", l.segmentName(number), "error", err.Error(), "again-in-ms", int64(originRetryDelay))
			return false
		}
		l.countWrite()
	}
	for _, confirm := range confirms {
		confirm()
	}
	return true
}

// segmentName returns the name of a segment of this instance.
func (l *originLog) segmentName(number int) string { return fmt.Sprintf("%s-%d", l.instance, number) }

// segmentNumber returns the number of a segment of this instance with the name.
func (l *originLog) segmentNumber(name string) (int, bool) {
	text, ok := strings.CutPrefix(name, l.instance+"-")
	number, err := strconv.Atoi(text)
	return number, ok && err == nil && number >= 0 && number < waxorigin.JournalSegments
}

// origin returns the origin of a stream that no instance knows from the store.
func (l *originLog) origin(ctx context.Context, stream uint64) (waxorigin.Origin, bool) {
	r := l.startRead(ctx, originReadInterval)
	select {
	case <-r.done:
	case <-ctx.Done():
	}
	return l.streams.Origin(stream)
}

// restore reads what earlier processes of this instance wrote, unless that was done.
func (l *originLog) restore(ctx context.Context) error {
	l.mu.Lock()
	restored := l.restored
	l.mu.Unlock()
	if restored {
		return nil
	}
	r := l.startRead(ctx, originReadInterval)
	<-r.done
	return r.err
}

// startRead reads the stored origins in the background, unless that is under way or was done
// less than maxAge ago. One read serves all that wait for it.
func (l *originLog) startRead(ctx context.Context, maxAge waxfleet.Millis) *originRead {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	if l.read != nil && now-l.read.startedAt < maxAge {
		return l.read
	}
	if l.read != nil {
		select {
		case <-l.read.done:
		default:
			return l.read
		}
	}
	r := &originRead{startedAt: now, done: make(chan struct{})}
	l.read = r
	ctx = context.WithoutCancel(ctx)
	go func() {
		defer close(r.done)
		ctx, cancel := context.WithTimeout(ctx, originCallTimeout.Duration())
		defer cancel()
		r.err = l.readAll(ctx)
	}()
	return r
}

// readAll reads the stored origins.
func (l *originLog) readAll(ctx context.Context) error {
	started := l.clock.Now()
	texts, err := l.store.Read(ctx)
	if err != nil {
		l.log.Warn("failed to read the origins of streams", "error", err.Error())
		return err
	}
	found := 0
	var expired []waxfleet.Text
	for _, t := range texts {
		origins, err := waxorigin.DecodeOrigins(t.Text, l.clock)
		if err != nil {
			l.log.Warn("stored origins of streams can't be read", "segment", t.Name, "error", err.Error())
			continue
		}
		for _, o := range origins {
			l.streams.Record(o)
		}
		found += len(origins)
		number, own := l.segmentNumber(t.Name)
		if own {
			l.restoreSegment(number, origins)
		}
		if len(origins) == 0 && !own {
			expired = append(expired, t)
		}
	}
	l.mu.Lock()
	l.restored = true
	l.mu.Unlock()
	l.log.Info("origins of streams read", "segments", len(texts), "streams", found, "after-ms", int64(l.clock.Now()-started))
	if l.deletes() {
		l.deleteExpired(ctx, expired)
	}
	return nil
}

// restoreSegment adds the origins of a segment of this instance to the journal, the first
// time that it is read.
func (l *originLog) restoreSegment(number int, origins []waxorigin.Origin) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.restored {
		l.journal.Restore(number, origins)
	}
}

// deleteExpired deletes segments without origins that callers may still need. Their writers
// may be gone; one that is not writes its segment again.
func (l *originLog) deleteExpired(ctx context.Context, expired []waxfleet.Text) {
	for _, t := range expired[:min(maxDeletedSegments, len(expired))] {
		if err := l.store.Delete(ctx, t); err != nil {
			l.log.Warn("failed to delete expired origins of streams", "segment", t.Name, "error", err.Error())
			return
		}
	}
}
