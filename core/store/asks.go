// Questions and commands of other nodes, and their answers (design 4.3, 5.2).

package store

import (
	"github.com/go-json-experiment/json/v1"

	"fernlink/core/ask"
	"fernlink/core/flow"
	"fernlink/core/ledger"
	"fernlink/core/raft"
)

type wait struct {
	addr string
	ask  ask.Ask
	term uint64
	at   flow.Time
}

// Ask takes a question.
func (s *Store) Ask(now flow.Time, l flow.Line, out *flow.Outbox) {
	a, err := ask.Decode(l.Body, ledger.ReadsWholeBody)
	if err != nil {
		s.counts["strays"]++
		return
	}
	s.now = now
	w := wait{addr: l.Addr, ask: a, at: now}
	if s.open(w) {
		return // a second try of what is under way: one answer serves both
	}
	if s.raft.Role() != raft.Leader || !s.raft.Ready() {
		s.retry(w, out)
		return
	}
	if f, ok := own[a.Kind]; ok {
		f(s, now, w, out)
		return
	}
	if ledger.Asks(a.Kind) {
		s.read(w, out)
		return
	}
	if ledger.Knows(a.Kind) {
		s.write(w, a.Kind, a.Body, out)
		return
	}
	s.tell(w, 400, map[string]string{"error": "no such ask"}, out)
}

// same says whether two tries are of one question.
func (w wait) same(o wait) bool { return o.addr == w.addr && o.ask.ID == w.ask.ID }

func (s *Store) open(w wait) bool {
	for _, m := range []map[uint64]wait{s.writes, s.reads} {
		for _, o := range m {
			if w.same(o) {
				return true
			}
		}
	}
	return s.renewals.open(w)
}

var own map[string]func(*Store, flow.Time, wait, *flow.Outbox)

func init() {
	own = map[string]func(*Store, flow.Time, wait, *flow.Outbox){
		"renew":         (*Store).renew,
		"coord.renew":   (*Store).renewCoord,
		"coord.take":    (*Store).takeCoord,
		"coord.leave":   (*Store).leaveCoord,
		"gone":          (*Store).goneDisp,
		"coord.grant":   (*Store).refuse,
		"claim.lost":    (*Store).refuse,
		"bounds.put":    (*Store).refuse,
		"lot.own":       (*Store).refuse,
		"store.list":    (*Store).readOwn,
		"store.add":     (*Store).add,
		"store.promote": (*Store).promote,
		"store.remove":  (*Store).remove,
		"store.stop":    (*Store).stopAnnounced,
		"store.holding": (*Store).readOwn,
	}
}

func (s *Store) refuse(_ flow.Time, w wait, out *flow.Outbox) {
	s.tell(w, 400, map[string]string{"error": "only the leader says this"}, out)
}

func (s *Store) retry(w wait, out *flow.Outbox) {
	lead := s.raft.LeaderAddr()
	if lead == s.p.Addr {
		lead = ""
	}
	out.Line(w.addr, "told", ask.Told{ID: w.ask.ID, Retry: true, Leader: lead})
}

func (s *Store) tell(w wait, code int, body any, out *flow.Outbox) {
	raw, _ := json.Marshal(body)
	out.Line(w.addr, "told", ask.Told{ID: w.ask.ID, Code: code, Body: raw})
}

func (s *Store) write(w wait, kind string, body json.RawMessage, out *flow.Outbox) {
	data := ledger.Command{Kind: kind, At: s.time(), Body: body}.Encode()
	at, term, err := s.raft.Propose("cmd", data)
	s.hold(w, at, term, err, out)
}

func (s *Store) hold(w wait, at, term uint64, err error, out *flow.Outbox) {
	if err != nil {
		s.tell(w, 409, map[string]string{"error": err.Error()}, out)
		return
	}
	s.counts["writes"]++
	w.term = term
	s.writes[at] = w
}

func (s *Store) read(w wait, out *flow.Outbox) {
	s.token++
	s.counts["reads"]++
	if !s.raft.Read(s.token) {
		s.retry(w, out)
		return
	}
	s.reads[s.token] = w
}

func (s *Store) readOwn(_ flow.Time, w wait, out *flow.Outbox) { s.read(w, out) }

// reply tells a result, once what it needs was read from the blob store.
func (s *Store) reply(w wait, res ledger.Result, out *flow.Outbox) {
	if len(res.Need) == 0 {
		told, err := ask.Told{ID: w.ask.ID, Code: res.Code, Body: res.Body}.Encode()
		out.EncodedLine(w.addr, "told", told, err)
		return
	}
	s.fetch(flow.Fetch{Refs: res.Need}, out, func(got flow.Fetched, out *flow.Outbox) {
		if len(got.Missing) > 0 {
			s.tell(w, 410, map[string]string{"error": "this was retired just now"}, out)
			return
		}
		var items [][]byte
		for _, p := range got.Parts {
			items = append(items, p.Body)
		}
		s.reply(w, res.With(items), out)
	})
}

var answers map[string]func(*Store, flow.Time, wait) ledger.Result

func init() {
	answers = map[string]func(*Store, flow.Time, wait) ledger.Result{
		"coord.renew": (*Store).renewedCoord,
		"store.list":  (*Store).list,

		"store.holding": (*Store).holding,
	}
}

func (s *Store) answer(now flow.Time, w wait, out *flow.Outbox) {
	f, ok := answers[w.ask.Kind]
	if !ok {
		f = func(s *Store, _ flow.Time, w wait) ledger.Result { return s.ledger.Query(w.ask.Kind, w.ask.Body) }
	}
	s.reply(w, f(s, now, w), out)
}

func body(v any) json.RawMessage { b, _ := json.Marshal(v); return b }
