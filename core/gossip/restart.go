package gossip

// otherStart says whether an entry at this process's address is of an earlier start
// that seems as new or newer to others: its clock was ahead. One that keeps nothing
// had the same identity. Nobody else has a higher beat under one's own incarnation.
func (g *Gossip) otherStart(e Entry) bool {
	if e.Addr != g.self.Addr || e.Inc < g.self.Inc {
		return false
	}
	return e.Inc > g.self.Inc || e.ID != g.self.ID || e.Beat > g.self.Beat
}

// outrank raises this process's incarnation above an earlier start's. Its parts go on
// under the name that they were given.
func (g *Gossip) outrank(incarnation int64) {
	if g.self.Born == 0 {
		g.self.Born = g.self.Inc
	}
	g.self.Inc = incarnation + 1
}
