package store

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"fernlink/core/flow"
	"fernlink/core/ledger"
	"fernlink/core/raft"
)

// blobs is a blob store in memory.
type blobs map[flow.Ref][]byte

// settle does what an outbox wants of the blob store, and what follows from that.
func (b blobs) settle(s *Store, now flow.Time, out *flow.Outbox) {
	for len(out.Blobs)+len(out.Fetch) > 0 {
		for _, change := range out.Blobs {
			for _, item := range change.Put {
				b[item.Ref] = slices.Clone(item.Body)
			}
		}
		fetches := out.Fetch
		out.Blobs, out.Fetch = nil, nil
		for _, fetch := range fetches {
			s.Fetched(now, b.read(fetch), out)
		}
	}
}

func (b blobs) read(fetch flow.Fetch) flow.Fetched {
	got := flow.Fetched{ID: fetch.ID}
	at := fetch.At
	for _, ref := range fetch.Refs {
		body, kept := b[ref]
		switch {
		case !kept:
			got.Missing = append(got.Missing, ref)
		case !fetch.Check:
			end := len(body)
			if fetch.Most > 0 {
				end = min(end, at+fetch.Most)
			}
			got.Parts = append(got.Parts, flow.Part{Ref: ref, At: at, Size: len(body), Body: body[at:end]})
			at = 0
		}
	}
	return got
}

// fetching is a leader with a snapshot, and a blank member that fetches it.
type fetching struct {
	*testing.T
	leader, member       *lone
	leaderHas, memberHas blobs
	pulls                []flow.Line // that the member sent and nobody answered yet
}

// plans is how many plans the leader's state has.
const plans = 12

func newFetching(t *testing.T) *fetching {
	t.Helper()
	x := &fetching{T: t, leader: newLone(t), leaderHas: blobs{}, memberHas: blobs{}}
	x.leader.store.p.Keep = plans / 2
	for version := range uint64(plans) {
		doc, _ := json.Marshal(strings.Repeat(fmt.Sprint("plan ", version, " "), 40))
		x.leader.ask("d:1", version+1, "plan.put", ledger.PutPlan{Read: version, Request: fmt.Sprint("r", version), Doc: doc})
		x.advance()
	}
	offered := x.leader.store.raft.Snapshot()
	if offered == nil {
		t.Fatal("the leader has no snapshot")
	}
	blank, err := New(time.Hour, Config{ID: "f", Addr: "f:1", Keep: 1000, Bounds: ledger.Usual, Rand: rand.New(rand.NewSource(2))})
	if err != nil {
		t.Fatal(err)
	}
	x.member = &lone{store: blank, now: x.leader.now}
	blank.addrs["s"] = "s:1"
	x.onMember(func(out *flow.Outbox) {
		blank.now = x.member.now
		blank.offered(raft.Offer{From: "s", Index: offered.Index, Term: offered.Term}, out)
		blank.pull.pace = newPace(pieceSize)
		blank.pulling(out)
	})
	return x
}

// pieceSize has the state come in several pieces.
const pieceSize = 512

// advance runs the leader for a while.
func (x *fetching) advance() {
	x.leader.now += 100 * time.Millisecond
	var out flow.Outbox
	x.leader.store.Advance(x.leader.now, 1_700_000_000_000, nil, x.leader.store.self, &out)
	x.leader.batch++
	x.leader.store.Mark(x.leader.batch)
	x.leader.store.Synced(x.leader.batch)
	x.leaderHas.settle(x.leader.store, x.leader.now, &out)
}

// onMember has the member do something, and keeps what it asks for.
func (x *fetching) onMember(do func(*flow.Outbox)) {
	var out flow.Outbox
	do(&out)
	x.memberHas.settle(x.member.store, x.member.now, &out)
	x.member.store.pulling(&out)
	for _, line := range out.Lines {
		if line.Kind == "pull" {
			x.pulls = append(x.pulls, line)
		}
	}
}

