package disp

import (
	"net/http"
	"strings"

	"fernlink/core/budget"
	"fernlink/core/dialect"
	"fernlink/core/flow"
	"fernlink/core/ledger"
	"fernlink/core/place"
	"fernlink/core/prefix"
	"fernlink/core/resend"
	"fernlink/core/sorted"
)

// run is one try of a generation on one engine.
type run struct {
	gen    *gen
	engine *engine
	inc    string
	id     uint64
	base   []piece // what it goes on from
	had    int     // tokens in base
	blocks []string
	hits   int
	salt   int // the weights whose KV it may reuse
	rev    int
	text   strings.Builder
	tokens int
	finish string
	done   bool
	broken string
	prompt int
	cached int
	began  flow.Time
	last   flow.Time
}

func (p piece) size() int { return len(p.text) }

func join(ps []piece) string {
	var b strings.Builder
	for _, p := range ps {
		b.WriteString(p.text)
	}
	return b.String()
}

// stop cuts all runs and keeps nothing running.
func (g *gen) stop(d *Disp) {
	for len(g.runs) > 0 {
		g.leave(d, g.runs[0], true)
	}
	if g.state == sent {
		g.state = held
	}
}

// leave ends a run. Its text stays as a partial if it is the longest.
func (g *gen) leave(d *Disp, r *run, cut bool) {
	if cut {
		d.cut(r.id)
	}
	r.engine.mine--
	if g.group.first == r {
		g.group.first = nil
	}
	for i, x := range g.runs {
		if x == r {
			g.runs = append(g.runs[:i:i], g.runs[i+1:]...)
			break
		}
	}
	if ps, n := r.partial(); n > g.tokens {
		g.kept, g.tokens = ps, n
		d.counts["partials"]++
	}
}

// partial is what another run may go on from. A text that was said to be
// finished, on a stream that then broke, is none: going on would run past its
// end (design 8.6).
func (r *run) partial() ([]piece, int) {
	if r.tokens == 0 || r.finish == "stop" || r.finish == "length" {
		return r.base, r.had
	}
	return append(append([]piece(nil), r.base...), piece{r.text.String(), r.rev}), r.had + r.tokens
}

func (d *Disp) start(g *gen, e *engine) {
	doc := g.step.doc
	r := &run{gen: g, engine: e, inc: e.load.Inc, salt: e.load.Revision, base: g.kept, had: g.tokens, began: d.now, last: d.now}
	prompt := g.group.doc.Prompt + join(g.kept)
	r.blocks = g.group.blocks
	if len(g.kept) > 0 {
		r.blocks = prefix.Blocks(prompt)
		d.counts["resumed"]++
	}
	r.hits = d.hits(e, r.blocks)
	if g.state == held {
		g.since = d.now
	}
	g.state = sent
	g.tries++
	e.mine++
	d.counts["runs"]++
	g.runs = append(g.runs, r)
	if r.hits == 0 && g.group.first == nil {
		g.group.first = r
	}
	r.id = d.sendWork(flow.Send{Verb: "POST", URL: dialect.TextURL(e.URL), Stream: true,
		Head: map[string]string{"Content-Type": "application/json"},
		Body: dialect.Text(doc.Pool, prompt, max(1, g.group.doc.Tokens-g.tokens), g.sample, e.load.Revision, e.load.Inc),
		// The lease proves the step is open; the deadline bounds the rest.
		Until: min(d.till, g.step.late), Limit: g.step.late}, func(b flow.Back) { d.news(r, b) })
}

// news folds one event of a stream, or its end.
func (d *Disp) news(r *run, b flow.Back) {
	if !b.End {
		if why := d.event(r, b.Event); why != "" {
			r.broken = why
			d.counts["broken_streams"]++
			d.fail(r, true)
		}
		return
	}
	evidence := resend.Protocol{}.Observe(b)
	whole := resend.Decide(resend.Generation, evidence) == resend.Accept && b.Code == http.StatusOK && r.done && (r.finish == "stop" || r.finish == "length")
	if whole {
		d.wholeText(r)
		return
	}
	switch {
	case evidence == resend.Unsent:
		r.engine.bad = r.engine.bad || d.now < r.gen.step.late && d.fresh()
	case b.Err != "":
		r.engine.due = d.now // look at once whether it is still there
	}
	d.fail(r, false)
}

func (d *Disp) event(r *run, raw []byte) string {
	if r.done {
		return "events after the end mark"
	}
	if string(raw) == dialect.Done {
		r.done = true
		return ""
	}
	e, err := dialect.ReadEvent(raw)
	if err != nil {
		return err.Error()
	}
	if r.rev == 0 {
		if why := d.suits(r, e.Revision); why != "" {
			return why
		}
		r.rev = e.Revision
	}
	if e.Revision != r.rev {
		d.forget(r.engine.ID)
		r.engine.due = d.now
		return "the weights changed in mid-stream"
	}
	r.last, r.engine.good = d.now, d.now
	if r.finish != "" && e.Text != "" {
		return "text after the finish"
	}
	if e.Text != "" {
		if r.tokens == 0 {
			d.begun(r)
		}
		r.text.WriteString(e.Text)
		r.tokens += e.Tokens
	}
	if e.Finish != "" {
		r.finish = e.Finish
	}
	if e.Usage {
		r.prompt, r.cached = e.Prompt, e.Cached
	}
	return ""
}

