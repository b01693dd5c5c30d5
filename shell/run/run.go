// Package run is the loop that drives a node's cores: it takes events from the
// shells, advances, and carries out what comes back. A goroutine of its own owns the
// disk, so that nothing but what depends on a save waits for it (design 3.1, 4.2).
// shell/daemon builds one Loop a process, starts and stops it.
package run

import (
	"context"
	"slices"
	"time"

	"github.com/go-json-experiment/json/v1"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"fernlink/core/budget"
	"fernlink/core/flow"
	"fernlink/core/gossip"
	"fernlink/core/node"
	"fernlink/shell/clock"
	"fernlink/shell/disk"
	"fernlink/shell/link"
	"fernlink/shell/outcall"
	"fernlink/shell/web"
)

// Loop owns a node and its shells.
type Loop struct {
	Node   *node.Node
	Log    *disk.Log
	FS     disk.FS // nil without a data folder
	Logger log.Logger
	Least  flow.Level // notes below it are not written

	Unlogged func() int64 // counts the log lines that were dropped; nil where none are

	events   *queue
	Link     *link.Link
	Web      *web.Web
	Caller   *outcall.Caller
	quit     chan struct{}
	done     chan struct{}
	Halted   chan error
	unlogged int64         // lines dropped, as the node was last told
	known    gossip.Known  // as it was last written
	nextWork diskWork      // gathers while the disk's goroutine is busy
	work     chan diskWork // unbuffered: the disk's goroutine takes one when it is free
	diskDone chan struct{}
	stopped  chan struct{} // closed when a clean stop waits for nothing but callers that still come
	over     chan struct{} // closed when those are answered
}

// New makes a loop without its shells.
func New(logger log.Logger) *Loop {
	return &Loop{
		Logger: logger, events: newQueue(), quit: make(chan struct{}), done: make(chan struct{}), Halted: make(chan error, 1),
		work: make(chan diskWork), diskDone: make(chan struct{}), stopped: make(chan struct{}), over: make(chan struct{}),
	}
}

// Start runs the loop.
func (l *Loop) Start() {
	go l.runDisk()
	go l.run()
}

// Stop lets the node hand on what it has, then takes no more calls, has those that came
// answered, and ends the loop and the shells. The node bounds the first itself (design 5.5).
func (l *Loop) Stop(ctx context.Context) {
	l.Web.Drain()
	l.Put(flow.Event{Stop: true})
	l.await(ctx, l.stopped)
	l.Web.Refuse()
	l.Put(flow.Event{Closed: true}) // behind all that Web has put in
	l.await(ctx, l.over)
	close(l.quit)
	<-l.done
	<-l.diskDone
	l.Web.Close(ctx)
	l.Caller.Close()
	l.Link.Close()
}

// await waits for a step of a stop, unless the loop has ended.
func (l *Loop) await(ctx context.Context, step <-chan struct{}) {
	select {
	case <-step:
	case <-l.done:
	case <-ctx.Done():
	}
}

// diskWork is what the disk's goroutine does in one go: saves in their order, reads,
// then small files. What gathers while it works is the next.
type diskWork struct {
	batch uint64
	blobs []flow.BlobChange
	saves []flow.Save
	fetch []flow.Fetch
	files []flow.File
}

func (w diskWork) empty() bool { return len(w.blobs)+len(w.saves)+len(w.fetch)+len(w.files) == 0 }

// runDisk owns the data folder. Any failure but a full disk ends the node (design 4.6).
func (l *Loop) runDisk() {
	defer close(l.diskDone)
	for work := range l.work {
		if !l.save(work) || !l.fetch(work.fetch) {
			l.Put(flow.Event{Unsaved: true})
			return
		}
		l.writeFiles(work.files)
		l.events.wake(l.quit, l.done) // it is free again
	}
}

// save puts blobs and log on disk. A disk without room is tried again for as long as
// it takes. It says whether the node goes on.
func (l *Loop) save(work diskWork) bool {
	for len(work.saves)+len(work.blobs) > 0 {
		err := l.Log.Save(work.blobs, work.saves)
		if err == nil {
			if len(work.saves) > 0 {
				l.Put(flow.Event{Saved: work.batch})
			}
			return true
		}
		if !errors.Is(err, disk.ErrFull) {
			l.fail(err)
			return false
		}
		l.Put(flow.Event{Full: true})
		select {
		case <-l.quit:
			return false
		case <-time.After(fullDiskRetry):
		}
	}
	return true
}

// fullDiskRetry is how long a full disk is left alone before it is tried again.
const fullDiskRetry = budget.FailureTimeout / 4

// fetch reads blobs back, and says whether the node goes on.
func (l *Loop) fetch(wanted []flow.Fetch) bool {
	for _, fetch := range wanted {
		fetched, err := l.Log.Fetch(fetch)
		if err != nil {
			l.fail(err)
			return false
		}
		l.Put(flow.Event{Blobs: &fetched})
	}
	return true
}

