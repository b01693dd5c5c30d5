package ledger

import (
	"github.com/go-json-experiment/json/v1"

	"fernlink/core/flow"
	"fernlink/core/ledger/keys"
)

func stamp(ms int64) uint32 { return uint32(ms / 1000) }

// room forgets keys that are old enough, and says whether one more has room.
// None is forgotten early (design 4.7).
func (l *Ledger) room(now int64) bool {
	for {
		page, answers, ok := l.Keys.Expire(stamp(now), stamp(l.Bounds.KeyAge))
		if !ok {
			return l.Keys.Len() < l.Bounds.Keys
		}
		l.drop(AnswerItem, answers...)
		l.drop(PageItem, page)
	}
}

var stateNames = map[uint8]string{keys.Claimed: "claimed", keys.Done: "done", keys.Refused: "refused", keys.Unknown: "unknown"}

var stateCodes = map[string]uint8{"done": keys.Done, "refused": keys.Refused, "unknown": keys.Unknown}

// took is what lies on the blob store of an answer.
type took struct {
	Type string `json:"type"`
	Body []byte `json:"body"`
}

// TakeClaim claims a run-once key (design 7.2). takeClaim applies it;
// TestKeysForADay, TestLateOutcomes.
type TakeClaim Claim

// Kind names the command.
func (TakeClaim) Kind() Kind { return KindClaimTake }

func (l *Ledger) takeClaim(take TakeClaim, c Command) Result {
	k := Claim(take)
	if k.Key == "" {
		return badClaim.Result()
	}
	name := keys.Name("key", k.Key)
	if n, ok := l.Keys.Find(name); ok {
		return l.told(n, k)
	}
	if !l.room(c.At) {
		return keysFull.Result()
	}
	n := l.Keys.Add(keys.Row{Key: name, Hash: keys.Short(k.Hash), At: stamp(c.At), State: keys.Claimed})
	l.Owners[n] = k.Owner
	return l.told(n, k)
}

// told gives a row as a claim. Its hash is the asker's own if both agree.
func (l *Ledger) told(n uint64, asked Claim) Result {
	r := l.Keys.Row(n)
	k := Claim{Key: asked.Key, Owner: l.Owners[n], State: stateNames[r.State], Code: int(r.Code), At: int64(r.At) * 1000}
	if r.Hash == keys.Short(asked.Hash) {
		k.Hash = asked.Hash
	}
	if r.Item == 0 {
		return good(k)
	}
	return Result{Code: Accepted, Need: []flow.Ref{{Kind: AnswerItem, ID: r.Item}}, With: func(items [][]byte) Result {
		var a took
		_ = json.Unmarshal(items[0], &a)
		k.Type, k.Body = a.Type, a.Body
		return good(k)
	}}
}

// DoneClaim says what became of a claim (design 7.2). doneClaim applies it;
// TestKeysForADay, TestLateOutcomes.
type DoneClaim Claim

// Kind names the command.
func (DoneClaim) Kind() Kind { return KindClaimDone }

func (l *Ledger) doneClaim(k DoneClaim, c Command) Result {
	if stateCodes[k.State] == 0 {
		return badClaim.Result()
	}
	name := keys.Name("key", k.Key)
	n, ok := l.Keys.Find(name)
	if !ok && k.State == "refused" && l.room(c.At) {
		// Its claim may still be on its way here: it finds the key refused.
		l.Keys.Add(keys.Row{Key: name, Hash: keys.Short(k.Hash), At: stamp(c.At), State: keys.Refused})
		return good(struct{}{})
	}
	if ok && l.Keys.Row(n).State != keys.Claimed {
		return good(struct{}{}) // said twice, or settled for its owner meanwhile
	}
	if !ok || l.Owners[n] != k.Owner {
		return notTheOwner.Result()
	}
	item, size := uint64(0), 0
	if k.Body != nil && l.Keys.Bytes+int64(len(k.Body)) <= l.Bounds.Answers {
		item, size = l.Index, len(k.Body)
		l.put(AnswerItem, item, raw(took{k.Type, k.Body}))
	}
	l.Keys.Settle(n, stateCodes[k.State], k.Code, item, size)
	delete(l.Owners, n)
	return good(struct{}{})
}

// LostClaim settles the claim of an owner that is gone (design 7.2). lostClaim
// applies it; TestLateOutcomes.
type LostClaim struct {
	Row   uint64 `json:"row"`
	Owner string `json:"owner"`
}

// Kind names the command.
func (LostClaim) Kind() Kind { return KindClaimLost }

// lostClaim settles a claim whose owner is gone: whether it ran is not known.
func (l *Ledger) lostClaim(x LostClaim, _ Command) Result {
	if !l.Keys.Has(x.Row) || l.Owners[x.Row] != x.Owner || x.Owner == "" {
		return noSuchClaim.Result()
	}
	l.Keys.Settle(x.Row, keys.Unknown, 0, 0, 0)
	delete(l.Owners, x.Row)
	return good(struct{}{})
}

// PutBounds puts a leader's bounds into force (design 4.7). putBounds applies it;
// TestCommandsOfAnEarlierBuild.
type PutBounds Bounds

// Kind names the command.
func (PutBounds) Kind() Kind { return KindBoundsPut }

func (l *Ledger) putBounds(put PutBounds, _ Command) Result {
	b := Bounds(put)
	if b.Keys <= 0 || b.KeyAge <= 0 || b.Age <= 0 || b.Bytes <= 0 || b.Open <= 0 {
		return badBounds.Result()
	}
	l.Bounds = b
	return good(b)
}
