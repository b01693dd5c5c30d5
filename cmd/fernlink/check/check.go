// Package check is the checker of configurations against the fleet as it is
// (design 10.5): a plan or a node's config, before they are put to use.
package check

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/go-json-experiment/json/v1"
	"github.com/pkg/errors"

	"fernlink/api"
	"fernlink/config"
	"fernlink/core/disp"
	"fernlink/core/ledger"
	"fernlink/core/node"
	"fernlink/core/place"
	"fernlink/core/sorted"
	"fernlink/core/store"
)

// ErrReach says that no address answered.
var ErrReach = errors.New("check: no node could be reached")

// Finding is one thing that is or may be wrong.
type Finding struct {
	At    string `json:"pointer"`
	Level string `json:"level"` // fault, warning
	Text  string `json:"text"`
}

// Report is what a check came to.
type Report struct {
	Against  string    `json:"against,omitempty"` // the node that was asked
	Findings []Finding `json:"findings"`
	Changes  []string  `json:"changes"`
}

func (r *Report) add(level, at, format string, a ...any) {
	r.Findings = append(r.Findings, Finding{at, level, fmt.Sprintf(format, a...)})
}

func (r *Report) faults(bad []ledger.Fault) {
	for _, f := range bad {
		r.add("fault", f.At, "%s", f.Text)
	}
}

// Fleet is what a node told of the fleet.
type Fleet struct {
	Status  node.Stats
	Engines []disp.EngineView
	Stores  []store.MemberView
	Plan    *ledger.Plan
}

var client = http.Client{Timeout: 5 * time.Second}

func get(at, path string, into any) (int, error) {
	res, err := client.Get("http://" + at + path)
	if err != nil {
		return 0, err
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, err
	}
	if res.StatusCode == 200 {
		err = json.Unmarshal(b, into)
	}
	return res.StatusCode, err
}

// Ask reads the fleet from the first address that answers as a dispatcher.
func Ask(addrs []string) (Fleet, string, error) {
	var tried []string
	for _, at := range addrs {
		var f Fleet
		var engines struct{ Engines []disp.EngineView }
		var stores struct{ Stores []store.MemberView }
		var plan ledger.Plan
		code, err := get(at, "/status", &f.Status)
		if err == nil && code == 200 {
			code, err = get(at, "/v1/engines", &engines)
		}
		if err == nil && code == 200 {
			code, err = get(at, "/v1/stores", &stores)
		}
		if err != nil || code != 200 {
			why := fmt.Sprint("answered ", code)
			if err != nil {
				why = err.Error()
			}
			tried = append(tried, at+": "+why)
			continue
		}
		if code, err = get(at, "/v1/plan", &plan); err == nil && code == 200 {
			f.Plan = &plan
		}
		f.Engines, f.Stores = engines.Engines, stores.Stores
		return f, at, nil
	}
	return Fleet{}, "", errors.Wrap(ErrReach, strings.Join(tried, "; "))
}

// Plan checks a proposed plan: the whole document, or what a put would send.
func Plan(raw []byte, f Fleet) Report {
	r := Report{Findings: []Finding{}, Changes: []string{}}
	doc, base := raw, ""
	var put api.PlanPut
	var probe map[string]json.RawMessage
	if json.Unmarshal(raw, &probe) == nil && probe["plan"] != nil {
		bad, err := api.Check("plan_put", raw, &put)
		if err != nil || len(bad) > 0 {
			r.faults(bad)
			return r
		}
		doc, base = put.Plan, "/plan"
		now := uint64(0)
		if f.Plan != nil {
			now = f.Plan.Version
		}
		if put.Read != now {
			r.add("fault", "/read", "was made from version %d; version %d is in force", put.Read, now)
		} else if put.Version != 0 && put.Version <= now {
			r.add("fault", "/version", "is not above version %d, which is in force", now)
		}
	}
	var plan api.Plan
	bad, err := api.Check("plan", doc, &plan)
	if err != nil {
		r.add("fault", base, "not JSON")
		return r
	}
	if len(bad) == 0 {
		bad = plan.Meaning(place.Names())
	}
	for i := range bad {
		bad[i].At = base + bad[i].At
	}
	r.faults(bad)
	if len(bad) > 0 {
		return r
	}
	r.live(base, plan, f)
	r.diff(plan, f)
	return r
}

