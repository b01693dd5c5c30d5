package ledger

import (
	"fmt"
	"strings"
	"testing"

	"github.com/go-json-experiment/json/v1"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"fernlink/core/flow"
	"fernlink/core/ledger/keys"
)

func do(l *Ledger, kind Kind, body any) Result {
	b, _ := json.Marshal(body)
	c, _ := json.Marshal(Command{Kind: kind, At: 1000, Body: b})
	return l.Apply(l.Index+1, c)
}

func stepDoc(id string, rev, lag int, one bool) StepDoc {
	return StepDoc{ID: id, Trainer: "t", Pool: "p", Revision: rev, Lag: lag, OneVersion: one, DeadlineMS: 1000,
		Groups: []Group{{ID: "g", Prompt: "x", Samples: 4, Tokens: 8}}}
}

func entry(sample int, text string, spans ...Span) Entry {
	return Entry{Group: "g", Sample: sample, Text: text, Finish: "stop", Spans: spans, Verdict: Verdict{State: "none", Hash: Hash([]byte(text))}}
}

// stow does to a blob store what the ledger wants done; again loads its snapshot.
func stow(l *Ledger, blobs map[flow.Ref][]byte) {
	b, _ := l.Box()
	for _, x := range b.Put {
		blobs[x.Ref] = x.Body
	}
	for _, x := range b.Drop {
		delete(blobs, x)
	}
}

func again(l *Ledger, blobs map[flow.Ref][]byte) (*Ledger, error) {
	d := l.Snapshot()
	stow(l, blobs)
	return Load(d, blobs)
}

// Given the lease at term 2, when orders of other terms come, then they are
// refused and leave nothing.
func TestOldTermOrdersNothing(t *testing.T) {
	l := New()
	do(l, "coord.grant", GrantCoord{Term: 0, ID: "a"})
	do(l, "coord.grant", GrantCoord{Term: 1, ID: "b"})
	if r := do(l, "coord.grant", GrantCoord{Term: 1, ID: "c"}); r.Code != 409 {
		t.Fatalf("a grant over a term that moved on: %d", r.Code)
	}
	for _, term := range []uint64{1, 3} {
		if r := do(l, "order.put", Order{Engine: "e", Inc: "1", Revision: 5, Term: term}); r.Code != 409 || len(l.Orders) != 0 {
			t.Fatalf("an order of term %d: %d %v", term, r.Code, l.Orders)
		}
	}
	if r := do(l, "order.put", Order{Engine: "e", Inc: "1", Revision: 5, Term: 2}); r.Code != 200 {
		t.Fatalf("an order of the term in force: %d %s", r.Code, r.Body)
	}
	if r := do(l, "order.put", Order{Engine: "e", Inc: "1", Revision: 4, Term: 2}); r.Code != 409 {
		t.Fatalf("an order back to older weights: %d", r.Code)
	}
}

// Given an open step, when results that must never be listed come, then each
// is refused for what is wrong with it.
func TestNeverListed(t *testing.T) {
	l := New()
	do(l, "step.open", stepDoc("s", 5, 1, false))
	do(l, "step.open", stepDoc("one", 5, 1, true))
	good := entry(0, "abcd", Span{0, 4, 5})
	bad := map[string]Entry{
		"not whole":   func() Entry { e := good; e.Finish = "abort"; return e }(),
		"not of this": func() Entry { e := good; e.Verdict.Hash = "0"; return e }(),
		"no such":     entry(9, "abcd", Span{0, 4, 5}),
		"not allow":   entry(0, "abcd", Span{0, 4, 3}),
		"cover":       entry(0, "abcd", Span{0, 3, 5}),
	}
	for why, e := range bad {
		if r := do(l, "result.add", AddEntry{"s", e}); r.Code != 422 || !strings.Contains(string(r.Body), why) {
			t.Errorf("%s: %d %s", why, r.Code, r.Body)
		}
	}
	mixed := entry(0, "abcd", Span{0, 2, 4}, Span{2, 4, 5})
	if r := do(l, "result.add", AddEntry{"one", mixed}); r.Code != 422 {
		t.Errorf("two versions where one is required: %d", r.Code)
	}
	if r := do(l, "result.add", AddEntry{"s", mixed}); r.Code != 200 {
		t.Errorf("two versions where that is allowed: %d %s", r.Code, r.Body)
	}
	do(l, "step.end", "s")
	if r := do(l, "result.add", AddEntry{"s", entry(1, "abcd", Span{0, 4, 5})}); r.Code != 409 {
		t.Errorf("into an ended step: %d", r.Code)
	}
}