// suits checks the engine's own word on its weights against the step.
func (d *Disp) suits(r *run, rev int) string {
	if rev != r.engine.load.Revision {
		r.engine.load.Revision = rev
		r.engine.due = d.now
		d.forget(r.engine.ID)
	}
	if rev != r.salt {
		return "other weights than the KV it may reuse"
	}
	s := r.gen.step
	if !s.allows(rev) {
		return "weights that the step does not allow"
	}
	if n := len(r.base); n > 0 && r.base[n-1].rev != rev && !s.mixes() {
		return "other weights than the partial's"
	}
	return ""
}

// begun is the first token: the prefix is in the engine's cache now.
func (d *Disp) begun(r *run) {
	if r.gen.group.first == r {
		r.gen.group.first = nil
	}
	d.holds(r.engine, r.inc, r.rev, r.blocks, r.hits, r.gen.step.doc.Trainer)
}

// fail ends a run that did not come to a whole text.
func (d *Disp) fail(r *run, cut bool) {
	g := r.gen
	g.leave(d, r, cut)
	d.counts["failed_runs"]++
	if r.finish != "abort" {
		g.shy = r.engine
		r.engine.strike(d.now)
	}
	if len(g.runs) == 0 && g.state == sent {
		g.state = held
		g.again = d.now + budget.HeartbeatInterval*flow.Time(min(g.tries, 10)) // a growing pause
	}
}

// wholeText takes the first whole text of a generation and stops its twin.
func (d *Disp) wholeText(r *run) {
	g := r.gen
	g.leave(d, r, false)
	for len(g.runs) > 0 {
		g.leave(d, g.runs[0], true)
	}
	ps := append(append([]piece(nil), r.base...), piece{r.text.String(), r.rev})
	at := 0
	var spans []ledger.Span
	for _, p := range ps {
		if n := len(spans); n > 0 && spans[n-1].Revision == p.rev {
			spans[n-1].To += p.size()
		} else {
			spans = append(spans, ledger.Span{From: at, To: at + p.size(), Revision: p.rev})
		}
		at += p.size()
	}
	text := join(ps)
	g.whole = ledger.Entry{Group: g.group.doc.ID, Sample: g.sample, Text: text, Finish: r.finish, Engine: r.engine.ID,
		Spans: spans, Prompt: r.prompt, Cached: r.cached, Tokens: r.had + r.tokens}
	g.kept, g.tokens, g.shy = nil, 0, nil
	r.engine.strikes = 0
	d.learn(r)
	g.step.times = append(g.step.times, d.now-g.since)
	g.state = "judging"
	g.again, g.tries = d.now, 0
}

// watch starts a second run for a generation that hangs, or that is the long
// tail of its step: most others are done and it has taken three times as long
// (design 8.2).
func (d *Disp) watch() {
	if !d.fresh() || d.plan == nil {
		return
	}
	for _, id := range sorted.Keys(d.steps) {
		s := d.steps[id]
		mid := s.middle()
		tail := len(s.times) >= len(s.gens) // half of what is worked on here is done
		for _, g := range s.gens {
			for _, r := range append([]*run(nil), g.runs...) {
				if e := r.engine; e.leaves > 0 && d.now > e.leaves-budget.Engine/2 && r.inc == e.load.Inc {
					d.counts["moved_off"]++ // its engine goes before it would be done
					g.leave(d, r, true)
					if len(g.runs) == 0 {
						g.state = held
					}
					continue
				}
				if d.now-r.last > r.patience() {
					d.counts["hung_runs"]++
					d.fail(r, true)
				}
			}
			if g.state != sent || len(g.runs) != 1 || d.now >= s.late {
				continue
			}
			r := g.runs[0]
			hangs := d.now-r.last > budget.Listed || !d.there(r)
			if hangs || tail && mid > 0 && d.now-g.since > 3*mid {
				d.twin(g, r)
			}
		}
	}
}

// patience is how long a stream may be silent before it is given up: its
// connection may be gone without a word. Before the first token it is longer,
// and grows with each try, since a long prompt takes its time.
func (r *run) patience() flow.Time {
	if r.tokens > 0 {
		return budget.Engine
	}
	return budget.Heal / 2 * flow.Time(r.gen.tries)
}

// there says whether the run's engine still counts as there.
func (d *Disp) there(r *run) bool {
	e := r.engine
	return d.engines[e.ID] == e && e.load.Inc == r.inc && d.now-e.good < budget.LoadReportTimeout
}

func (d *Disp) twin(g *gen, r *run) {
	kept, tokens := g.kept, g.tokens
	g.kept, g.tokens = r.partial()
	seats, engines := d.seats(g, r.engine)
	if i := -1; len(seats) > 0 {
		if i = place.Policies[d.policy()](d.want(g), seats); i >= 0 {
			d.counts["twins"]++
			d.start(g, engines[i])
		}
	}
	g.kept, g.tokens = kept, tokens
}
