package store

import (
	"github.com/go-json-experiment/json/v1"

	"fernlink/core/flow"
	"fernlink/core/ledger"
	"fernlink/core/raft"
)

// A member that lacks entries which the leader no longer has fetches the
// leader's snapshot in pieces: first the state, then the items that its own blob store
// lacks, and only then is the snapshot put in force (design 4.10). Pieces are
// asked for one by one, so they never crowd out heartbeats, and what came stays if
// the leader or its snapshot changes midway.

// askMost is how many items one line names.
const askMost = 1024

// Pull asks for a piece of the snapshot at Index: of its state from At, or of
// items, the first from At.
type Pull struct {
	Index uint64     `json:"i"`
	Refs  []flow.Ref `json:"r,omitempty"`
	At    int        `json:"at"`
	From  string     `json:"f,omitempty"` // the member that fetches
	Most  int        `json:"m,omitempty"` // about how many bytes the piece may have
}

// pull is a snapshot on its way here.
type pull struct {
	offer    raft.Offer
	state    []byte
	snapshot *flow.Snapshot
	ledger   *ledger.Ledger
	need     []flow.Ref // what loading takes
	want     []flow.Ref // not here yet
	part     []byte     // of the first of them
	then     func(*flow.Outbox)
	pace     pace
	busy     bool // the blob store is being looked at
}

// offered hears of a snapshot.
func (s *Store) offered(o raft.Offer, out *flow.Outbox) {
	if p := s.pull; p != nil && p.offer.Index == o.Index && p.offer.From == o.From {
		return
	}
	if s.pull == nil {
		out.Note("store", "fetching a snapshot", "index", o.Index)
	}
	size := pieceStart
	if s.pull != nil {
		size = s.pull.pace.size
	}
	s.pull = &pull{offer: o, pace: newPace(size)}
	s.counts["pulls"]++
}

// pulling asks for the next piece, again if none came.
func (s *Store) pulling(out *flow.Outbox) {
	p := s.pull
	if p == nil || p.busy || !p.pace.due(s.now) {
		return
	}
	// A silence of the leader alone is no reason to begin anew.
	if leader := s.raft.LeaderID(); p.offer.Index <= s.raft.Commit() || leader != "" && leader != p.offer.From {
		s.pull = nil
		return
	}
	to := s.addrs[p.offer.From]
	if to == "" {
		to = s.raft.LeaderAddr()
	}
	if to == "" {
		return
	}
	q := Pull{Index: p.offer.Index, From: s.p.ID, Most: p.pace.ask(s.now)}
	if p.snapshot == nil {
		q.At = len(p.state)
	} else {
		q.Refs, q.At = p.want[:min(len(p.want), askMost)], len(p.part)
	}
	out.Line(to, "pull", q)
}

// Pulled answers a member that fetches.
func (s *Store) Pulled(now flow.Time, l flow.Line, out *flow.Outbox) {
	var q Pull
	d := s.raft.Snapshot()
	if json.Unmarshal(l.Body, &q) != nil || s.raft.Role() != raft.Leader || d == nil || q.Index != d.Index || q.At < 0 {
		s.counts["stray_pulls"]++
		return
	}
	s.retention.asked(q.From, now)
	most := pieceMost
	if q.Most > 0 {
		most = min(q.Most, pieceMost)
	}
	if len(q.Refs) > 0 {
		s.fetch(flow.Fetch{Refs: q.Refs, At: q.At, Most: most}, out, func(got flow.Fetched, out *flow.Outbox) {
			if len(got.Parts) > 0 {
				out.Line(l.Addr, "piece", Piece{Index: q.Index, From: s.p.ID, At: q.At, Parts: got.Parts}.sealed())
			}
		})
		return
	}
	if s.blobAt != d.Index {
		s.blob, s.blobAt = body(d), d.Index
	}
	if q.At > len(s.blob) {
		return
	}
	out.Line(l.Addr, "piece", Piece{Index: q.Index, From: s.p.ID, At: q.At, Size: len(s.blob), State: s.blob[q.At:min(len(s.blob), q.At+most)]}.sealed())
}