// Given any order of results, repeats among them, when they are listed, then
// none moves, changes or stands twice, and a snapshot keeps them all.
func TestListNeverMoves(t *testing.T) {
	p := gopter.DefaultTestParametersWithSeed(99)
	p.MinSuccessfulTests = 60
	config := gopter.NewProperties(p)
	config.Property("the list only grows", prop.ForAll(func(samples []int) bool {
		l := New()
		do(l, "step.open", stepDoc("s", 1, 0, true))
		var before []string
		blobs := map[flow.Ref][]byte{}
		for i, n := range samples {
			text := fmt.Sprint("text", i)
			do(l, "result.add", AddEntry{"s", entry(n%4, text, Span{0, len(text), 1})})
			if i%3 == 2 {
				var err error
				if l, err = again(l, blobs); err != nil {
					return false
				}
			}
			var now []string
			seen := map[int]bool{}
			stow(l, blobs)
			for j, r := range l.Steps["s"].List {
				var e Entry
				if json.Unmarshal(blobs[flow.Ref{Kind: TextItem, ID: r.Item}], &e) != nil || seen[e.Sample] || e.Seq != j+1 || e.Sample != int(r.Sample) {
					return false
				}
				seen[e.Sample] = true
				now = append(now, e.Text)
			}
			for j := range before {
				if before[j] != now[j] {
					return false
				}
			}
			before = now
		}
		return true
	}, gen.SliceOfN(12, gen.IntRange(0, 7))))
	config.TestingRun(t)
}

// at applies a command at a time in seconds.
func at(l *Ledger, sec int64, kind Kind, body any) Result {
	b, _ := json.Marshal(body)
	c, _ := json.Marshal(Command{Kind: kind, At: sec * 1000, Body: b})
	return l.Apply(l.Index+1, c)
}

// Given two trainers, one of which fills its share, when its steps pass the
// bound or the time, then its oldest go, the other's stay, and a retired id is
// never taken again.
func TestRetention(t *testing.T) {
	l := New()
	l.Bounds.Bytes, l.Bounds.Age = 20_000, 600_000
	blobs := map[flow.Ref][]byte{}
	step := func(sec int64, id, trainer string) {
		d := stepDoc(id, 1, 0, true)
		d.Trainer = trainer
		at(l, sec, "step.open", d)
		text := strings.Repeat("x", 900)
		for i := 0; i < 4; i++ {
			at(l, sec, "result.add", AddEntry{id, entry(i, text, Span{0, 900, 1})})
		}
		at(l, sec, "step.end", id)
		stow(l, blobs)
	}
	step(1, "quiet", "b")
	for i := 0; i < 40; i++ {
		step(int64(i), fmt.Sprint("busy", i), "a")
	}
	if l.Steps["quiet"] == nil || l.Steps["busy39"] == nil || l.Steps["busy0"] != nil || l.Kept["a"] > l.Bounds.Bytes {
		t.Errorf("kept: quiet %v, newest %v, oldest %v, %d bytes", l.Steps["quiet"], l.Steps["busy39"], l.Steps["busy0"], l.Kept["a"])
	}
	if r := l.Query("result.page", raw(Page{Step: "busy0"})); r.Code != 410 {
		t.Errorf("a retired step reads as %d", r.Code)
	}
	l, err := again(l, blobs)
	if err != nil {
		t.Fatal(err)
	}
	d := stepDoc("busy0", 1, 0, true)
	d.Trainer = "a"
	if r := at(l, 50, "step.open", d); r.Code != 410 {
		t.Errorf("a retired id: %d", r.Code)
	}
	step(700, "later", "a")
	if len(l.Steps) != 1 {
		t.Errorf("after their time %d steps are kept", len(l.Steps))
	}
	for ref := range blobs {
		if ref.Kind == TextItem && ref.ID < l.Steps["later"].List[0].Item {
			t.Errorf("the blob store still has result %d", ref.ID)
			break
		}
	}
	if r := at(l, 23*3600, "step.open", d); r.Code != 410 {
		t.Errorf("a retired id after 23 hours: %d", r.Code)
	}
}

