package api

import (
	"fmt"
	"strings"
	"testing"

	"github.com/go-json-experiment/json/v1"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// Given any routes and any path, when the index looks for the route, then it is
// the one that the rule names: the longest path that matches, then the earlier.
func TestFindIsTheRule(t *testing.T) {
	p := gopter.DefaultTestParametersWithSeed(31)
	p.MinSuccessfulTests = 400
	config := gopter.NewProperties(p)
	piece := gen.OneConstOf("/", "/a", "/a/", "/a/b", "/a/b/", "/ab", "/b//c", "/a/b/c", "//", "/a//")
	verb := gen.OneConstOf("GET", "POST")
	config.Property("indexed is linear", prop.ForAll(func(paths, verbs []string, path, v string) bool {
		var plan Plan
		for i, x := range paths {
			r := Route{Name: fmt.Sprint(i), Path: x}
			if i < len(verbs) {
				r.Verbs = []string{verbs[i]}
			}
			plan.Routes = append(plan.Routes, r)
		}
		plan.Index()
		var want *Route
		for i := range plan.Routes {
			if r := &plan.Routes[i]; r.Serves(v, path) && (want == nil || len(r.Path) > len(want.Path)) {
				want = r
			}
		}
		got := plan.Find(v, path)
		return got == want
	}, gen.SliceOfN(6, piece), gen.SliceOfN(4, verb), piece, verb))
	config.TestingRun(t)
}

// large is a plan of ten thousand routes as an operator would put it.
func large() []byte {
	var text strings.Builder
	text.WriteString(`{"read":0,"request":"r","plan":{"pools":[{"name":"app","kind":"app"}],"routes":[`)
	for i := 0; i < 10000; i++ {
		if i > 0 {
			text.WriteByte(',')
		}
		fmt.Fprintf(&text, `{"name":"r%d","path":"/zone-%d/shop/%d","verbs":["GET"],"pool":"app"}`, i, i%97, i)
	}
	text.WriteString(`]}}`)
	return []byte(text.String())
}

// Given ten thousand routes, when the plan is checked, then all is read, and one
// route that is wrong is told.
func TestTenThousandRoutes(t *testing.T) {
	var p PlanPut
	if bad, err := Check("plan_put", large(), &p); err != nil || len(bad) > 0 {
		t.Fatal(err, bad)
	}
	var plan Plan
	if err := json.Unmarshal(p.Plan, &plan); err != nil || len(plan.Meaning(nil)) > 0 {
		t.Fatal(err, plan.Meaning(nil))
	}
	plan.Index()
	if r := plan.Find("GET", "/zone-8/shop/9999/x"); r == nil || r.Name != "r9999" {
		t.Errorf("the last route is %v", r)
	}
	plan.Routes[9000].Pool = "none"
	if bad := plan.Meaning(nil); len(bad) != 1 || bad[0].At != "/routes/9000/pool" {
		t.Errorf("one wrong route: %v", bad)
	}
}

func BenchmarkCheck(b *testing.B) {
	doc := large()
	for b.Loop() {
		var p PlanPut
		_, _ = Check("plan_put", doc, &p)
		var plan Plan
		_ = json.Unmarshal(p.Plan, &plan)
		plan.Meaning(nil)
	}
}

func BenchmarkFind(b *testing.B) {
	var p PlanPut
	_ = json.Unmarshal(large(), &p)
	var plan Plan
	_ = json.Unmarshal(p.Plan, &plan)
	plan.Index()
	for b.Loop() {
		plan.Find("GET", "/zone-8/shop/9999/x")
	}
}

// hosted is a plan with one route of a host, as changed.
func hosted(change string) []byte {
	fields := map[string]any{"name": "svc:chat", "path": "/chat/", "pool": "m", "host": "a.example", "kind": "samples", "timeout_ms": 1}
	_ = json.Unmarshal([]byte(change), &fields)
	for k, v := range fields {
		if v == nil {
			delete(fields, k)
		}
	}
	b, _ := json.Marshal(map[string]any{"read": 0, "request": "r", "version": 7, "plan": map[string]any{
		"pools": []any{
			map[string]any{"name": "m", "kind": "model", "health": "/up", "conns": 4, "slots": 8, "kv_tokens": 100000, "models": []string{"org/one", "two"}},
			map[string]any{"name": "app", "kind": "app"},
		},
		"routes": []any{fields, map[string]any{"name": "old", "path": "/chat", "pool": "app"}, map[string]any{"name": "v1", "path": "/v1/", "pool": "app", "host": "b.example", "kind": "again", "timeout_ms": 600000}},
		"limits": map[string]int{"header_bytes": 1, "body_bytes": 2, "header_ms": 3, "idle_ms": 4},
		"source": map[string]any{"any": []int{1}},
	}})
	return b
}

// Given a route with a host, when one thing about it is wrong, then that is told
// at its own place, by the schema or by the meaning, and nothing else is.
func TestRoutesWithAHost(t *testing.T) {
	for _, c := range []struct{ change, at string }{
		{`{}`, ""},
		{`{"verbs": ["GET"], "most": 4, "split": [{"pool": "app", "share": 0}, {"pool": "m", "share": 1000000}], "tries": 3, "target_ms": 200, "rank": -2,
		  "due_ms": 5, "wait_ms": 6, "one_version": true, "sticky": true, "resumable": true, "once": true}`, ""},
		{`{"path": "/"}`, ""},
		{`{"path": "/a%20b/c:d/"}`, ""},
		{`{"timeout_ms": 600000}`, ""},
		{`{"name": ":` + strings.Repeat("n", 127) + `"}`, ""},
		{`{"name": "` + strings.Repeat("n", 1290) + `"}`, ""},
		{`{"name": "Straße nach Süden / 2", "host": "a_b..example"}`, ""},
		{`{"name": ""}`, "/plan/routes/0/name"},
		{`{"name": 7}`, "/plan/routes/0/name"},
		{`{"host": "A.example"}`, "/plan/routes/0/host"},
		{`{"host": "a.example/b"}`, "/plan/routes/0/host"},
		{`{"host": "a example"}`, "/plan/routes/0/host"},
		{`{"path": "/straße/{x}/"}`, ""},
		{`{"path": "/a b/"}`, "/plan/routes/0/path"},
		{`{"path": "/a?b/"}`, "/plan/routes/0/path"},
		{`{"split": [{"pool": "m", "share": 9007199254740991}], "tries": 9007199254740991, "target_ms": 9007199254740991, "due_ms": 9007199254740991, "wait_ms": 9007199254740991}`, ""},
		{`{"host": ""}`, "/plan/routes/0/host"},
		{`{"path": "/chat"}`, "/plan/routes/0/path"},
		{`{"path": "chat/"}`, "/plan/routes/0/path"},
		{`{"kind": null}`, "/plan/routes/0/kind"},
		{`{"kind": "twice"}`, "/plan/routes/0/kind"},
		{`{"timeout_ms": null}`, "/plan/routes/0/timeout_ms"},
		{`{"timeout_ms": 0}`, "/plan/routes/0/timeout_ms"},
		{`{"timeout_ms": 9007199254740991}`, ""},
		{`{"timeout_ms": 9007199254740992}`, "/plan/routes/0/timeout_ms"},
		{`{"pool": "none"}`, "/plan/routes/0/pool"},
		{`{"split": [{"pool": "m", "share": 1}, {"pool": "none", "share": 1}]}`, "/plan/routes/0/split/1/pool"},
		{`{"split": [{"pool": "m", "share": 0}, {"pool": "app", "share": 0}]}`, "/plan/routes/0/split"},
		{`{"split": [{"pool": "m", "share": 9007199254740992}]}`, "/plan/routes/0/split/0/share"},
		{`{"split": [{"pool": "m", "share": 0.5}]}`, "/plan/routes/0/split/0/share"},
		{`{"host": null, "pool": "app", "path": "/else", "timeout_ms": 50, "name": "a b"}`, "/plan/routes/0/name"},
		{`{"split": [{"pool": "m", "share": -1}]}`, "/plan/routes/0/split/0/share"},
		{`{"split": [{"pool": "m"}]}`, "/plan/routes/0/split/0"},
		{`{"tries": -1}`, "/plan/routes/0/tries"},
		{`{"host": "b.example", "path": "/v1/"}`, "/plan/routes/2/path"},
		{`{"sticki": true}`, "/plan/routes/0/sticki"},
		{`{"host": null, "pool": "app", "path": "/else", "timeout_ms": 50}`, ""},
		{`{"host": null, "pool": "app", "path": "/else", "timeout_ms": 49}`, "/plan/routes/0/timeout_ms"},
		{`{"host": null, "pool": "app", "path": "/else", "timeout_ms": 60001}`, "/plan/routes/0/timeout_ms"},
		{`{"host": null, "pool": "app", "path": "/a%20b", "timeout_ms": 50}`, "/plan/routes/0/path"},
		{`{"host": null, "path": "/else", "timeout_ms": 50}`, "/plan/routes/0/pool"},
		{`{"host": null, "pool": "app", "timeout_ms": 50}`, "/plan/routes/1"},
	} {
		var put PlanPut
		bad, err := Check("plan_put", hosted(c.change), &put)
		if err != nil {
			t.Fatal(err)
		}
		var plan Plan
		if len(bad) == 0 {
			if err := json.Unmarshal(put.Plan, &plan); err != nil || put.Version != 7 {
				t.Fatal(err, put.Version)
			}
			for _, f := range plan.Meaning(nil) {
				f.At = "/plan" + f.At
				bad = append(bad, f)
			}
		}
		if c.at == "" && len(bad) > 0 || c.at != "" && (len(bad) != 1 || bad[0].At != c.at) {
			t.Errorf("%s: %v, not at %q", c.change, bad, c.at)
		}
		if c.at == "" {
			plan.Index()
			if r := plan.Find("GET", "/chat/x"); r == nil || r.Name != "old" {
				t.Errorf("%s: /chat/x goes to %v", c.change, r)
			}
		}
	}
}

// Given a plan with pools and models, when weights are named, then a model pool's
// name and a listed model's are known, and an application pool's is not.
func TestNamesOfWeights(t *testing.T) {
	var p PlanPut
	var plan Plan
	if bad, err := Check("plan_put", hosted(`{}`), &p); err != nil || len(bad) > 0 || json.Unmarshal(p.Plan, &plan) != nil {
		t.Fatal(bad, err)
	}
	for name, want := range map[string]bool{"m": true, "org/one": true, "two": true, "app": false, "three": false, "": false} {
		if plan.Names(name) != want {
			t.Errorf("%q: %v", name, !want)
		}
	}
	if plan.Limits == nil || *plan.Limits != (Limits{1, 2, 3, 4}) || string(plan.Source) != `{"any":[1]}` || plan.Pools[0].KvTokens != 100000 {
		t.Errorf("the plan lost something: %+v", plan)
	}
}
