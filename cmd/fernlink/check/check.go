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
		var fleet Fleet
		var engines struct{ Engines []disp.EngineView }
		var stores struct{ Stores []store.MemberView }
		var plan ledger.Plan
		code, err := get(at, "/status", &fleet.Status)
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
			fleet.Plan = &plan
		}
		fleet.Engines, fleet.Stores = engines.Engines, stores.Stores
		return fleet, at, nil
	}
	return Fleet{}, "", errors.Wrap(ErrReach, strings.Join(tried, "; "))
}

// Plan checks a proposed plan: the whole document, or what a put would send.
func Plan(raw []byte, fleet Fleet) Report {
	report := Report{Findings: []Finding{}, Changes: []string{}}
	doc, base := raw, ""
	var put api.PlanPut
	var probe map[string]json.RawMessage
	if json.Unmarshal(raw, &probe) == nil && probe["plan"] != nil {
		bad, err := api.Check("plan_put", raw, &put)
		if err != nil || len(bad) > 0 {
			report.faults(bad)
			return report
		}
		doc, base = put.Plan, "/plan"
		now := uint64(0)
		if fleet.Plan != nil {
			now = fleet.Plan.Version
		}
		if put.Read != now {
			report.add("fault", "/read", "was made from version %d; version %d is in force", put.Read, now)
		} else if put.Version != 0 && put.Version <= now {
			report.add("fault", "/version", "is not above version %d, which is in force", now)
		}
	}
	var plan api.Plan
	bad, err := api.Check("plan", doc, &plan)
	if err != nil {
		report.add("fault", base, "not JSON")
		return report
	}
	if len(bad) == 0 {
		bad = plan.Meaning(place.Names())
	}
	for i := range bad {
		bad[i].At = base + bad[i].At
	}
	report.faults(bad)
	if len(bad) > 0 {
		return report
	}
	report.live(base, plan, fleet)
	report.diff(plan, fleet)
	return report
}

// live holds a plan against the engines as they are.
func (r *Report) live(base string, plan api.Plan, fleet Fleet) {
	ready, there, slots, busy := map[string]int{}, map[string]int{}, map[string]int{}, map[string]int{}
	kinds := map[string]string{}
	zones := map[string]map[string]bool{}
	for _, engine := range fleet.Engines {
		there[engine.Pool]++
		kinds[engine.Pool] = engine.Kind
		if engine.Usable || engine.Ordered {
			ready[engine.Pool]++
			slots[engine.Pool] += engine.Slots
			busy[engine.Pool] += engine.Running
			if zones[engine.Pool] == nil {
				zones[engine.Pool] = map[string]bool{}
			}
			zones[engine.Pool][engine.Zone] = true
		}
	}
	for i, pool := range plan.Pools {
		at := fmt.Sprintf("%s/pools/%d", base, i)
		// The first that holds is told; the rest would only follow from it.
		for _, c := range []struct {
			holds     bool
			level, at string
			text      string
		}{
			{there[pool.Name] == 0, "fault", at, fmt.Sprintf("no engine of pool %q is on the platform list", pool.Name)},
			{kinds[pool.Name] != pool.Kind, "fault", at + "/kind", fmt.Sprintf("pool %q has %s engines", pool.Name, kinds[pool.Name])},
			{ready[pool.Name] == 0, "fault", at, fmt.Sprintf("none of the %d engines of pool %q is usable just now", there[pool.Name], pool.Name)},
			{ready[pool.Name] == 1, "warning", at, fmt.Sprintf("pool %q hangs on one usable engine", pool.Name)},
			{len(zones[pool.Name]) == 1, "warning", at, fmt.Sprintf("all usable engines of pool %q stand in one zone", pool.Name)},
			{busy[pool.Name]*10 >= slots[pool.Name]*9, "warning", at, fmt.Sprintf("pool %q has %d of %d slots taken", pool.Name, busy[pool.Name], slots[pool.Name])},
		} {
			if c.holds {
				r.add(c.level, c.at, "%s", c.text)
				break
			}
		}
	}
	for i, rt := range plan.Routes {
		if rt.Most > 0 && slots[rt.Pool] > 0 && rt.Most > 4*slots[rt.Pool] {
			r.add("warning", fmt.Sprintf("%s/routes/%d/most", base, i), "lets %d requests be under way at each dispatcher; pool %q has %d slots", rt.Most, rt.Pool, slots[rt.Pool])
		}
	}
	voters := map[string]int{}
	n := 0
	for _, m := range fleet.Stores {
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
func (r *Report) diff(plan api.Plan, f Fleet) {
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
	named("pool", pools(old), pools(plan))
	named("route", routes(old), routes(plan))
	if old.Placement != plan.Placement {
		r.Changes = append(r.Changes, fmt.Sprintf("placement changes from %q to %q", old.Placement, plan.Placement))
	}
	if fmt.Sprint(old.Pins) != fmt.Sprint(plan.Pins) {
		r.Changes = append(r.Changes, "pins change")
	}
}

// Config checks a node's config against the fleet that it would join.
func Config(raw []byte, fleet Fleet) Report {
	report := Report{Findings: []Finding{}, Changes: []string{}}
	settings, bad, err := config.Check(raw)
	if err != nil {
		report.add("fault", "", "%s", err)
		return report
	}
	report.faults(bad)
	if len(bad) > 0 {
		return report
	}
	live := map[string]bool{fleet.Status.Addr: true}
	for _, e := range fleet.Status.Live {
		live[e.Addr] = true
		if e.Addr == settings.Addr {
			report.add("warning", "/addr", "a process of zone %q with roles %v speaks from this address now", e.Zone, e.Roles)
		}
		if e.Web == settings.Web && e.Addr != settings.Addr {
			report.add("fault", "/web", "is the web address of the process at %s", e.Addr)
		}
	}
	n := 0
	for _, s := range settings.Seeds {
		if live[s] {
			n++
		}
	}
	if n == 0 {
		report.add("fault", "/seeds", "no seed is alive: this node would not find the fleet")
	} else if n < len(settings.Seeds) {
		report.add("warning", "/seeds", "only %d of %d seeds are alive", n, len(settings.Seeds))
	}
	if len(settings.Form) > 0 && fleet.Status.Cluster != "" {
		report.add("warning", "/form", "a cluster stands already: form will be passed over")
	}
	zones := map[string]bool{}
	for _, e := range fleet.Status.Live {
		zones[e.Zone] = true
	}
	if !zones[settings.Zone] {
		report.add("warning", "/zone", "no living process is in zone %q; there are %s", settings.Zone, strings.Join(sorted.Keys(zones), ", "))
	}
	if slices.Contains(settings.Roles, "store") {
		report.Changes = append(report.Changes, fmt.Sprintf("a store machine joins as a learner, beside %d members", len(fleet.Stores)))
	}
	return report
}

// Write prints a report for people.
func (r Report) Write(output io.Writer) {
	sort.SliceStable(r.Findings, func(a, b int) bool { return r.Findings[a].Level < r.Findings[b].Level })
	var buffer bytes.Buffer
	for _, f := range r.Findings {
		at := f.At
		if at == "" {
			at = "/"
		}
		fmt.Fprintf(&buffer, "%-8s %s: %s\n", f.Level, at, f.Text)
	}
	for _, c := range r.Changes {
		fmt.Fprintf(&buffer, "change   %s\n", c)
	}
	if len(r.Findings) == 0 {
		fmt.Fprintf(&buffer, "clean, against the fleet at %s\n", r.Against)
	}
	_, _ = output.Write(buffer.Bytes())
}
