// Package standin holds stand-ins for the outside: model engines, application
// engines, the judge and the platform list. The cores here run in virtual
// time; both the simulator and the rig's processes drive them. Each knows the
// truth of what it did, so that runs can be checked from outside.
package standin

import (
	"fmt"
	"hash/fnv"
	"sort"
	"time"

	"github.com/go-json-experiment/json/v1"

	"fernlink/core/dialect"
	"fernlink/core/prefix"
	"fernlink/core/sorted"
)

// TokenBytes is the size of a stand-in's token.
const TokenBytes = 8

// Pace says how fast an engine is.
type Pace struct {
	Prefill time.Duration // for one token that is not in the cache
	Decode  time.Duration // for one token made
	Load    time.Duration // for new weights
	Stop    int           // one token in so many ends the text
}

// Usual is a pace that keeps runs short.
var Usual = Pace{Prefill: 300 * time.Microsecond, Decode: 4 * time.Millisecond, Load: 300 * time.Millisecond, Stop: 48}

// Engine is one model engine.
type Engine struct {
	ID, Inc, Pool string
	Rev           int
	Slots, Blocks int
	Pace          Pace
	Draining      bool
	Leaves        int64 // in so many ms it will be gone, if above zero
	KeepCache     bool  // does not flush on new weights: only salts guard it

	cache   map[string]*held
	jobs    map[uint64]*job
	queue   []uint64
	fence   uint64
	loading time.Duration
	next    int
	tick    uint64

	// What truly happened, for checkers.
	Reused   int // generations that reused KV of other weights
	Prefills int // prompt tokens computed
	Hits     int // prompt tokens taken from the cache
	Starts   int // generations started
	Made     int // tokens made
	Orders   []Ordered
	Swaps    int
}

// Ordered is one weight order that came in.
type Ordered struct {
	Fence    uint64
	Revision int
	Took     bool
}

type held struct {
	rev  int
	last uint64
}

type job struct {
	prompt string
	salt   string
	seed   int
	most   int
	ready  time.Duration
	began  bool
	made   int
	cached int
	sum    uint64
}

// NewEngine is an engine that has just started.
func NewEngine(id, inc, pool string, rev int) *Engine {
	return &Engine{ID: id, Inc: inc, Pool: pool, Rev: rev, Slots: 8, Blocks: 4096, Pace: Usual, cache: map[string]*held{}, jobs: map[uint64]*job{}}
}

// Event is something an engine streams. End closes the stream; Broken closes
// it without a clean end.
type Event struct {
	Job    uint64
	Data   []byte
	End    bool
	Broken bool
}

// Become changes the weights at once, without an order and under running jobs.
func (e *Engine) Become(rev int) { e.Rev, e.cache = rev, map[string]*held{} }

// Load is the engine's own report.
func (e *Engine) Load() dialect.Load {
	state := "ready"
	if e.Draining {
		state = "draining"
	}
	n := min(len(e.jobs), e.Slots)
	return dialect.Load{Inc: e.Inc, Running: n, Waiting: len(e.jobs) - n, Slots: e.Slots, Blocks: e.Blocks, Revision: e.Rev, State: state, Leaves: e.Leaves}
}

// Start takes a completion request and says whether it can be served.
func (e *Engine) Start(now time.Duration, id uint64, body []byte) bool {
	var asked struct {
		Prompt string `json:"prompt"`
		Most   int    `json:"max_tokens"`
		Seed   int    `json:"seed"`
		Salt   string `json:"cache_salt"`
	}
	if json.Unmarshal(body, &asked) != nil || asked.Prompt == "" || e.loading > 0 {
		return false
	}
	e.Starts++
	e.jobs[id] = &job{prompt: asked.Prompt, salt: asked.Salt, seed: asked.Seed, most: asked.Most}
	e.queue = append(e.queue, id)
	e.admit(now)
	return true
}

// admit moves waiting jobs into free slots and begins their prefill.
func (e *Engine) admit(now time.Duration) {
	run := 0
	for _, j := range e.jobs {
		if j.ready > 0 {
			run++
		}
	}
	for len(e.queue) > 0 && run < e.Slots {
		j := e.jobs[e.queue[0]]
		e.queue = e.queue[1:]
		if j == nil {
			continue
		}
		run++
		e.prefill(now, j)
	}
}

func (e *Engine) prefill(now time.Duration, work *job) {
	hit, other := 0, false
	for i, b := range prefix.Blocks(work.prompt) {
		h := e.cache[work.salt+"/"+b]
		if h == nil {
			break
		}
		hit = i + 1
		other = other || h.rev != e.Rev
		e.tick++
		h.last = e.tick
	}
	if other {
		e.Reused++
	}
	tokens := len(work.prompt) / TokenBytes
	work.cached = hit * prefix.Bytes / TokenBytes
	e.Hits += work.cached
	e.Prefills += tokens - work.cached
	work.ready = now + e.Pace.Prefill*time.Duration(tokens-work.cached) + e.Pace.Decode
	work.sum = hashText(work.prompt)
}

func (e *Engine) keep(j *job) {
	for _, b := range prefix.Blocks(j.prompt) {
		e.tick++
		e.cache[j.salt+"/"+b] = &held{e.Rev, e.tick}
	}
	if over := len(e.cache) - e.Blocks; over > 0 {
		type one struct {
			k string
			n uint64
		}
		all := make([]one, 0, len(e.cache))
		for k, h := range e.cache {
			all = append(all, one{k, h.last})
		}
		sort.Slice(all, func(a, b int) bool { return all[a].n < all[b].n })
		for _, x := range all[:over] {
			delete(e.cache, x.k)
		}
	}
}

