package disp

import (
	"math/rand"
	"testing"
	"time"

	"github.com/go-json-experiment/json/v1"

	"fernlink/api"
	"fernlink/core/ask"
	"fernlink/core/flow"
	"fernlink/core/ledger"
)

// node is a dispatcher whose renewals and questions the test answers.
type node struct {
	t       *testing.T
	d       *Disp
	asker   *ask.Asker
	now     flow.Time
	replies map[uint64]flow.Reply
	asked   []ask.Ask // that are not answered
}

func newNode(t *testing.T) *node {
	n := &node{t: t, asker: ask.New(0), now: time.Second, replies: map[uint64]flow.Reply{}}
	ids := uint64(0)
	n.d = New(Config{ID: "me.0", Addr: "me", Rand: rand.New(rand.NewSource(1)), Asker: n.asker, IDs: func() uint64 { ids++; return ids }})
	return n
}

// take carries an outbox out.
func (n *node) take(out *flow.Outbox) {
	n.asker.Advance(n.now, []string{"store"}, out)
	for _, r := range out.Replies {
		n.replies[r.ID] = r
	}
	for _, l := range out.Lines {
		var a ask.Ask
		if (l.Kind == ask.Line || l.Kind == ask.LeaseLine) && json.Unmarshal(l.Body, &a) == nil {
			n.asked = append(n.asked, a)
		}
	}
}

func (n *node) turn(d flow.Time) {
	n.now += d
	var out flow.Outbox
	n.d.Advance(n.now, nil, &out)
	n.take(&out)
}

// tell answers the oldest question of a kind, and says whether there is one.
func (n *node) tell(kind ledger.Kind, code ledger.Outcome, body any) bool {
	for i, a := range n.asked {
		if a.Kind != kind {
			continue
		}
		n.asked = append(n.asked[:i:i], n.asked[i+1:]...)
		raw, _ := json.Marshal(body)
		var out flow.Outbox
		n.d.Bind(n.now, &out)
		n.asker.Take(n.now, "store", ask.Told{ID: a.ID, Code: code, Body: raw})
		n.take(&out)
		return true
	}
	return false
}

// view is a renewal's answer with a plan of one pool with models.
func view(version uint64, models ...string) ledger.Delta {
	doc, _ := json.Marshal(api.Plan{Pools: []api.Pool{{Name: "llm", Kind: "model", Models: models}}})
	return ledger.Delta{Index: version, Plan: &ledger.Plan{Version: version, Doc: doc}}
}

// renew has renewals that are under way answered.
func (n *node) renew(d ledger.Delta) {
	for range 30 {
		n.turn(20 * time.Millisecond)
		if n.tell(ask.KindRenew, ledger.Accepted, d) {
			return
		}
	}
	n.t.Fatal("no renewal is sent")
}

func (n *node) name(id uint64, model string) {
	var out flow.Outbox
	n.d.Call(n.now, flow.Call{ID: id, Name: "weights.put", Vars: map[string]string{"pool": model}, Body: []byte(`{"revision":2}`)}, nil, &out)
	n.take(&out)
}

// The cause of review/6 on a related path: what a plan lacks that is older than the fact before
// it was called unknown.
//
// Given a model that a configuration has just added, which another node acknowledged, when a
// trainer names a version of it at a node whose plan is older, then the node asks the store
// once it has renewed, and does not say that there is no such model.
func TestAModelIsNotUnknownByAnOlderPlan(t *testing.T) {
	n := newNode(t)
	n.renew(view(1, "old"))
	n.name(7, "new")
	n.turn(10 * time.Millisecond)
	if r, told := n.replies[7]; told {
		t.Fatalf("answered %d %s by an older plan", r.Code, r.Body)
	}
	n.renew(view(2, "old", "new"))
	n.turn(10 * time.Millisecond)
	if !n.tell(ledger.KindTargetPut, ledger.Accepted, map[string]int{"revision": 2}) {
		t.Fatalf("the store is not asked; %+v", n.asked)
	}
	if r := n.replies[7]; r.Code != 200 {
		t.Errorf("%d %s", r.Code, r.Body)
	}
}

// Given a model that no plan has, when a version of it is named, then that is said once the view
// is proved; and where no renewal comes, when to come back.
func TestAModelIsUnknownByAProvedView(t *testing.T) {
	n := newNode(t)
	n.renew(view(1, "old"))
	n.name(7, "nobody")
	n.renew(view(1, "old"))
	n.turn(10 * time.Millisecond)
	n.tell(ledger.KindOrderKnown, ledger.NotFound, nil)
	if r := n.replies[7]; r.Code != 404 {
		t.Errorf("%d %s", r.Code, r.Body)
	}
	n.name(8, "nobody")
	for range 100 {
		n.turn(10 * time.Millisecond)
	}
	if r := n.replies[8]; r.Code != 503 || len(n.d.doubts) != 0 {
		t.Errorf("without a renewal: %d %s, %d wait", r.Code, r.Body, len(n.d.doubts))
	}
}

// Given a step for a pool that a configuration has just added, when it is opened at a node whose
// plan is older, then it is not refused before the node has renewed.
func TestAPoolIsNotUnknownByAnOlderPlan(t *testing.T) {
	n := newNode(t)
	n.renew(ledger.Delta{Index: 1, Plan: &ledger.Plan{Version: 1, Doc: []byte(`{}`)}})
	var out flow.Outbox
	step := `{"id":"s","trainer":"t","pool":"llm","revision":1,"deadline_ms":1000,"groups":[{"id":"g","prompt":"p","samples":1,"max_tokens":4}]}`
	n.d.Call(n.now, flow.Call{ID: 9, Name: "step.open", Body: []byte(step)}, nil, &out)
	n.take(&out)
	n.turn(10 * time.Millisecond)
	if r, told := n.replies[9]; told {
		t.Fatalf("answered %d %s by an older plan", r.Code, r.Body)
	}
	n.renew(view(2, "m"))
	n.turn(10 * time.Millisecond)
	if !n.tell(ledger.KindStepOpen, ledger.Accepted, map[string]string{}) {
		t.Fatalf("the store is not asked; %+v", n.replies[9])
	}
}

// Given a call that waits for a proved view, when the process stops or its caller leaves, then it
// is refused, or forgotten.
func TestCallsThatWaitForAViewEnd(t *testing.T) {
	n := newNode(t)
	n.renew(view(1, "old"))
	n.name(7, "new")
	n.name(8, "new")
	var out flow.Outbox
	n.d.Gone(n.now, 8, &out)
	n.d.Leave(n.now, &out)
	n.take(&out)
	n.turn(10 * time.Millisecond)
	if r := n.replies[7]; r.Code != 503 || n.replies[8].Code != 0 || len(n.d.doubts) != 0 {
		t.Errorf("%d and %d, %d wait", r.Code, n.replies[8].Code, len(n.d.doubts))
	}
}
