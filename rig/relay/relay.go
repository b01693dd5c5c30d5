// Package relay stands between the peers of a fleet of real processes, so that the ways
// between them can be cut without touching the machine's network. It is for development
// only; rig/fleet and rig/site use it.
package relay

import (
	"bufio"
	"net"
	"sync"
	"time"

	"github.com/go-json-experiment/json/v1"
	"github.com/pkg/errors"
)

// Relays stand before the nodes' peer listeners, so that ways between two nodes
// can be cut, one-way or both ways. A cut way loses lines without a word: the
// connection stays.
type Relays struct {
	mu      sync.Mutex
	cut     map[[2]string]bool
	sockets []net.Listener
	wg      sync.WaitGroup
}

// New cuts nothing yet.
func New() *Relays { return &Relays{cut: map[[2]string]bool{}} }

// Open puts a relay at a listener, on to where the node listens.
func (r *Relays) Open(listener, to string) error {
	socket, err := net.Listen("tcp", listener)
	if err != nil {
		return errors.Wrap(err, "relay")
	}
	r.mu.Lock()
	r.sockets = append(r.sockets, socket)
	r.mu.Unlock()
	r.wg.Add(1)
	go func() {
		defer r.wg.Done()
		for {
			c, err := socket.Accept()
			if err != nil {
				return
			}
			go r.carry(c, listener, to)
		}
	}()
	return nil
}

func (r *Relays) carry(c net.Conn, listener, to string) {
	defer c.Close()
	conn, err := net.DialTimeout("tcp", to, time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	scanner := bufio.NewScanner(c)
	scanner.Buffer(make([]byte, 0, 4096), 32<<20)
	for scanner.Scan() {
		var from struct {
			Addr string `json:"a"`
		}
		_ = json.Unmarshal(scanner.Bytes(), &from)
		r.mu.Lock()
		lost := r.cut[[2]string{from.Addr, listener}]
		r.mu.Unlock()
		if lost {
			continue
		}
		if _, err := conn.Write(append(scanner.Bytes(), '\n')); err != nil {
			return
		}
	}
}

// Cut stops lines from one group of peers to another, one way. Peers are named by the
// addresses that they tell others.
func (r *Relays) Cut(from, to []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range from {
		for _, b := range to {
			if a != b {
				r.cut[[2]string{a, b}] = true
			}
		}
	}
}

// Join undoes all cuts.
func (r *Relays) Join() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = map[[2]string]bool{}
}

// Close ends the relays.
func (r *Relays) Close() {
	r.mu.Lock()
	for _, e := range r.sockets {
		_ = e.Close()
	}
	r.mu.Unlock()
	r.wg.Wait()
}
