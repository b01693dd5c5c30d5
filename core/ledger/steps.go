// Steps and their results (design 8.3).

package ledger

import (
	"github.com/go-json-experiment/json/v1"

	"fernlink/core/ledger/keys"
	"fernlink/core/sorted"
)

func (l *Ledger) openStep(c Command) Result {
	var d StepDoc
	if json.Unmarshal(c.Body, &d) != nil {
		return fail(400, "step does not parse")
	}
	if d.tooMany() {
		return fail(400, "more groups or samples than a step may have")
	}
	h := Hash(c.Body)
	if old := l.Steps[d.ID]; old != nil {
		if old.Hash != h {
			return fail(409, "a step of this id exists with other content")
		}
		return good(l.Sum(old))
	}
	name, id := keys.Name("step", d.ID), uint64(0)
	if _, used := l.Keys.Find(name); used {
		return fail(410, "a step of this id has ended and was retired")
	}
	t := l.Targets[d.Pool]
	if t != nil && d.Revision < t.Revision-d.Lag {
		return fail(409, "the pool has gone on to newer weights than this step allows")
	}
	all, own := 0, 0
	for _, s := range l.Steps {
		if s.State == "open" {
			all++
			if s.Doc.Trainer == d.Trainer {
				own++
			}
		}
	}
	if own >= l.Bounds.Open {
		return fail(429, "too many open steps of this trainer (open_steps)")
	}
	if all >= KeepOpen {
		return fail(429, "too many open steps")
	}
	if !l.room(c.At) {
		return fail(503, "too many run-once keys and step ids are remembered (keys_most)")
	}
	if t == nil || d.Revision > t.Revision {
		l.target(d.Pool, d.Revision)
	}
	id = l.Index
	l.Keys.Add(keys.Row{Key: name, Hash: keys.Short(h), At: stamp(c.At), State: keys.Step})
	s := &Step{Doc: d, Wants: d.Wanted(), Hash: h, State: "open", Opened: c.At, Item: id, Mod: l.Index}
	l.Steps[d.ID] = s
	l.put(DocItem, id, c.Body)
	return good(l.Sum(s))
}

// knownStep answers a question about a step that is kept (KnownOrder).
func (l *Ledger) knownStep(body json.RawMessage) (Result, bool) {
	var d StepDoc
	_ = json.Unmarshal(body, &d)
	old := l.Steps[d.ID]
	if old == nil || old.Hash != Hash(body) {
		return Result{}, false
	}
	return good(l.Sum(old)), true
}

// Sum is a step without its prompts and texts.
type Sum struct {
	ID       string `json:"id"`
	Trainer  string `json:"trainer"`
	Pool     string `json:"pool"`
	Revision int    `json:"revision"`
	State    string `json:"state"`
	Wanted   int    `json:"wanted"`
	Listed   int    `json:"listed"`
}

// Sum sums up one step.
func (l *Ledger) Sum(s *Step) Sum {
	return Sum{s.Doc.ID, s.Doc.Trainer, s.Doc.Pool, s.Doc.Revision, s.State, s.Wants, len(s.List)}
}

func (l *Ledger) endStep(c Command) Result {
	var id string
	_ = json.Unmarshal(c.Body, &id)
	s := l.Steps[id]
	if s == nil {
		return fail(404, "no such step")
	}
	if s.State == "open" {
		s.State, s.Ended, s.Mod, s.Doc.Groups = "ended", c.At, l.Index, nil
		l.drop(DocItem, s.Item)
		l.Ends = append(l.Ends, id)
		l.retire(s.Doc.Trainer)
	}
	return good(l.Sum(s))
}

// retire forgets ended steps, oldest first: those past their time, and those of
// a trainer that holds more than its share.
func (l *Ledger) retire(trainer string) {
	for len(l.Ends) > 0 && (len(l.Ends) > KeepEnded || l.Clock-l.Steps[l.Ends[0]].Ended > l.Bounds.Age) {
		l.retireAt(0)
	}
	l.shrink(trainer, l.Bounds.Bytes)
	for sum(l.Kept) > TrainersFull*l.Bounds.Bytes {
		most := ""
		for _, t := range sorted.Keys(l.Kept) {
			if most == "" || l.Kept[t] > l.Kept[most] {
				most = t
			}
		}
		if !l.shrink(most, l.Kept[most]-1) {
			return
		}
	}
}

