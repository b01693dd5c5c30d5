// Package run is the loop that drives a node's cores: it takes events from the
// shells, advances, and carries out what comes back. A task of its own owns the
// disk, so that nothing but what depends on a save waits for it (design 3.1,
// 4.2).
package run

import (
	"context"
	"encoding/json"
	"io"
	"slices"
	"time"

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

	events *queue
	Link   *link.Link
	Web    *web.Web
	Caller *outcall.Caller
	quit   chan struct{}
	done   chan struct{}
	Halted chan error
	known  gossip.Known // as it was last written
	todo   chore        // gathers while the disk's task is busy
	chores chan chore   // no room: the disk's task takes one when it is free
	rest   chan struct{}
	left   chan struct{} // closed when a clean stop is over
}

// New makes a loop without its shells.
func New(logger log.Logger) *Loop {
	return &Loop{Logger: logger, events: newQueue(), quit: make(chan struct{}), done: make(chan struct{}), Halted: make(chan error, 1),
		chores: make(chan chore), rest: make(chan struct{}), left: make(chan struct{})}
}

// Start runs the loop.
func (l *Loop) Start() {
	go l.disk()
	go l.run()
}

// Stop lets the node hand on what it has, then ends the loop and the shells. The
// node bounds the first itself (design 5.5).
func (l *Loop) Stop(ctx context.Context) {
	l.Web.Drain()
	l.Put(flow.Event{Stop: true})
	select {
	case <-l.left:
	case <-l.done:
	case <-ctx.Done():
	}
	close(l.quit)
	<-l.done
	<-l.rest
	l.Web.Close(ctx)
	l.Caller.Close()
	l.Link.Close()
}

// chore is what the disk's task does in one go: saves in their order, then
// small files. What gathers while it works is the next.
type chore struct {
	batch uint64
	blobs []flow.BlobChange
	saves []flow.Save
	fetch []flow.Fetch
	files []flow.File
}

func (c chore) empty() bool { return len(c.blobs)+len(c.saves)+len(c.fetch)+len(c.files) == 0 }

// disk owns the data folder. A disk without room is tried again for as long as
// it takes; any other failure ends the node (design 4.6).
func (l *Loop) disk() {
	defer close(l.rest)
	for chore := range l.chores {
		for len(chore.saves)+len(chore.blobs) > 0 {
			err := l.Log.Save(chore.blobs, chore.saves)
			if err == nil {
				if len(chore.saves) > 0 {
					l.Put(flow.Event{Saved: chore.batch})
				}
				break
			}
			if !errors.Is(err, disk.ErrFull) {
				l.fail(err)
				return
			}
			l.Put(flow.Event{Full: true})
			select {
			case <-l.quit:
				return
			case <-time.After(budget.FailureTimeout / 4):
			}
		}
		for _, f := range chore.fetch {
			got, err := l.Log.Fetch(f)
			if err != nil {
				l.fail(err)
				return
			}
			l.Put(flow.Event{Blobs: &got})
		}
		for _, f := range chore.files {
			if err := disk.PutFile(l.FS, f.Name, f.Body); err != nil {
				_ = level.Warn(l.Logger).Log("part", "run", "msg", "a file was not written, trying again later", "file", f.Name, "failure", err)
			}
		}
		l.events.wake(l.quit, l.done) // it is free again
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
	defer close(l.chores)
	pause := time.NewTimer(budget.TickInterval)
	defer pause.Stop()
	var in []flow.Event
	for {
		var ok bool
		if in, ok = l.events.wait(in[:0], pause.C, l.quit); !ok {
			return
		}
		if err := l.turn(in); err != nil {
			l.fail(err)
			return
		}
		pause.Reset(l.Node.Pause())
	}
}

func (l *Loop) turn(in []flow.Event) error {
	outbox := l.Node.Advance(clock.Now(), clock.Wall(), in)
	if len(outbox.Save)+len(outbox.Blobs)+len(outbox.Fetch) > 0 && l.Log == nil {
		return errors.New("run: a store without a data folder")
	}
	if len(outbox.Save) > 0 {
		l.todo.batch, l.todo.saves = outbox.Batch, append(l.todo.saves, outbox.Save...)
	}
	l.todo.blobs = append(l.todo.blobs, outbox.Blobs...)
	l.todo.fetch = append(l.todo.fetch, outbox.Fetch...)
	if l.FS != nil {
		l.todo.files = append(l.todo.files, outbox.Files...)
	}
	l.remember()
	if !l.todo.empty() {
		select {
		case l.chores <- l.todo:
			l.todo = chore{}
		default: // it is busy; this goes with what comes next
		}
	}
	l.emit(outbox)
	if outbox.Done {
		select {
		case <-l.left:
		default:
			close(l.left)
		}
	}
	if outbox.Halt != "" {
		return errors.New(outbox.Halt)
	}
	return nil
}

// remember keeps the cluster's id and stores for the next start.
func (l *Loop) remember() {
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
	b, err := json.Marshal(known)
	if err != nil {
		return
	}
	l.todo.files = append(l.todo.files, flow.File{Name: KnownFile, Body: b})
	l.known = known
}

// KnownFile holds the cluster's id and store addresses as last heard.
const KnownFile = "known.json"

func (l *Loop) emit(outbox flow.Outbox) {
	for _, n := range outbox.Notes {
		if n.Level >= l.Least {
			_ = write[n.Level](l.Logger).Log(append([]any{"part", n.Part, "msg", n.Text}, n.Args...)...)
		}
	}
	if outbox.Limits != nil {
		l.Web.Limit(web.Limits(*outbox.Limits).Or(web.Usual))
	}
	for _, x := range outbox.Lines {
		l.Link.Send(x)
	}
	for _, p := range outbox.Replies {
		l.Web.Reply(p)
	}
	for _, id := range outbox.Cuts {
		l.Caller.Cut(id)
	}
	for _, s := range outbox.Sends {
		l.Caller.Start(s)
	}
}

var write = map[flow.Level]func(log.Logger) log.Logger{flow.Debug: level.Debug, flow.Info: level.Info, flow.Warn: level.Warn, flow.Error: level.Error}

// Levels are the names of the log's levels.
var Levels = map[string]flow.Level{"debug": flow.Debug, "info": flow.Info, "warn": flow.Warn, "error": flow.Error}

// Logger is the process's one log: lines below the named level are not written;
// "" is info.
func Logger(to io.Writer, least string) log.Logger {
	all := log.With(log.NewLogfmtLogger(log.NewSyncWriter(to)), "ts", log.DefaultTimestampUTC)
	return level.NewFilter(all, level.Allow(level.ParseDefault(least, level.InfoValue())))
}
