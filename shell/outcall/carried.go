package outcall

import (
	"hash/maphash"
	"slices"
)

// carriedMost is how many named requests one connection carries before it is closed.
const carriedMost = 1024

// nameSeed keys the hashes of names, so that no peer can choose names that collide.
var nameSeed = maphash.MakeSeed()

// carriedNames are the hashes of the names that a connection has carried. A surplus answer may
// come at any later time on its connection, and tells only which name it belongs to, not which
// try: a name that was carried before would take it for the answer to its next try. Names whose
// hashes collide cost a connection.
type carriedNames []uint64

func hashOf(name string) uint64 { return maphash.String(nameSeed, name) }

// has says whether a name was carried. None is carried by a request without a name.
func (c carriedNames) has(name string) bool { return name != "" && slices.Contains(c, hashOf(name)) }

// add keeps a name.
func (c *carriedNames) add(name string) {
	if name != "" {
		*c = append(*c, hashOf(name))
	}
}

// full says that the connection carries no more requests.
func (c carriedNames) full() bool { return len(c) >= carriedMost }