func sum(m map[string]int64) (n int64) {
	for _, x := range m {
		n += x
	}
	return
}

// shrink brings a trainer's results under a bound, as far as ended steps go.
func (l *Ledger) shrink(trainer string, most int64) bool {
	any := false
	for i := 0; i < len(l.Ends) && l.Kept[trainer] > most; {
		if l.Steps[l.Ends[i]].Doc.Trainer == trainer {
			l.retireAt(i)
			any = true
			continue
		}
		i++
	}
	return any
}

func (l *Ledger) retireAt(i int) {
	id := l.Ends[i]
	s := l.Steps[id]
	for _, r := range s.List {
		l.drop(TextItem, r.Item)
	}
	if l.Kept[s.Doc.Trainer] -= s.Bytes; l.Kept[s.Doc.Trainer] <= 0 {
		delete(l.Kept, s.Doc.Trainer)
	}
	delete(l.Steps, id)
	if i == 0 {
		l.Ends = l.Ends[1:]
		return
	}
	l.Ends = append(l.Ends[:i:i], l.Ends[i+1:]...)
}

// addEntry lists the first result for a sample and drops later ones. It
// checks again what must never be listed (design 8.3).
func (l *Ledger) addEntry(c Command) Result {
	var a AddEntry
	if json.Unmarshal(c.Body, &a) != nil {
		return fail(400, "result does not parse")
	}
	s := l.Steps[a.Step]
	if s == nil {
		return fail(404, "no such step")
	}
	g := s.group(a.Entry.Group)
	for i, r := range s.List {
		if g >= 0 && int(r.Group) == g && int(r.Sample) == a.Entry.Sample {
			return good(map[string]any{"seq": i + 1, "kept": false})
		}
	}
	if s.State != "open" {
		return fail(409, "the step has ended")
	}
	if why := s.wrong(a.Entry); why != "" {
		return fail(422, why)
	}
	a.Entry.Seq, a.Entry.Mod = len(s.List)+1, l.Index
	b := raw(a.Entry)
	s.List = append(s.List, Row{uint16(g), uint16(a.Entry.Sample), uint32(len(b)), l.Index})
	n := int64(len(b) + sizeOf)
	s.Bytes += n
	l.Kept[s.Doc.Trainer] += n
	l.put(TextItem, l.Index, b)
	l.retire(s.Doc.Trainer)
	return good(map[string]any{"seq": a.Entry.Seq, "kept": true})
}

func (s *Step) group(id string) int {
	for i, g := range s.Doc.Groups {
		if g.ID == id {
			return i
		}
	}
	return -1
}

func (s *Step) wrong(e Entry) string {
	g := s.group(e.Group)
	if g < 0 || e.Sample < 0 || e.Sample >= s.Doc.Groups[g].Samples {
		return "no such sample in the step"
	}
	if e.Finish != "stop" && e.Finish != "length" {
		return "the text is not whole"
	}
	if e.Verdict.Hash != Hash([]byte(e.Text)) {
		return "the verdict is not of this text"
	}
	at, revs := 0, map[int]bool{}
	for _, p := range e.Spans {
		if p.From != at || p.To < p.From {
			return "the weights do not cover the text"
		}
		at = p.To
		revs[p.Revision] = true
		if p.Revision < s.Doc.Revision-s.Doc.Lag || p.Revision > s.Doc.Revision {
			return "made under weights that the step does not allow"
		}
	}
	if at != len(e.Text) || len(e.Spans) == 0 {
		return "the weights do not cover the text"
	}
	if s.Doc.OneVersion && len(revs) > 1 {
		return "the step requires one version of the weights"
	}
	return ""
}