// Piece takes a piece. One that is damaged, old, doubled or of another leader is
// dropped; it is asked for again as one that did not come.
func (s *Store) Piece(now flow.Time, l flow.Line, out *flow.Outbox) {
	var x Piece
	if json.Unmarshal(l.Body, &x) != nil || x.damaged() {
		s.counts["damaged_pieces"]++
		return
	}
	p := s.pull
	if p == nil || x.Index != p.offer.Index || x.From != p.offer.From || p.busy {
		s.counts["stray_pieces"]++
		return
	}
	s.now = now
	s.counts["pieces"]++
	if p.snapshot == nil {
		if x.At != len(p.state) || len(x.Parts) > 0 {
			s.counts["stray_pieces"]++
			return
		}
		p.pace.came(now)
		if p.state = append(p.state, x.State...); len(p.state) == x.Size {
			s.gotState(p, out)
		}
		s.pulling(out)
		return
	}
	s.gotParts(p, x, out)
	s.pulling(out)
}

func (s *Store) gotState(p *pull, out *flow.Outbox) {
	var d flow.Snapshot
	var err error
	if err = json.Unmarshal(p.state, &d); err == nil {
		p.need, err = ledger.Needs(d.State)
	}
	if err != nil || d.Index != p.offer.Index || d.Term != p.offer.Term {
		flow.Warn.Note(out, "store", "a snapshot from the leader does not read, trying again")
		s.pull = nil
		return
	}
	p.state, p.snapshot = nil, &d
	s.lacking(p, p.need, out, func(out *flow.Outbox) {
		s.busy(p, flow.Fetch{Refs: p.need}, out, func(got flow.Fetched, out *flow.Outbox) { s.gotNeeds(p, got, out) })
	})
}

// busy looks at the blob store; a pull that was given up meanwhile is not gone on with.
func (s *Store) busy(p *pull, f flow.Fetch, out *flow.Outbox, then func(flow.Fetched, *flow.Outbox)) {
	p.busy = true
	s.fetch(f, out, func(got flow.Fetched, out *flow.Outbox) {
		if s.pull != p {
			return
		}
		p.busy = false
		p.pace.idle()
		then(got, out)
	})
}

// lacking finds which items the own blob store lacks, and goes on once all are here.
func (s *Store) lacking(p *pull, refs []flow.Ref, out *flow.Outbox, then func(*flow.Outbox)) {
	s.busy(p, flow.Fetch{Refs: refs, Check: true}, out, func(got flow.Fetched, out *flow.Outbox) {
		p.want, p.part, p.then = got.Missing, nil, then
		if len(p.want) == 0 {
			then(out)
		}
	})
}

func (s *Store) gotParts(p *pull, x Piece, out *flow.Outbox) {
	var put []flow.Item
	for i, part := range x.Parts {
		if len(p.want) == 0 || part.Ref != p.want[0] || part.At != len(p.part) || i == 0 && x.At != part.At {
			s.counts["stray_pieces"]++
			break
		}
		if i == 0 {
			p.pace.came(s.now)
		}
		if p.part = append(p.part, part.Body...); len(p.part) < part.Size {
			break
		}
		put = append(put, flow.Item{Ref: part.Ref, Body: p.part})
		p.want, p.part = p.want[1:], nil
	}
	if len(put) > 0 {
		out.Blobs = append(out.Blobs, flow.BlobChange{Put: put, At: p.offer.Index})
	}
	if len(p.want) == 0 && len(put) > 0 {
		p.then(out)
	}
}

func (s *Store) gotNeeds(p *pull, got flow.Fetched, out *flow.Outbox) {
	items := map[flow.Ref][]byte{}
	for _, x := range got.Parts {
		items[x.Ref] = x.Body
	}
	l, err := ledger.Load(p.snapshot.State, items)
	if err != nil {
		flow.Warn.Note(out, "store", "a snapshot from the leader does not load, trying again", "failure", err.Error())
		s.pull = nil
		return
	}
	p.ledger = l
	var refs []flow.Ref
	all := l.Items()
	for _, kind := range []string{ledger.DocItem, ledger.PageItem, ledger.ReceiptItem, ledger.AnswerItem, ledger.LotPartItem, ledger.LotTextItem, ledger.TextItem} {
		for _, id := range all[kind] {
			refs = append(refs, flow.Ref{Kind: kind, ID: id})
		}
	}
	s.lacking(p, refs, out, func(out *flow.Outbox) { s.install(p, out) })
}

// install puts the snapshot in force. The blobs syncs what came before the
// snapshot is written, and drops what it does not name.
func (s *Store) install(p *pull, out *flow.Outbox) {
	s.pull = nil
	if !s.raft.Install(p.snapshot) {
		return
	}
	s.ledger = p.ledger
	out.Blobs = append(out.Blobs, flow.BlobChange{Only: s.ledger.Items(), At: p.snapshot.Index})
	out.Note("store", "took a snapshot", "index", p.snapshot.Index)
}