func hashText(s string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s))
	return h.Sum64()
}

// Token is the one token that follows a text under given weights, and whether
// the text ends with it. It depends on nothing else, so a checker can tell
// any text, resumed or not, from a wrong one.
func Token(sum uint64, seed, rev, stop int) (string, bool) {
	x := prefix.Weight(fmt.Sprint(sum, "/", seed), fmt.Sprint(rev))
	return fmt.Sprintf("r%02d%04x ", rev%100, x&0xffff), stop > 0 && (x>>16)%uint64(stop) == 0
}

// Extend is the running hash of a text after one more token.
func Extend(sum uint64, token string) uint64 {
	for i := 0; i < len(token); i++ {
		sum ^= uint64(token[i])
		sum *= 1099511628211
	}
	return sum
}

// Check says whether text is exactly what the weights of its spans make of
// the prompt, whole or up to most tokens. rev gives the weights of a token.
func Check(prompt, text string, seed, most, stop int, rev func(at int) int) error {
	sum := hashText(prompt)
	for at := 0; at < len(text); at += TokenBytes {
		if at+TokenBytes > len(text) {
			return fmt.Errorf("text of %d bytes is cut in a token", len(text))
		}
		want, end := Token(sum, seed, rev(at), stop)
		if text[at:at+TokenBytes] != want {
			return fmt.Errorf("token at %d is %q, not %q", at, text[at:at+TokenBytes], want)
		}
		sum = Extend(sum, want)
		last := at+TokenBytes == len(text)
		full := len(text)/TokenBytes == most
		if end && !last {
			return fmt.Errorf("text goes on after its end at %d", at)
		}
		if last && !end && !full {
			return fmt.Errorf("text of %d tokens is not whole", len(text)/TokenBytes)
		}
	}
	if text == "" {
		return fmt.Errorf("empty text")
	}
	return nil
}

// Stop ends a job whose caller went away.
func (e *Engine) Stop(now time.Duration, id uint64) {
	delete(e.jobs, id)
	e.admit(now)
}

func (e *Engine) event(text, finish string, n int, usage bool, work *job) []byte {
	doc := map[string]any{"weights_revision": e.Rev}
	choice := map[string]any{"index": 0, "text": text, "tokens": n, "finish_reason": nil}
	if finish != "" {
		choice["finish_reason"] = finish
	}
	doc["choices"] = []any{choice}
	if usage {
		doc["choices"] = []any{}
		doc["usage"] = map[string]any{"prompt_tokens": len(work.prompt) / TokenBytes, "completion_tokens": work.made,
			"prompt_tokens_details": map[string]int{"cached_tokens": work.cached}}
	}
	b, _ := json.Marshal(doc)
	return b
}

// Advance streams what is due.
func (e *Engine) Advance(now time.Duration) []Event {
	var events []Event
	if e.loading > 0 && now >= e.loading {
		e.loading = 0
		e.Rev = e.next
		e.Swaps++
		if !e.KeepCache {
			e.cache = map[string]*held{}
		}
	}
	for _, id := range sorted.Keys(e.jobs) {
		j := e.jobs[id]
		for j.ready > 0 && now >= j.ready && e.jobs[id] != nil {
			events = append(events, e.one(id, j)...)
			j.ready += e.Pace.Decode
		}
	}
	e.admit(now)
	return events
}

func (e *Engine) one(id uint64, work *job) []Event {
	if !work.began {
		work.began = true
		e.keep(work)
	}
	token, end := Token(work.sum, work.seed, e.Rev, e.Pace.Stop)
	work.sum = Extend(work.sum, token)
	work.made++
	e.Made++
	finish := ""
	if end {
		finish = "stop"
	} else if work.made >= work.most {
		finish = "length"
	}
	out := []Event{{Job: id, Data: e.event(token, finish, 1, false, work)}}
	if finish != "" {
		out = append(out, Event{Job: id, Data: e.event("", "", 0, true, work)}, Event{Job: id, Data: []byte(dialect.Done)}, Event{Job: id, End: true})
		delete(e.jobs, id)
	}
	return out
}

// Order takes a weight order. A lower fence than one seen is refused, and so
// is an order for another start of the engine. Running jobs are ended short.
func (e *Engine) Order(now time.Duration, body []byte) (int, []Event) {
	var order dialect.Order
	if json.Unmarshal(body, &order) != nil {
		return 400, nil
	}
	if order.Fence < e.fence || order.Inc != e.Inc {
		e.Orders = append(e.Orders, Ordered{order.Fence, order.Revision, false})
		return 409, nil
	}
	e.fence = order.Fence
	e.Orders = append(e.Orders, Ordered{order.Fence, order.Revision, true})
	if order.Revision == e.Rev || e.loading > 0 && order.Revision == e.next {
		return 200, nil
	}
	var out []Event
	for _, id := range sorted.Keys(e.jobs) {
		out = append(out, Event{Job: id, Data: e.event("", "abort", 0, false, e.jobs[id])}, Event{Job: id, Data: []byte(dialect.Done)}, Event{Job: id, End: true})
		delete(e.jobs, id)
	}
	e.queue = nil
	e.next, e.loading = order.Revision, now+e.Pace.Load
	return 202, out
}
