package disp

import (
	"strconv"

	"github.com/go-json-experiment/json/v1"

	"fernlink/core/ask"
	"fernlink/core/budget"
	"fernlink/core/flow"
	"fernlink/core/ledger"
	"fernlink/core/sorted"
)

// A reader of results may wait for the next ones (design 10.6). It is parked
// while its step has none after its cursor, and reads again once this dispatcher
// hears of one, the step ends, or its patience is over.

const (
	parkMost = 1024            // readers parked at one dispatcher; one more is answered at once
	waitMost = 5 * budget.Heal // what a reader may ask to wait
)

type reader struct {
	call flow.Call
	page ledger.Page
	till flow.Time
}

func (d *Disp) results(c flow.Call) {
	p := ledger.Page{Step: c.Vars["id"], Limit: 256}
	wait := 0
	for k, to := range map[string]*int{"after": &p.After, "limit": &p.Limit, "wait_ms": &wait} {
		v, ok := c.Query[k]
		if !ok {
			continue
		}
		n, err := strconv.Atoi(v)
		if err != nil || n < 0 {
			d.answerOwn(c.ID, notANumber(k))
			return
		}
		*to = n
	}
	d.page(reader{c, p, d.now + min(flow.Time(min(wait, 1<<30))*1e6, waitMost)})
}

func (d *Disp) page(r reader) {
	if !d.Fresh(d.now) {
		d.answerOwn(r.call.ID, storeUnheard)
		return
	}
	if d.now >= r.till || d.leaving {
		d.up(r.call, r.page)
		return
	}
	heard := d.lists[r.page.Step]
	d.p.Asker.Ask(d.now, patience(r.call), r.page, func(now flow.Time, a ask.Answer) {
		d.now = now
		var got struct {
			Step    ledger.Sum        `json:"step"`
			Results []json.RawMessage `json:"results"`
		}
		empty := a.Code == ledger.Accepted && json.Unmarshal(a.Body, &got) == nil && len(got.Results) == 0 && got.Step.State == "open"
		if empty && d.steps[r.page.Step] != nil && len(d.parked) < parkMost && !d.leaving {
			if d.lists[r.page.Step] != heard {
				d.page(r) // one was listed while this was asked
				return
			}
			d.parked[r.call.ID] = r
			return
		}
		d.told(now, r.call, a)
	})
}

// unpark lets readers go on whose time is over, whose step has news or ended.
func (d *Disp) unpark() {
	for _, id := range sorted.Keys(d.parked) {
		r := d.parked[id]
		if d.now >= r.till || d.leaving || d.steps[r.page.Step] == nil || d.stirred[r.page.Step] {
			delete(d.parked, id)
			d.page(r)
		}
	}
	clear(d.stirred)
}

// stir notes that something was listed in a step.
func (d *Disp) stir(step string) {
	if d.steps[step] != nil {
		d.lists[step]++
		d.stirred[step] = true
	}
}
