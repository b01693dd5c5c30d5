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
	lot  ledger.LotName // that it hands in, packed
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
	if !s.membersApply(formats[a.Kind]) {
		s.refuse(w, unknownAsk, out)
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
	if a.Kind == ledger.KindLotPut {
		s.putLot(w, out)
		return
	}
	if ledger.Recalls(a.Kind) {
		s.order(w, out)
		return
	}
	if ledger.Knows(a.Kind) {
		s.write(w, s.command(w), out)
		return
	}
	s.refuse(w, unknownAsk, out)
}

// formats has the format of the log that each kind of command needs, where earlier builds
// don't know it. Whoever hands in a lot asks for its parts first.
var formats = map[ledger.Kind]int{ledger.KindLotParts: ledger.FormatLotParts, ledger.KindLotPart: ledger.FormatLotParts}

// membersApply says whether all members that are heard apply a format of the log. During an
// upgrade those of an earlier build would come to another state.
func (s *Store) membersApply(format int) bool {
	if format == 0 {
		return true
	}
	members := s.raft.Conf()
	for _, e := range s.live {
		if members.Find(e.ID) >= 0 && e.ID != s.p.ID && e.Format < format {
			return false
		}
	}
	return true
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
	return s.renewals.open(w) || s.lotRepeats.open(w) || s.repeats.open(w)
}

// command is the command that an ask is.
func (s *Store) command(w wait) ledger.Command {
	return ledger.Command{Kind: w.ask.Kind, At: s.time(), Body: w.ask.Body}
}

// own has the asks that are no command or question of the ledger, or that only this
// leader may make one.
var own map[ledger.Kind]ownAsk

// ownAsk takes one ask.
type ownAsk func(*Store, flow.Time, wait, *flow.Outbox)

func init() {
	own = ownAskTable(
		entry{ask.KindRenew, (*Store).renew}, // decoded with its batch (renewals.go)
		taken((*Store).renewCoord),
		taken((*Store).takeCoord),
		taken((*Store).leaveCoord),
		taken((*Store).goneDisp),
		strictlyTaken((*Store).add, memberWithoutAddress),
		taken((*Store).promote),
		taken((*Store).remove),
		strictlyTaken((*Store).stopAnnounced, noSuchMember),
		entry{ask.KindMembers, (*Store).readOwn},
		entry{ask.KindHolding, (*Store).readOwn},
		entry{ledger.KindCoordGrant, (*Store).refuseOthers},
		entry{ledger.KindClaimLost, (*Store).refuseOthers},
		entry{ledger.KindBoundsPut, (*Store).refuseOthers},
		entry{ledger.KindLotOwn, (*Store).refuseOthers},
	)
}

type entry struct {
	kind ledger.Kind
	take ownAsk
}

func ownAskTable(all ...entry) map[ledger.Kind]ownAsk {
	table := map[ledger.Kind]ownAsk{}
	for _, e := range all {
		table[e.kind] = e.take
	}
	return table
}

// taken is an ask whose body is taken as far as it parses.
func taken[B ledger.Body](take func(*Store, flow.Time, wait, B, *flow.Outbox)) entry {
	var body B
	return entry{body.Kind(), func(s *Store, now flow.Time, w wait, out *flow.Outbox) {
		take(s, now, w, bodyOf[B](w), out)
	}}
}

// strictlyTaken is an ask that is refused where its body does not parse.
func strictlyTaken[B ledger.Body](take func(*Store, flow.Time, wait, B, *flow.Outbox), bad ledger.Refusal) entry {
	var body B
	return entry{body.Kind(), func(s *Store, now flow.Time, w wait, out *flow.Outbox) {
		var body B
		if json.Unmarshal(w.ask.Body, &body) != nil {
			s.refuse(w, bad, out)
			return
		}
		take(s, now, w, body, out)
	}}
}

// bodyOf decodes an ask as far as it parses.
func bodyOf[B ledger.Body](w wait) (body B) {
	_ = json.Unmarshal(w.ask.Body, &body)
	return body
}

