package disp

import (
	"github.com/go-json-experiment/json/v1"

	"fernlink/core/ask"
	"fernlink/core/flow"
	"fernlink/core/ledger"
	"fernlink/core/sorted"
)

// Progress is how far a pool's roll-out is, by this dispatcher's engines.
type Progress struct {
	Pool    string   `json:"pool"`
	Target  int      `json:"revision"`
	Paused  bool     `json:"paused"`
	Engines int      `json:"engines"`
	There   int      `json:"at_revision"`
	Ordered []string `json:"ordered"` // being changed just now
	Waiting []string `json:"waiting"` // not ordered yet
}

// roll tells targets, orders and progress.
func (d *Disp) roll(c flow.Call) {
	d.p.Asker.Ask(d.now, patience(c), ledger.GetRoll{}, func(now flow.Time, a ask.Answer) {
		var x struct {
			Targets []ledger.Target `json:"targets"`
			Orders  []ledger.Order  `json:"orders"`
			Coord   ledger.Coord    `json:"coordinator"`
			Rolls   []Progress      `json:"progress"`
		}
		if a.Code != ledger.Accepted || !d.Fresh(now) || json.Unmarshal(a.Body, &x) != nil {
			d.told(now, c, a)
			return
		}
		x.Rolls = []Progress{}
		for _, t := range x.Targets {
			x.Rolls = append(x.Rolls, d.progress(t))
		}
		d.answerOwn(c.ID, granted(x))
	})
}

func (d *Disp) progress(t ledger.Target) Progress {
	p := Progress{Pool: t.Pool, Target: t.Revision, Paused: t.Paused, Ordered: []string{}, Waiting: []string{}}
	for _, id := range sorted.Keys(d.engines) {
		e := d.engines[id]
		if e.Pool != t.Pool || e.Kind != "model" {
			continue
		}
		p.Engines++
		if e.known && e.load.Revision >= t.Revision {
			p.There++
		} else if d.ordered(e) {
			p.Ordered = append(p.Ordered, id)
		} else {
			p.Waiting = append(p.Waiting, id)
		}
	}
	return p
}
