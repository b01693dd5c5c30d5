package disp

import (
	"net/http"

	"fernlink/core/budget"
	"fernlink/core/dialect"
	"fernlink/core/flow"
	"fernlink/core/sorted"
)

// engine is one back end as this dispatcher knows it (design 5.4).
type engine struct {
	dialect.Listed
	load   dialect.Load
	known  bool // a load report has come
	good   flow.Time
	due    flow.Time
	open   bool
	bad    bool // refused or broke since its last good report
	mine   int  // generations and requests of this dispatcher on it
	others int  // of everyone else, at the last report
	// An engine that breaks stream after stream rests for longer each time.
	strikes int
	rest    flow.Time
	leaves  flow.Time // when it will be gone, by its own word; 0 is unknown
}

func (e *engine) strike(now flow.Time) {
	e.strikes++
	if e.strikes >= 2 {
		e.rest = now + min(budget.HeartbeatInterval<<min(e.strikes, 8), budget.Heal)
	}
}

func (d *Disp) readList() {
	if d.now < d.listDue || d.listOpen || d.p.Platform == "" {
		return
	}
	d.listOpen, d.listDue = true, d.now+budget.ListInterval
	d.send(flow.Send{Verb: "GET", URL: d.p.Platform, Until: d.now + budget.PollTimeout, Limit: d.now + budget.PollTimeout}, func(b flow.Back) {
		d.listOpen = false
		list, err := dialect.List(b.Body)
		if b.Err != "" || b.Code != http.StatusOK || err != nil {
			d.counts["list_failures"]++
			return // the last list stands; engines' own reports still count
		}
		d.takeList(list)
	})
}

func (d *Disp) takeList(list []dialect.Listed) {
	d.listSeen = true
	seen := map[string]bool{}
	for _, l := range list {
		seen[l.ID] = true
		e := d.engines[l.ID]
		if e == nil {
			e = &engine{due: d.now}
			d.engines[l.ID] = e
		}
		if e.URL != "" && e.URL != l.URL {
			e.known, e.due = false, d.now
		}
		e.Listed = l
	}
	for _, id := range sorted.Keys(d.engines) {
		if !seen[id] {
			d.forget(id)
			d.drop(d.engines[id])
			delete(d.engines, id)
		}
	}
}

func (d *Disp) readLoads() {
	for _, id := range sorted.Keys(d.engines) {
		e := d.engines[id]
		if d.now < e.due || e.open {
			continue
		}
		e.open, e.due = true, d.now+budget.PollInterval
		url := e.URL
		d.send(flow.Send{Verb: "GET", URL: dialect.LoadURL(url), Until: d.now + budget.PollTimeout, Limit: d.now + budget.PollTimeout}, func(b flow.Back) {
			e.open = false
			l, err := dialect.ReadLoad(b.Body)
			if b.Err != "" || b.Code != http.StatusOK || err != nil || e.URL != url {
				d.counts["load_failures"]++
				return
			}
			d.takeLoad(e, l)
		})
	}
}

func (d *Disp) takeLoad(e *engine, l dialect.Load) {
	if e.known && (l.Inc != e.load.Inc || l.Revision != e.load.Revision) {
		d.forget(e.ID) // a new start or new weights: what it held is gone
	}
	e.load, e.known, e.bad, e.good = l, true, false, d.now
	e.leaves = 0
	if l.Leaves > 0 {
		e.leaves = d.now + flow.Time(l.Leaves)*1e6
	}
	e.others = max(0, l.Running+l.Waiting-e.mine)
	d.sign(e)
}

// usable says whether an engine may get new work (design 5.4).
func (d *Disp) usable(e *engine) bool {
	return e.known && !e.bad && e.State == "ready" && e.load.State != "draining" &&
		!d.drains[e.ID] && d.now-e.good < budget.LoadReportTimeout && !d.ordered(e)
}

// ordered says whether a weight order for this very engine start stands, or is
// done and not seen in a load report yet: until then its weights, and so the
// KV that a request may reuse, are not known here.
func (d *Disp) ordered(e *engine) bool {
	o, ok := d.orders[e.ID]
	if !ok || o.Inc != e.load.Inc {
		return false
	}
	return o.State == "ordered" || o.State == "done" && e.load.Revision < o.Revision
}

func (e *engine) busy() int { return e.mine + e.others }
