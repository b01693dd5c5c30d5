package sim

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/go-json-experiment/json/v1"

	"fernlink/core/flow"
	"fernlink/core/ledger"
	"fernlink/rig/standin"
)

// Train opens one step after the other, each naming the next weights.
type Train struct {
	Name    string
	Groups  int
	Samples int
	Tokens  int
	Lag     int
	One     bool
	Most    time.Duration // a step is ended after this, done or not
	next    func()        // opens the next step, if it is not the usual one
}

// Train puts a trainer to work. It goes on to the next weights when a step is
// done or has taken too long.
func (a *Actors) Train(t Train) {
	a.nextStep(t, 1)
}

func (a *Actors) prompt(step, group string) string {
	var b strings.Builder
	for i := 0; i < 24; i++ {
		fmt.Fprintf(&b, "%07d ", i*7919) // what all groups share
	}
	x := a.w.Rand.Int63()
	for i := 0; i < 24; i++ {
		x = x*6364136223846793005 + 1442695040888963407
		fmt.Fprintf(&b, "%07x ", uint64(x)>>36)
	}
	fmt.Fprintf(&b, "|%s|%s|", step, group)
	return b.String()
}

func (a *Actors) nextStep(t Train, rev int) {
	if a.Stop {
		return
	}
	if t.next != nil {
		t.next()
		return
	}
	id := fmt.Sprintf("%s-%d", t.Name, rev)
	doc := ledger.StepDoc{ID: id, Trainer: t.Name, Pool: ModelPool, Revision: rev, Lag: t.Lag, OneVersion: t.One, Judge: "http://10.3.0.1:80/judge", DeadlineMS: 60000}
	for g := 0; g < t.Groups; g++ {
		gid := fmt.Sprintf("g%d", g)
		doc.Groups = append(doc.Groups, ledger.Group{ID: gid, Prompt: a.prompt(id, gid), Samples: t.Samples, Tokens: t.Tokens})
	}
	s := &seen{doc: doc, keys: map[string]bool{}, began: a.w.Now}
	a.Steps[id] = s
	a.Order = append(a.Order, id)
	a.open(s, t, rev)
}

func (a *Actors) open(s *seen, t Train, rev int) {
	if a.Stop {
		return
	}
	got := false
	a.disp().Call(Call("step.open", nil, s.doc), func(r flow.Reply) {
		if got || s.acked {
			return
		}
		got = true
		if r.Code == 200 {
			s.acked = true
			a.follow(s, t, rev)
			return
		}
		if r.Code == 409 {
			// Another trainer is further on: this step is void.
			delete(a.Steps, s.doc.ID)
			a.Order = slices.DeleteFunc(a.Order, func(id string) bool { return id == s.doc.ID })
			a.nextStep(t, rev+1)
			return
		}
		a.w.After(300*time.Millisecond, func() { a.open(s, t, rev) })
	})
	a.w.After(4*time.Second, func() {
		if !got {
			got = true
			a.open(s, t, rev)
		}
	})
}

// follow reads the step's list until all is there or patience ends.
func (a *Actors) follow(s *seen, t Train, rev int) {
	a.w.Every(150*time.Millisecond, func() bool {
		if s.ended {
			return false
		}
		if a.Stop {
			return true
		}
		a.read(s)
		if len(s.list) == s.doc.Wanted() {
			a.Done++
			a.StepWait = append(a.StepWait, a.w.Now-s.began)
			s.ended = true
			a.end(s)
			a.nextStep(t, rev+1)
			return false
		}
		if a.w.Now-s.began > t.Most {
			s.ended = true
			a.end(s)
			a.nextStep(t, rev+1)
			return false
		}
		return true
	})
}

func (a *Actors) read(s *seen) {
	from := 0
	if n := len(s.list); n > 0 && a.w.Rand.Intn(4) > 0 {
		from = n
	}
	c := Call("step.results", map[string]string{"id": s.doc.ID}, nil)
	c.Query["after"] = fmt.Sprint(from)
	a.disp().Call(c, func(r flow.Reply) {
		if r.Code != 200 {
			if r.Code == 404 {
				a.w.Wrong("step %s was acknowledged and is not there", s.doc.ID)
			}
			return
		}
		var p ledger.Pages
		if json.Unmarshal(r.Body, &p) != nil {
			a.w.Wrong("results of %s do not parse", s.doc.ID)
			return
		}
		a.compare(s, from, p.Results)
	})
}

func (a *Actors) compare(s *seen, from int, list []ledger.Entry) {
	for i, e := range list {
		at := from + i
		raw := string(toJSON(e))
		if at < len(s.list) {
			if s.list[at] != raw {
				a.w.Wrong("%s: the result at %d changed", s.doc.ID, at+1)
			}
			continue
		}
		k := fmt.Sprintf("%s/%d", e.Group, e.Sample)
		if e.Seq != at+1 || s.keys[k] {
			a.w.Wrong("%s: result %s at %d has place %d, seen before: %v", s.doc.ID, k, at+1, e.Seq, s.keys[k])
		}
		s.keys[k] = true
		s.list = append(s.list, raw)
		a.Listed++
		a.Tokens += e.Tokens
		if err := standin.CheckEntry(s.doc, e, a.StopAt); err != nil {
			a.w.Wrong("%s %s: %v", s.doc.ID, k, err)
		}
		if e.Verdict.State == "given" && a.w.Out.Judge.Given[ledger.Hash([]byte(e.Text))] == "" {
			a.w.Wrong("%s %s: a verdict that the judge did not give", s.doc.ID, k)
		}
	}
}

func (a *Actors) end(s *seen) {
	got := false
	a.disp().Call(Call("step.end", map[string]string{"id": s.doc.ID}, nil), func(r flow.Reply) {
		if got {
			return
		}
		got = true
		if r.Code == 200 {
			if _, ok := a.w.Out.Ends[s.doc.ID]; !ok {
				a.w.Out.Ends[s.doc.ID] = a.w.Now
			}
			return
		}
		a.w.After(300*time.Millisecond, func() { a.end(s) })
	})
	a.w.After(4*time.Second, func() {
		if !got {
			got = true
			a.end(s)
		}
	})
}
