// Steps and their results (design 8.3).

package ledger

import (
	"github.com/go-json-experiment/json/v1"

	"fernlink/core/ledger/keys"
	"fernlink/core/sorted"
)

// OpenStep opens a step (design 8.3). openStep applies it; TestRetention,
// TestKeptWithinBounds.
type OpenStep StepDoc

// Kind names the command.
func (OpenStep) Kind() Kind { return KindStepOpen }

func (l *Ledger) openStep(step OpenStep, c Command) Result {
	d := StepDoc(step)
	if d.tooMany() {
		return stepTooLarge.Result()
	}
	hash := Hash(c.Body)
	if old := l.Steps[d.ID]; old != nil {
		if old.Hash != hash {
			return otherStep.Result()
		}
		return good(l.Sum(old))
	}
	if why, refused := l.refusesStep(d, c.At); refused {
		return why.Result()
	}
	if t := l.Targets[d.Pool]; t == nil || d.Revision > t.Revision {
		l.target(d.Pool, d.Revision)
	}
	l.Keys.Add(keys.Row{Key: d.keyName(), Hash: keys.Short(hash), At: stamp(c.At), State: keys.Step})
	s := &Step{Doc: d, Wants: d.Wanted(), Hash: hash, State: "open", Opened: c.At, Item: l.Index, Mod: l.Index}
	l.Steps[d.ID] = s
	l.put(DocItem, l.Index, c.Body)
	return good(l.Sum(s))
}

// keyName is how a step's id stands among the run-once keys.
func (d StepDoc) keyName() [16]byte { return keys.Name("step", d.ID) }

// refusesStep says why a step that is new can't be opened, if it can't.
func (l *Ledger) refusesStep(d StepDoc, at int64) (why Refusal, refused bool) {
	if _, used := l.Keys.Find(d.keyName()); used {
		return stepIDUsed, true
	}
	if t := l.Targets[d.Pool]; t != nil && d.Revision < t.Revision-d.Lag {
		return stepTooOld, true
	}
	all, ofTrainer := l.openSteps(d.Trainer)
	switch {
	case ofTrainer >= l.Bounds.Open:
		return trainerFull, true
	case all >= KeepOpen:
		return stepsFull, true
	case !l.room(at):
		return keysFull, true
	}
	return Refusal{}, false
}

// openSteps counts the open steps, and those of one trainer.
func (l *Ledger) openSteps(trainer string) (all, ofTrainer int) {
	for _, s := range l.Steps {
		if s.State != "open" {
			continue
		}
		all++
		if s.Doc.Trainer == trainer {
			ofTrainer++
		}
	}
	return all, ofTrainer
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

// EndStep ends the step of this id (design 8.4). endStep applies it; TestRetention.
type EndStep string

// Kind names the command.
func (EndStep) Kind() Kind { return KindStepEnd }

func (l *Ledger) endStep(end EndStep, c Command) Result {
	id := string(end)
	s := l.Steps[id]
	if s == nil {
		return noSuchStep.Result()
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

// AddEntry lists one result in one step (design 8.3). addEntry applies it;
// TestNeverListed, TestListNeverMoves.
type AddEntry struct {
	Step  string `json:"step"`
	Entry Entry  `json:"entry"`
}

// Kind names the command.
func (AddEntry) Kind() Kind { return KindResultAdd }

// addEntry lists the first result for a sample and drops later ones. It
// checks again what must never be listed (design 8.3).
func (l *Ledger) addEntry(a AddEntry, _ Command) Result {
	s := l.Steps[a.Step]
	if s == nil {
		return noSuchStep.Result()
	}
	g := s.group(a.Entry.Group)
	for i, r := range s.List {
		if g >= 0 && int(r.Group) == g && int(r.Sample) == a.Entry.Sample {
			return good(map[string]any{"seq": i + 1, "kept": false})
		}
	}
	if s.State != "open" {
		return stepEnded.Result()
	}
	if why, wrong := s.wrong(a.Entry); wrong {
		return why.Result()
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

// wrong says why a result must not be listed, if it must not.
func (s *Step) wrong(e Entry) (why Refusal, wrong bool) {
	g := s.group(e.Group)
	switch {
	case g < 0 || e.Sample < 0 || e.Sample >= s.Doc.Groups[g].Samples:
		return noSuchSample, true
	case e.Finish != "stop" && e.Finish != "length":
		return textCut, true
	case e.Verdict.Hash != Hash([]byte(e.Text)):
		return otherVerdict, true
	}
	return s.wrongSpans(e)
}

// wrongSpans says why the weights that a result names do not allow it.
func (s *Step) wrongSpans(e Entry) (why Refusal, wrong bool) {
	covered, revisions := 0, map[int]bool{}
	for _, span := range e.Spans {
		if span.From != covered || span.To < span.From {
			return spansIncomplete, true
		}
		covered = span.To
		revisions[span.Revision] = true
		if span.Revision < s.Doc.Revision-s.Doc.Lag || span.Revision > s.Doc.Revision {
			return otherWeights, true
		}
	}
	if covered != len(e.Text) || len(e.Spans) == 0 {
		return spansIncomplete, true
	}
	if s.Doc.OneVersion && len(revisions) > 1 {
		return mixedWeights, true
	}
	return Refusal{}, false
}
