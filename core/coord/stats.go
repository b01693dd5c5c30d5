package coord

import "fernlink/core/flow"

// Stats is the coordinator's part of the one snapshot (design 10.4): is the
// view complete, how old is it, are the loops alive, what do policies do.
type Stats struct {
	Acting  bool               `json:"acting"`
	Term    uint64             `json:"term"`
	Offset  uint64             `json:"journal_offset"`
	Stale   int                `json:"stale_slices"`
	Gate    map[string]int64   `json:"gate"`
	Engines int                `json:"engines"`
	Blocks  int                `json:"blocks"`
	Bytes   map[string]int64   `json:"bytes_by_trainer"`
	Oldest  float64            `json:"oldest_sign_seconds"`
	Passed  map[string]float64 `json:"seconds_since_pass"`
	Moves   int                `json:"orders_under_way"`
	Counts  map[string]int64   `json:"counts"`
	Cold    bool               `json:"cold_start"`
	Watch   int                `json:"watchers"`
}

// Stats gives the snapshot.
func (c *Coord) Stats(now flow.Time) Stats {
	stats := Stats{Acting: c.Acting(now), Term: c.term, Offset: c.journal.Offset, Stale: c.gate.StaleCount(), Gate: map[string]int64{},
		Engines: len(c.views.Registry), Bytes: map[string]int64{}, Passed: map[string]float64{}, Moves: len(c.pending),
		Counts: map[string]int64{}, Cold: c.coldStart, Watch: len(c.watchers)}
	for _, d := range c.views.Directory {
		stats.Blocks += len(d)
	}
	for _, r := range c.views.Registry {
		stats.Oldest = max(stats.Oldest, (now - r.At).Seconds())
	}
	for k, v := range c.gate.Counts {
		stats.Gate[k] = v
	}
	for k, v := range c.views.Trainers {
		stats.Bytes[k] = v
	}
	for k, v := range c.passedAt {
		stats.Passed[k] = (now - v).Seconds()
	}
	for k, v := range c.counts {
		stats.Counts[k] = v
	}
	return stats
}

// Rows counts what each table keeps.
func (c *Coord) Rows(to map[string]int) {
	to["index_engines"], to["index_gate"], to["coord_sends"], to["moves"], to["watchers"] = len(c.views.Registry), len(c.gate.Engines), len(c.sends), len(c.pending), len(c.watchers)
	for _, d := range c.views.Directory {
		to["index_blocks"] += len(d)
	}
	for _, f := range c.feeds {
		to["feed_lines"] += len(f.lines)
	}
}
