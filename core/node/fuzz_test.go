package node

import (
	"testing"
	"time"

	"github.com/go-json-experiment/json/v1"

	"fernlink/core/flow"
	"fernlink/core/sorted"
	"fernlink/core/store"
)

// one is a node with every role that leads a cluster of its own.
func one(t testing.TB) (*Node, func([]flow.Event) flow.Outbox) {
	p := Config{ID: "a", Inc: 1, Addr: "127.0.0.1:1", Web: "127.0.0.1:2", Zone: "x", Roles: []string{"store", "coordinator", "dispatcher"},
		Form: []string{"127.0.0.1:1"}, Seeds: []string{"127.0.0.1:1"}, Platform: "http://127.0.0.1:3/engines", Keep: 64, BlocksMost: 64, Seed: 1, Disk: store.Disk{}}
	n, err := New(0, p)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Duration(0)
	step := func(in []flow.Event) flow.Outbox {
		now += 20 * time.Millisecond
		out := n.Advance(now, 1_700_000_000_000+now.Milliseconds(), in)
		if out.Batch > 0 {
			o := n.Advance(now, 1_700_000_000_000, []flow.Event{{Saved: out.Batch}})
			out.Join(o)
		}
		return out
	}
	for i := 0; i < 500; i++ {
		step(nil)
	}
	if n.store.Stats().Role != "leader" {
		t.Fatalf("it does not lead alone: %+v", n.store.Stats())
	}
	return n, step
}

// Given any bytes where peers speak, when a node hears them, then it neither
// crashes nor hangs, and goes on leading.
func FuzzLines(f *testing.F) {
	for _, k := range sorted.Keys(lines) {
		for _, b := range []string{`{}`, `null`, `[]`, `{"id":1,"kind":"renew","body":{"id":"x","have":18446744073709551615}}`, `{"id":1,"kind":"result.add","body":{"step":"s","entry":{"sample":-1}}}`,
			`{"id":2,"kind":"step.open","body":{"id":"s","groups":[{"id":"g","samples":99999999}]}}`, `{"id":3,"kind":"claim.done","body":{"key":"k","state":"refused"}}`,
			`{"k":"app","f":"b","to":"a","t":99,"e":[{"i":1,"t":1,"k":"conf","d":{}}]}`, `{"k":"dig","f":"b","to":"a","t":99,"i":7}`, `{"i":1,"r":[{"k":"text","i":1}],"at":-5}`,
			`{"entries":[{"addr":"127.0.0.1:9","beat":1e3}],"known":{"stores":["x"]}}`, `{"term":1,"batches":[{"engine":"e","seq":1,"events":[{"kind":"sign"}]}]}`} {
			f.Add(k, []byte(b))
		}
	}
	n, step := one(f)
	f.Fuzz(func(t *testing.T, kind string, body []byte) {
		if !json.Valid(body) {
			return // the link closes the connection before a node hears it
		}
		out := step([]flow.Event{{Line: &flow.Line{Ver: flow.Version, Kind: kind, From: "b", Addr: "127.0.0.1:9", Body: body}}})
		for i := 0; i < 3; i++ {
			step(nil)
		}
		if out.Halt != "" {
			t.Fatalf("%s %s halted it: %s", kind, body, out.Halt)
		}
		_ = n.Stats(0)
	})
}

// Given any body in any call from outside, when a node takes it, then each call
// is answered or waits for the store, and nothing crashes.
func FuzzCalls(f *testing.F) {
	names := []string{"plan.put", "step.open", "weights.put", "engine.drain", "store.add", "step.results", "app", "watch", "plan.version"}
	for i := range names {
		for _, b := range []string{``, `{}`, `{"read":0,"request":"r","plan":{"pools":[{"name":"p","kind":"model"}],"routes":[]}}`, `{"read":1e99}`, `[[[[[[[[]]]]]]]]`, `"\xff"`, `{"revision":-1}`,
			`{"id":"s","trainer":"t","pool":"p","revision":1,"deadline_ms":1000,"groups":[{"id":"g","prompt":"x","samples":1,"max_tokens":1}]}`} {
			f.Add(uint(i), []byte(b), "1")
		}
	}
	_, step := one(f)
	id := uint64(0)
	f.Fuzz(func(t *testing.T, which uint, body []byte, v string) {
		id++
		c := flow.Call{ID: id, Name: names[which%uint(len(names))], Body: body, Verb: "POST", Path: "/" + v, Head: map[string]string{"Idempotency-Key": v},
			Vars: map[string]string{"id": v, "pool": v, "slice": v, "version": v}, Query: map[string]string{"after": v, "limit": v, "cursor": v}}
		if out := step([]flow.Event{{Call: &c}}); out.Halt != "" {
			t.Fatalf("%s %q halted it: %s", c.Name, body, out.Halt)
		}
		step([]flow.Event{{Gone: id}})
	})
}
