// Package logging writes a process's log so that nobody who reads it, or does not, can
// hold the process up (design 10.4). Lines wait in a bounded ring of zerolog's diode and
// are written by a goroutine of their own; where they come faster than they are read, the
// oldest are dropped and counted. cmd/fernlink opens one Sink a process.
package logging

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/rs/zerolog/diode"
)

// linesMost is how many lines may wait to be written.
const linesMost = 4096

// closeWait is how long the last lines may take at the end of the process.
const closeWait = time.Second

// Sink takes lines and never blocks. Its methods may be called from any goroutine.
type Sink struct {
	ring    diode.Writer
	dropped atomic.Int64
}

// Open begins to write to an output.
func Open(output io.Writer) *Sink {
	sink := &Sink{}
	missed := func(lines int) { sink.dropped.Add(int64(lines)) }
	sink.ring = diode.NewWriter(&lossy{output, missed}, linesMost, 0, missed)
	return sink
}

// Write takes one line.
func (s *Sink) Write(line []byte) (int, error) { return s.ring.Write(line) }

// Dropped counts the lines that were not written: nobody read in time, or writing failed.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// Close writes what waits, for a second at most.
func (s *Sink) Close() {
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.ring.Close()
	}()
	select {
	case <-done:
	case <-time.After(closeWait):
	}
}

// lossy counts the lines that its output does not take.
type lossy struct {
	output io.Writer
	missed func(lines int)
}

func (l *lossy) Write(line []byte) (int, error) {
	n, err := l.output.Write(line)
	if err != nil {
		l.missed(1)
	}
	return n, err
}

// New gives the process's one log: lines below the named level are not written; "" is
// info.
func New(to io.Writer, least string) log.Logger {
	all := log.With(log.NewLogfmtLogger(to), "ts", log.DefaultTimestampUTC)
	return level.NewFilter(all, level.Allow(level.ParseDefault(least, level.InfoValue())))
}