// live holds a plan against the engines as they are.
func (r *Report) live(base string, p api.Plan, f Fleet) {
	ready, there, slots, busy := map[string]int{}, map[string]int{}, map[string]int{}, map[string]int{}
	kinds := map[string]string{}
	zones := map[string]map[string]bool{}
	for _, e := range f.Engines {
		there[e.Pool]++
		kinds[e.Pool] = e.Kind
		if e.Usable || e.Ordered {
			ready[e.Pool]++
			slots[e.Pool] += e.Slots
			busy[e.Pool] += e.Running
			if zones[e.Pool] == nil {
				zones[e.Pool] = map[string]bool{}
			}
			zones[e.Pool][e.Zone] = true
		}
	}
	for i, x := range p.Pools {
		at := fmt.Sprintf("%s/pools/%d", base, i)
		// The first that holds is told; the rest would only follow from it.
		for _, c := range []struct {
			holds     bool
			level, at string
			text      string
		}{
			{there[x.Name] == 0, "fault", at, fmt.Sprintf("no engine of pool %q is on the platform list", x.Name)},
			{kinds[x.Name] != x.Kind, "fault", at + "/kind", fmt.Sprintf("pool %q has %s engines", x.Name, kinds[x.Name])},
			{ready[x.Name] == 0, "fault", at, fmt.Sprintf("none of the %d engines of pool %q is usable just now", there[x.Name], x.Name)},
			{ready[x.Name] == 1, "warning", at, fmt.Sprintf("pool %q hangs on one usable engine", x.Name)},
			{len(zones[x.Name]) == 1, "warning", at, fmt.Sprintf("all usable engines of pool %q stand in one zone", x.Name)},
			{busy[x.Name]*10 >= slots[x.Name]*9, "warning", at, fmt.Sprintf("pool %q has %d of %d slots taken", x.Name, busy[x.Name], slots[x.Name])},
		} {
			if c.holds {
				r.add(c.level, c.at, "%s", c.text)
				break
			}
		}
	}
	for i, rt := range p.Routes {
		if rt.Most > 0 && slots[rt.Pool] > 0 && rt.Most > 4*slots[rt.Pool] {
			r.add("warning", fmt.Sprintf("%s/routes/%d/most", base, i), "lets %d requests be under way at each dispatcher; pool %q has %d slots", rt.Most, rt.Pool, slots[rt.Pool])
		}
	}
	voters := map[string]int{}
	n := 0
	for _, m := range f.Stores {
		if m.Voter {
			voters[m.Zone]++
			n++
		}
	}
	if n < 3 {
		r.add("warning", "", "%d store machines vote: the loss of one is not survived", n)
	}
	for _, a := range sorted.Keys(voters) {
		if n >= 3 && voters[a]*2 > n {
			r.add("warning", "", "%d of %d voters stand in zone %q: its loss is not survived", voters[a], n, a)
		}
	}
}

// diff says what would change.
func (r *Report) diff(p api.Plan, f Fleet) {
	var old api.Plan
	if f.Plan != nil {
		_ = json.Unmarshal(f.Plan.Doc, &old)
	}
	named := func(what string, was, is map[string]string) {
		for _, k := range sorted.Keys(is) {
			if _, ok := was[k]; !ok {
				r.Changes = append(r.Changes, what+" "+k+" is new")
			} else if was[k] != is[k] {
				r.Changes = append(r.Changes, what+" "+k+" changes")
			}
		}
		for _, k := range sorted.Keys(was) {
			if _, ok := is[k]; !ok {
				r.Changes = append(r.Changes, what+" "+k+" goes")
			}
		}
	}
	pools, routes := func(x api.Plan) map[string]string {
		m := map[string]string{}
		for _, v := range x.Pools {
			m[v.Name] = fmt.Sprint(v)
		}
		return m
	}, func(x api.Plan) map[string]string {
		m := map[string]string{}
		for _, v := range x.Routes {
			m[v.Name] = fmt.Sprint(v)
		}
		return m
	}
	named("pool", pools(old), pools(p))
	named("route", routes(old), routes(p))
	if old.Placement != p.Placement {
		r.Changes = append(r.Changes, fmt.Sprintf("placement changes from %q to %q", old.Placement, p.Placement))
	}
	if fmt.Sprint(old.Pins) != fmt.Sprint(p.Pins) {
		r.Changes = append(r.Changes, "pins change")
	}
}

// Config checks a node's config against the fleet that it would join.
func Config(raw []byte, f Fleet) Report {
	r := Report{Findings: []Finding{}, Changes: []string{}}
	p, bad, err := config.Check(raw)
	if err != nil {
		r.add("fault", "", "%s", err)
		return r
	}
	r.faults(bad)
	if len(bad) > 0 {
		return r
	}
	live := map[string]bool{f.Status.Addr: true}
	for _, e := range f.Status.Live {
		live[e.Addr] = true
		if e.Addr == p.Addr {
			r.add("warning", "/addr", "a process of zone %q with roles %v speaks from this address now", e.Zone, e.Roles)
		}
		if e.Web == p.Web && e.Addr != p.Addr {
			r.add("fault", "/web", "is the web address of the process at %s", e.Addr)
		}
	}
	n := 0
	for _, s := range p.Seeds {
		if live[s] {
			n++
		}
	}
	if n == 0 {
		r.add("fault", "/seeds", "no seed is alive: this node would not find the fleet")
	} else if n < len(p.Seeds) {
		r.add("warning", "/seeds", "only %d of %d seeds are alive", n, len(p.Seeds))
	}
	if len(p.Form) > 0 && f.Status.Cluster != "" {
		r.add("warning", "/form", "a cluster stands already: form will be passed over")
	}
	zones := map[string]bool{}
	for _, e := range f.Status.Live {
		zones[e.Zone] = true
	}
	if !zones[p.Zone] {
		r.add("warning", "/zone", "no living process is in zone %q; there are %s", p.Zone, strings.Join(sorted.Keys(zones), ", "))
	}
	if slices.Contains(p.Roles, "store") {
		r.Changes = append(r.Changes, fmt.Sprintf("a store machine joins as a learner, beside %d members", len(f.Stores)))
	}
	return r
}

// Write prints a report for people.
func (r Report) Write(w io.Writer) {
	sort.SliceStable(r.Findings, func(a, b int) bool { return r.Findings[a].Level < r.Findings[b].Level })
	var b bytes.Buffer
	for _, f := range r.Findings {
		at := f.At
		if at == "" {
			at = "/"
		}
		fmt.Fprintf(&b, "%-8s %s: %s\n", f.Level, at, f.Text)
	}
	for _, c := range r.Changes {
		fmt.Fprintf(&b, "change   %s\n", c)
	}
	if len(r.Findings) == 0 {
		fmt.Fprintf(&b, "clean, against the fleet at %s\n", r.Against)
	}
	_, _ = w.Write(b.Bytes())
}
