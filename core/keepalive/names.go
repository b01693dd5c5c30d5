// Package keepalive decides which requests a kept connection may carry (design 7.3).
// shell/outcall asks it for real connections and sim for simulated ones. It has no I/O.
package keepalive

import (
	"hash/fnv"
	"slices"
)

// namesMost is how many named requests one connection carries before it is closed.
const namesMost = 1024

// Names are the names that a connection has carried, as hashes. A surplus answer may come at
// any later time on its connection, and tells only which name it belongs to, not which try: a
// name that was carried before would take it for the answer to its next try. Names whose
// hashes collide cost a connection.
type Names struct{ hashes []uint64 }

func hashOf(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return h.Sum64()
}

// Has says whether a name was carried. A request without a name, "", was never carried.
func (n *Names) Has(name string) bool { return name != "" && slices.Contains(n.hashes, hashOf(name)) }

// Add hears that the connection carries a name.
func (n *Names) Add(name string) {
	if name != "" {
		n.hashes = append(n.hashes, hashOf(name))
	}
}

// Full says that the connection may carry no more requests.
func (n *Names) Full() bool { return len(n.hashes) >= namesMost }
