// Package run is the loop that drives a node's cores: it takes events from
// the shells, advances, saves and syncs, and only then lets anything leave
// (design 3.1, 4.2).
package run

import (
	"context"
	"encoding/json"
	"os"
	"time"

	"github.com/go-kit/log"
	"github.com/pkg/errors"

	"fernlink/core/budget"
	"fernlink/core/flow"
	"fernlink/core/node"
	"fernlink/shell/clock"
	"fernlink/shell/disk"
	"fernlink/shell/link"
	"fernlink/shell/outcall"
	"fernlink/shell/web"
)

// Holding is how many events may wait for the loop.
const Holding = 4096

const tick = budget.Beat / 10

// Loop owns a node and its shells.
type Loop struct {
	Node   *node.Node
	Log    *disk.Log
	FS     disk.FS // nil without a data folder
	Logger log.Logger

	events chan flow.Event
	Link   *link.Link
	Web    *web.Web
	Caller *outcall.Caller
	quit   chan struct{}
	done   chan struct{}
	Halted chan error
	known  string
}

// New makes a loop without its shells.
func New(logger log.Logger) *Loop {
	return &Loop{Logger: logger, events: make(chan flow.Event, Holding), quit: make(chan struct{}), done: make(chan struct{}), Halted: make(chan error, 1)}
}

// Offer puts an event into the holding, unless it is full.
func (l *Loop) Offer(e flow.Event) bool {
	select {
	case l.events <- e:
		return true
	default:
		return false
	}
}

// Put waits for room: news of sends must not be lost.
func (l *Loop) Put(e flow.Event) {
	select {
	case l.events <- e:
	case <-l.quit:
	}
}

// Start runs the loop.
func (l *Loop) Start() { go l.run() }

// Stop ends the loop, then the shells.
func (l *Loop) Stop(ctx context.Context) {
	close(l.quit)
	<-l.done
	l.Web.Close(ctx)
	l.Caller.Close()
	l.Link.Close()
}

func (l *Loop) run() {
	defer close(l.done)
	t := time.NewTicker(tick)
	defer t.Stop()
	var in []flow.Event
	for {
		select {
		case <-l.quit:
			return
		case e := <-l.events:
			in = append(in, e)
		case <-t.C:
		}
		for more := true; more && len(in) < Holding/4; {
			select {
			case e := <-l.events:
				in = append(in, e)
			default:
				more = false
			}
		}
		if err := l.turn(in); err != nil {
			l.Halted <- err
			return
		}
		in = in[:0]
	}
}

func (l *Loop) turn(in []flow.Event) error {
	for {
		out := l.Node.Advance(clock.Now(), clock.Wall(), in)
		if len(out.Save) > 0 {
			if l.Log == nil {
				return errors.New("run: a store without a data folder")
			}
			if err := l.Log.Save(out.Save); err != nil {
				return err
			}
			l.Node.Synced()
		}
		l.emit(out)
		if out.Halt != "" {
			return errors.New(out.Halt)
		}
		if len(out.Save) == 0 {
			break
		}
		in = nil
	}
	return l.remember()
}

// remember keeps the cluster's id and stores for the next start.
func (l *Loop) remember() error {
	k := l.Node.Known()
	id := k.Cluster
	if id != *l.Link.Cluster.Load() {
		l.Link.Cluster.Store(&id)
	}
	if l.FS == nil || id == "" {
		return nil
	}
	k.At = 0 // heard anew after a start
	b, err := json.Marshal(k)
	if err != nil || string(b) == l.known {
		return nil
	}
	if err := disk.PutFile(l.FS, KnownFile, b); err != nil {
		return err
	}
	l.known = string(b)
	return nil
}

// KnownFile holds the cluster's id and store addresses as last heard.
const KnownFile = "known.json"

func (l *Loop) emit(out flow.Outbox) {
	for _, n := range out.Notes {
		_ = l.Logger.Log(append([]any{"part", n.Part, "msg", n.Text}, n.Args...)...)
	}
	for _, x := range out.Lines {
		l.Link.Send(x)
	}
	for _, p := range out.Replies {
		l.Web.Reply(p)
	}
	for _, id := range out.Cuts {
		l.Caller.Cut(id)
	}
	for _, s := range out.Sends {
		l.Caller.Start(s)
	}
	for _, f := range out.Files {
		if l.FS == nil {
			continue
		}
		if err := disk.PutFile(l.FS, f.Name, f.Body); err != nil {
			_ = l.Logger.Log("part", "run", "msg", "a file was not written, trying again later", "file", f.Name, "mishap", err)
		}
	}
}

// Logger is the daemon's log.
func Logger() log.Logger {
	return log.With(log.NewLogfmtLogger(log.NewSyncWriter(os.Stderr)), "ts", log.DefaultTimestampUTC)
}