// writeFiles writes small files; one that can't be written comes again later.
func (l *Loop) writeFiles(files []flow.File) {
	for _, file := range files {
		if err := disk.PutFile(l.FS, file.Name, file.Body); err != nil {
			_ = level.Warn(l.Logger).Log("part", "run", "msg", "a file was not written, trying again later", "file", file.Name, "failure", err)
		}
	}
}

func (l *Loop) fail(err error) {
	select {
	case l.Halted <- err:
	default:
	}
}

func (l *Loop) run() {
	defer close(l.done)
	defer close(l.work)
	pause := time.NewTimer(budget.TickInterval)
	defer pause.Stop()
	var events []flow.Event
	for {
		var ok bool
		if events, ok = l.events.wait(events[:0], pause.C, l.quit); !ok {
			return
		}
		if err := l.advance(events); err != nil {
			l.fail(err)
			return
		}
		pause.Reset(l.Node.Pause())
	}
}

// advance gives the node its events and carries out what it wants.
func (l *Loop) advance(events []flow.Event) error {
	events = l.countUnlogged(events)
	outbox := l.Node.Advance(clock.Now(), clock.Wall(), events)
	if len(outbox.Save)+len(outbox.Blobs)+len(outbox.Fetch) > 0 && l.Log == nil {
		return errors.New("run: a store without a data folder")
	}
	if len(outbox.Save) > 0 {
		l.nextWork.batch = outbox.Batch
		l.nextWork.saves = append(l.nextWork.saves, outbox.Save...)
	}
	l.nextWork.blobs = append(l.nextWork.blobs, outbox.Blobs...)
	l.nextWork.fetch = append(l.nextWork.fetch, outbox.Fetch...)
	if l.FS != nil {
		l.nextWork.files = append(l.nextWork.files, outbox.Files...)
	}
	l.keepKnown()
	if !l.nextWork.empty() {
		select {
		case l.work <- l.nextWork:
			l.nextWork = diskWork{}
		default: // it is busy; this goes with what comes next
		}
	}
	l.emit(outbox)
	if outbox.Done {
		reach(l.stopped)
	}
	if outbox.Over {
		reach(l.over)
	}
	if outbox.Halt != "" {
		return errors.New(outbox.Halt)
	}
	return nil
}

// reach closes the channel of a step of a stop; only the loop's goroutine does so.
func reach(step chan struct{}) {
	select {
	case <-step:
	default:
		close(step)
	}
}

// countUnlogged tells the node of log lines that were dropped since its last turn.
func (l *Loop) countUnlogged(events []flow.Event) []flow.Event {
	if l.Unlogged == nil {
		return events
	}
	lost := l.Unlogged()
	if lost == l.unlogged {
		return events
	}
	events = append(events, flow.Event{Unlogged: lost - l.unlogged})
	l.unlogged = lost
	return events
}

// keepKnown keeps the cluster's id and stores for the next start.
func (l *Loop) keepKnown() {
	known := l.Node.Known()
	id := known.Cluster
	if id != *l.Link.Cluster.Load() {
		l.Link.Cluster.Store(&id)
	}
	if l.FS == nil || id == "" {
		return
	}
	known.At = 0 // heard anew after a start
	if known.Cluster == l.known.Cluster && slices.Equal(known.Stores, l.known.Stores) {
		return
	}
	body, err := json.Marshal(known)
	if err != nil {
		return
	}
	l.nextWork.files = append(l.nextWork.files, flow.File{Name: KnownFile, Body: body})
	l.known = known
}

// KnownFile holds the cluster's id and store addresses as last heard.
const KnownFile = "known.json"

// emit hands on what is not for the disk.
func (l *Loop) emit(outbox flow.Outbox) {
	for _, note := range outbox.Notes {
		if note.Level >= l.Least {
			_ = leveled[note.Level](l.Logger).Log(append([]any{"part", note.Part, "msg", note.Text}, note.Args...)...)
		}
	}
	if outbox.Limits != nil {
		l.Web.Limit(web.Limits(*outbox.Limits).Or(web.Usual))
	}
	for _, line := range outbox.Lines {
		l.Link.Send(line)
	}
	for _, reply := range outbox.Replies {
		l.Web.Reply(reply)
	}
	for _, id := range outbox.Cuts {
		l.Caller.Cut(id)
	}
	for _, send := range outbox.Sends {
		l.Caller.Start(send)
	}
}

// leveled gives the logger of each level.
var leveled = map[flow.Level]func(log.Logger) log.Logger{flow.Debug: level.Debug, flow.Info: level.Info, flow.Warn: level.Warn, flow.Error: level.Error}

// Levels are the names of the log's levels.
var Levels = map[string]flow.Level{"debug": flow.Debug, "info": flow.Info, "warn": flow.Warn, "error": flow.Error}