func (s *Store) refuseOthers(_ flow.Time, w wait, out *flow.Outbox) {
	s.refuse(w, leadersOwn, out)
}

func (s *Store) retry(w wait, out *flow.Outbox) {
	lead := s.raft.LeaderAddr()
	if lead == s.p.Addr {
		lead = ""
	}
	out.Line(w.addr, "told", ask.Told{ID: w.ask.ID, Retry: true, Leader: lead})
}

func (s *Store) tell(w wait, outcome ledger.Outcome, body any, out *flow.Outbox) {
	raw, _ := json.Marshal(body)
	out.Line(w.addr, "told", ask.Told{ID: w.ask.ID, Code: outcome, Body: raw})
}

// refuse tells why an ask is not taken.
func (s *Store) refuse(w wait, why ledger.Refusal, out *flow.Outbox) { s.reply(w, why.Result(), out) }

// write proposes a command and tells its index in the log, unless it is refused.
func (s *Store) write(w wait, c ledger.Command, out *flow.Outbox) (uint64, bool) {
	at, term, err := s.raft.Propose(commandEntry, c.Encode())
	s.hold(w, at, term, err, out)
	return at, err == nil
}

// commandEntry is the kind of the log's entries that hold commands of the ledger.
const commandEntry = "cmd"

func (s *Store) hold(w wait, at, term uint64, err error, out *flow.Outbox) {
	if err != nil {
		s.refuse(w, notProposed(err), out)
		return
	}
	s.counts["writes"]++
	w.term = term
	s.writes[at] = w
	if w.lot.ID != "" {
		s.lotRepeats.underWay[w.lot] = at
	}
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
		s.tellEncoded(w, res, out)
		return
	}
	s.fetch(flow.Fetch{Refs: res.Need}, out, func(got flow.Fetched, out *flow.Outbox) {
		if len(got.Missing) > 0 {
			s.refuse(w, retiredJustNow, out)
			return
		}
		var items [][]byte
		for _, p := range got.Parts {
			items = append(items, p.Body)
		}
		s.reply(w, res.With(items), out)
	})
}

// sharedFrom is the size in bytes from which peers who are told the same share it: a plan goes
// to all dispatchers at once, and its entry to all members.
const sharedFrom = 64 << 10

// tellEncoded sends an answer whose body is encoded.
func (s *Store) tellEncoded(w wait, res ledger.Result, out *flow.Outbox) {
	told := ask.Told{ID: w.ask.ID, Code: res.Code, Body: res.Body}
	if len(res.Body) < sharedFrom {
		text, err := told.Encode()
		out.EncodedLine(w.addr, "told", text, err)
		return
	}
	told.Body = nil
	head, err := told.Encode()
	if err != nil {
		out.EncodedLine(w.addr, "told", nil, err)
		return
	}
	out.SharedLine(w.addr, "told", head, ask.ToldBody, res.Body)
}

// ownAnswer answers one ask once its read is proved.
type ownAnswer func(*Store, flow.Time, wait) ledger.Result

// answers has what is answered from this leader and not from its ledger alone.
var answers = map[ledger.Kind]ownAnswer{
	ask.KindCoordRenew: answered((*Store).renewedCoord),
	ask.KindMembers:    answered((*Store).list),
	ask.KindHolding:    answered((*Store).holding),
}

// answered decodes an ask, as far as it parses, and answers it.
func answered[B ledger.Body](answer func(*Store, flow.Time, B) ledger.Result) ownAnswer {
	return func(s *Store, now flow.Time, w wait) ledger.Result { return answer(s, now, bodyOf[B](w)) }
}

// answer answers a read that is proved.
func (s *Store) answer(now flow.Time, w wait, out *flow.Outbox) {
	if answer, isOwn := answers[w.ask.Kind]; isOwn {
		s.reply(w, answer(s, now, w), out)
		return
	}
	s.reply(w, s.ledger.Query(w.ask.Kind, w.ask.Body), out)
}

func body(v any) json.RawMessage { b, _ := json.Marshal(v); return b }