// piece has the leader answer the member's question.
func (x *fetching) piece() []byte {
	x.Helper()
	if len(x.pulls) == 0 {
		x.Fatal("the member asks for nothing")
	}
	pull := x.pulls[len(x.pulls)-1]
	x.pulls = nil
	var out flow.Outbox
	x.leader.store.Pulled(x.leader.now, flow.Line{Addr: "f:1", Body: pull.Body}, &out)
	x.leaderHas.settle(x.leader.store, x.leader.now, &out)
	if len(out.Lines) != 1 || out.Lines[0].Kind != "piece" {
		x.Fatalf("the leader answers with %v", out.Lines)
	}
	return out.Lines[0].Body
}

func (x *fetching) hear(piece []byte) {
	x.onMember(func(out *flow.Outbox) {
		x.member.store.Piece(x.member.now, flow.Line{Addr: "s:1", Body: piece}, out)
	})
}

// progress is all that a member has of a snapshot.
type progress struct {
	state, part string
	want, items int
	whole       bool
	index       uint64
}

func (x *fetching) progress() progress {
	now := progress{items: len(x.memberHas), index: x.member.store.ledger.Index}
	if p := x.member.store.pull; p != nil {
		now.state, now.part, now.want, now.whole = string(p.state), string(p.part), len(p.want), p.snapshot != nil
	}
	return now
}

// saysTheSame says whether two pieces differ in nothing but their checksum.
func saysTheSame(a, b []byte) bool {
	var x, y Piece
	if json.Unmarshal(a, &x) != nil || json.Unmarshal(b, &y) != nil {
		return false
	}
	x.Sum, y.Sum = 0, 0
	return reflect.DeepEqual(x, y)
}

// damages are variants of a piece: with one bit turned, and cut.
func damages(piece []byte) [][]byte {
	var out [][]byte
	for at := range piece {
		turned := slices.Clone(piece)
		turned[at] ^= 1 << (at % 8)
		out = append(out, turned, piece[:at])
	}
	return slices.DeleteFunc(out, func(damaged []byte) bool { return saysTheSame(damaged, piece) })
}

// Given a member that fetches a snapshot, when each piece comes damaged before it
// comes whole, with a bit turned or cut at any byte, then the damaged ones are counted
// and leave no trace, and the fetch ends with the leader's state.
func TestDamagedPiecesLeaveNoTrace(t *testing.T) {
	x := newFetching(t)
	pieces, refused := 0, 0
	for ; x.member.store.pull != nil; pieces++ {
		whole := x.piece()
		before := x.progress()
		for _, damaged := range damages(whole) {
			counts := x.member.store.counts
			was := counts["damaged_pieces"] + counts["stray_pieces"]
			x.hear(damaged)
			if now := x.progress(); now != before {
				t.Fatalf("piece %d: the member took %q for %q", pieces, damaged, whole)
			}
			if counts["damaged_pieces"]+counts["stray_pieces"] != was+1 {
				t.Fatalf("piece %d: %q is not counted", pieces, damaged)
			}
			refused++
		}
		x.hear(whole)
	}
	snapshot := x.leader.store.raft.Snapshot()
	if got := x.member.store.ledger.Snapshot(); string(got) != string(snapshot.State) {
		t.Errorf("the member has %s, the leader %s", got, snapshot.State)
	}
	t.Logf("%d pieces, %d damaged ones refused", pieces, refused)
	if pieces < 4 || refused < 1000 {
		t.Errorf("too little was tried: %d pieces, %d damaged ones", pieces, refused)
	}
}

// Given a leader of a build without checksums, when its pieces come, then they are
// taken.
func TestPiecesWithoutAChecksumAreTaken(t *testing.T) {
	x := newFetching(t)
	for x.member.store.pull != nil {
		var piece Piece
		if err := json.Unmarshal(x.piece(), &piece); err != nil {
			t.Fatal(err)
		}
		piece.Sum = 0
		x.hear(body(piece))
	}
	if index := x.member.store.ledger.Index; index != x.leader.store.raft.Snapshot().Index {
		t.Errorf("the member is at %d", index)
	}
}