// Given keys at twice the larger rate and bounds of a day, all at one part in
// forty-eight, when each comes, then none is refused or forgotten early, and
// after that time the table no longer grows. The whole day is rig day's.
func TestKeysForADay(t *testing.T) {
	l := New()
	blobs := map[flow.Ref][]byte{}
	rate, day := int64(12), int64(24*3600/48)
	l.Bounds.Keys, l.Bounds.KeyAge = Usual.Keys/48+keys.PageRows, day*1000
	name := func(sec, n int64) string { return fmt.Sprint("k", sec, "/", n) }
	most := 0
	for sec := int64(0); sec < 3*day; sec++ {
		for n := int64(0); n < rate; n++ {
			k := name(sec, n)
			l.Index++
			if r := l.takeClaim(TakeClaim{Key: k, Hash: "h", Owner: "d/1"}, Command{At: sec * 1000}); r.Code != 200 {
				t.Fatalf("at %d s: %d %s", sec, r.Code, r.Body)
			}
			l.Index++
			l.doneClaim(DoneClaim{Key: k, Owner: "d/1", State: "done", Code: 200}, Command{At: sec * 1000})
		}
		if old := sec - day; old >= 0 {
			if _, ok := l.Keys.Find(keys.Name("key", name(old, rate-1))); !ok {
				t.Fatalf("the key of second %d was forgotten at %d", old, sec)
			}
		}
		most = max(most, l.Keys.Len())
		if sec%300 == 0 {
			var err error
			if l, err = again(l, blobs); err != nil {
				t.Fatal(err)
			}
		}
	}
	if bound := int(rate*day) + 2*keys.PageRows; most > bound || most > l.Bounds.Keys {
		t.Errorf("%d keys at most, the day has %d", most, bound)
	}
	if n := len(l.Snapshot()); n > 1<<18 {
		t.Errorf("the snapshot has %d bytes", n)
	}
}

// Given claims whose outcome is late, doubled or never told, when others ask,
// then no key runs twice and none stays in progress for ever.
func TestLateOutcomes(t *testing.T) {
	l := New()
	take := func(owner string) (c Claim) {
		r := at(l, 1, "claim.take", Claim{Key: "k", Hash: "h", Owner: owner})
		for len(r.Need) > 0 {
			b, _ := l.Box()
			r = r.With([][]byte{b.Put[len(b.Put)-1].Body})
		}
		_ = json.Unmarshal(r.Body, &c)
		return c
	}
	done := func(owner, state string) Outcome {
		return at(l, 2, "claim.done", Claim{Key: "k", Hash: "h", Owner: owner, State: state, Code: 200, Type: "t", Body: []byte("b")}).Code
	}
	// A refusal overtakes its own claim.
	done("a/1", "refused")
	if c := take("a/1"); c.State != "refused" {
		t.Errorf("a claim after its refusal: %+v", c)
	}
	l = New()
	if c := take("a/1"); c.Owner != "a/1" || c.State != "claimed" {
		t.Errorf("the first: %+v", c)
	}
	if c := take("b/1"); c.Owner != "a/1" || c.State != "claimed" {
		t.Errorf("the second: %+v", c)
	}
	if code := done("b/1", "done"); code != 409 {
		t.Errorf("another's outcome: %d", code)
	}
	at(l, 3, "claim.lost", LostClaim{Row: 0, Owner: "a/1"})
	if c := take("b/2"); c.State != "unknown" {
		t.Errorf("after its owner was lost: %+v", c)
	}
	if code := done("a/1", "done"); code != 200 || take("b/3").State != "unknown" {
		t.Errorf("the outcome moved: %d", code)
	}
	l = New()
	take("a/1")
	done("a/1", "done")
	if c := take("b/1"); c.State != "done" || string(c.Body) != "b" || c.Type != "t" || c.Hash != "h" {
		t.Errorf("the recorded answer: %+v", c)
	}
}

// Given many steps and plans, when more come, then what is kept stays within
// its bounds, for each trainer too.
func TestKeptWithinBounds(t *testing.T) {
	l := New()
	for i := 0; i < 2*KeepPlans; i++ {
		do(l, "plan.put", PutPlan{Read: uint64(i), Request: fmt.Sprint("r", i), Doc: json.RawMessage(`{}`)})
	}
	if len(l.Plans) != KeepPlans || l.Plan().Version != 2*KeepPlans {
		t.Errorf("%d plans, version %d", len(l.Plans), l.Plan().Version)
	}
	for i := 0; i < KeepOpen+8; i++ {
		d := stepDoc(fmt.Sprint("o", i), 1000, 0, true)
		d.Trainer = fmt.Sprint("t", i/(l.Bounds.Open+1))
		full := i%(l.Bounds.Open+1) == l.Bounds.Open || len(l.Steps) == KeepOpen
		if r := do(l, "step.open", d); (r.Code == 429) != full {
			t.Errorf("open step %d: %d", i, r.Code)
		}
	}
	l.Bounds.Keys = l.Keys.Len()
	if r := do(l, "claim.take", Claim{Key: "one more", Owner: "a/1"}); r.Code != 503 || !strings.Contains(string(r.Body), "keys_most") {
		t.Errorf("one key more than fits: %d %s", r.Code, r.Body)
	}
}
