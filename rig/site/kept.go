package site

import (
	"bufio"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"sync"
	"time"
)

// Clients that keep their connections use them until the process at the other end is gone,
// also while it stops.
const (
	keptClients  = 6                // of each machine
	keptTime     = 2 * time.Second  // that a request has
	keptRestMost = 12 * time.Second // four fifths of the time that a connection may rest
	crossing     = 200 * time.Millisecond
)

// keptClient sends one request after the other to a machine on connections that it keeps.
func (s *soak) keptClient(m *machine, random *rand.Rand, running func() bool) {
	for running() {
		conn, err := net.DialTimeout("tcp", m.ip+frontPort, time.Second)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		s.useKept(m, conn, random, running)
		_ = conn.Close()
	}
}

// useKept uses a connection until it ends.
func (s *soak) useKept(m *machine, conn net.Conn, random *rand.Rand, running func() bool) {
	in := bufio.NewReader(conn)
	for running() {
		process := m.current()
		id := s.id("k")
		sent := time.Now()
		text := fmt.Sprintf("POST /pay/x?q=%s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nTime-Left-Ms: %d\r\nContent-Length: %d\r\n\r\n%s", id, host, id, keptTime.Milliseconds(), len(id), id)
		_ = conn.SetDeadline(sent.Add(keptTime + time.Second))
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
		answer, err := http.ReadResponse(in, nil)
		if err == nil {
			_, err = io.Copy(io.Discard, answer.Body)
		}
		if err != nil {
			s.unanswered(m, process, id, sent, err)
			return
		}
		s.checkKept(id, answer.StatusCode)
		if answer.Close {
			return
		}
		if random.Intn(8) == 0 {
			rest(time.Duration(random.Int63n(int64(keptRestMost))), running)
		} else {
			time.Sleep(time.Duration(random.Intn(150)) * time.Millisecond)
		}
	}
}

// rest waits, unless the soak is over.
func rest(length time.Duration, running func() bool) {
	for end := time.Now().Add(length); running() && time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
	}
}

// checkKept holds an answer against what the engines saw.
func (s *soak) checkKept(id string, code int) {
	s.t.mu.Lock()
	runs := s.t.runs[id]
	s.t.mu.Unlock()
	if runs > 1 {
		s.t.bad("TWICE: %s ran %d times", id, runs)
	}
	if code == 503 || code == 429 {
		s.refusedIDs.Store(id, true)
	}
}

// unanswered judges a request whose connection ended without its answer. A process that is
// killed, or frozen, owes none; one that goes on, or stops in order, does.
func (s *soak) unanswered(m *machine, process *process, id string, sent time.Time, err error) {
	took := time.Since(sent)
	if took >= keptTime || m.wasFrozen(sent) {
		return
	}
	s.t.mu.Lock()
	runs := s.t.runs[id]
	s.t.mu.Unlock()
	if runs == 0 && took < crossing {
		return // it crossed the close
	}
	process.endsWithin(stopGrace)
	if process.killed.Load() || process.isOver() && !process.endedInOrder() {
		return
	}
	s.t.bad("LOST: %s at %s ran %d times and got no answer: %v after %v", id, m.name, runs, err, took.Round(time.Millisecond))
}

// keep starts the clients that keep their connections.
func (s *soak) keep(seed int64, running func() bool) *sync.WaitGroup {
	var all sync.WaitGroup
	for i, m := range s.machines {
		for n := range keptClients {
			random := rand.New(rand.NewSource(seed*1000 + int64(i*keptClients+n)))
			all.Add(1)
			go func() {
				defer all.Done()
				s.keptClient(m, random, running)
			}()
		}
	}
	return &all
}
