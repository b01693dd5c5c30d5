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
	if isPut(raw) {
		var put api.PlanPut
		bad, err := api.Check("plan_put", raw, &put)
		if err != nil || len(bad) > 0 {
			report.faults(bad)
			return report
		}
		report.versions(put, fleet)
		doc, base = put.Plan, "/plan"
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
	report.pools(base, plan, fleet)
	report.voters(fleet)
	report.diff(plan, fleet)
	return report
}

// isPut says whether a document is what a put would send, and not a plan by itself.
func isPut(raw []byte) bool {
	var probe map[string]json.RawMessage
	return json.Unmarshal(raw, &probe) == nil && probe["plan"] != nil
}

// versions checks a put's versions against the plan in force.
func (r *Report) versions(put api.PlanPut, fleet Fleet) {
	now := uint64(0)
	if fleet.Plan != nil {
		now = fleet.Plan.Version
	}
	if put.Read != now {
		r.add("fault", "/read", "was made from version %d; version %d is in force", put.Read, now)
	} else if put.Version != 0 && put.Version <= now {
		r.add("fault", "/version", "is not above version %d, which is in force", now)
	}
}

// poolState is what the engines of one pool are like just now.
type poolState struct {
	listed, usable int
	slots, busy    int // of the usable ones
	kind           string
	zones          map[string]bool // of the usable ones
}

func poolStates(engines []disp.EngineView) map[string]*poolState {
	states := map[string]*poolState{}
	for _, engine := range engines {
		state := states[engine.Pool]
		if state == nil {
			state = &poolState{zones: map[string]bool{}}
			states[engine.Pool] = state
		}
		state.listed++
		state.kind = engine.Kind
		if engine.Usable || engine.Ordered {
			state.usable++
			state.slots += engine.Slots
			state.busy += engine.Running
			state.zones[engine.Zone] = true
		}
	}
	return states
}

// pools checks a plan against the engines as they are.
func (r *Report) pools(base string, plan api.Plan, fleet Fleet) {
	states := poolStates(fleet.Engines)
	stateOf := func(pool string) poolState {
		if state := states[pool]; state != nil {
			return *state
		}
		return poolState{}
	}
	for i, pool := range plan.Pools {
		r.pool(fmt.Sprintf("%s/pools/%d", base, i), pool, stateOf(pool.Name))
	}
	for i, route := range plan.Routes {
		slots := stateOf(route.Pool).slots
		if route.Most > 0 && slots > 0 && route.Most > 4*slots {
			r.add("warning", fmt.Sprintf("%s/routes/%d/most", base, i), "lets %d requests be under way at each dispatcher; pool %q has %d slots", route.Most, route.Pool, slots)
		}
	}
}

// pool finds what is wrong with one pool. Only the first that holds is told; the rest
// would only follow from it.
func (r *Report) pool(at string, pool api.Pool, state poolState) {
	switch {
	case state.listed == 0:
		r.add("fault", at, "no engine of pool %q is on the platform list", pool.Name)
	case state.kind != pool.Kind:
		r.add("fault", at+"/kind", "pool %q has %s engines", pool.Name, state.kind)
	case state.usable == 0:
		r.add("fault", at, "none of the %d engines of pool %q is usable just now", state.listed, pool.Name)
	case state.usable == 1:
		r.add("warning", at, "pool %q hangs on one usable engine", pool.Name)
	case len(state.zones) == 1:
		r.add("warning", at, "all usable engines of pool %q stand in one zone", pool.Name)
	case state.busy*10 >= state.slots*9:
		r.add("warning", at, "pool %q has %d of %d slots taken", pool.Name, state.busy, state.slots)
	}
}

// voters finds losses of store machines that the fleet would not survive.
func (r *Report) voters(fleet Fleet) {
	byZone := map[string]int{}
	total := 0
	for _, member := range fleet.Stores {
		if member.Voter {
			byZone[member.Zone]++
			total++
		}
	}
	if total < 3 {
		r.add("warning", "", "%d store machines vote: the loss of one is not survived", total)
	}
	for _, zone := range sorted.Keys(byZone) {
		if total >= 3 && byZone[zone]*2 > total {
			r.add("warning", "", "%d of %d voters stand in zone %q: its loss is not survived", byZone[zone], total, zone)
		}
	}
}

// diff says what would change.
func (r *Report) diff(plan api.Plan, fleet Fleet) {
	var old api.Plan
	if fleet.Plan != nil {
		_ = json.Unmarshal(fleet.Plan.Doc, &old)
	}
	r.named("pool", poolTexts(old), poolTexts(plan))
	r.named("route", routeTexts(old), routeTexts(plan))
	if old.Placement != plan.Placement {
		r.Changes = append(r.Changes, fmt.Sprintf("placement changes from %q to %q", old.Placement, plan.Placement))
	}
	if fmt.Sprint(old.Pins) != fmt.Sprint(plan.Pins) {
		r.Changes = append(r.Changes, "pins change")
	}
}

// named tells which of some named things are new, change or go.
func (r *Report) named(what string, before, after map[string]string) {
	for _, name := range sorted.Keys(after) {
		if _, known := before[name]; !known {
			r.Changes = append(r.Changes, what+" "+name+" is new")
		} else if before[name] != after[name] {
			r.Changes = append(r.Changes, what+" "+name+" changes")
		}
	}
	for _, name := range sorted.Keys(before) {
		if _, stays := after[name]; !stays {
			r.Changes = append(r.Changes, what+" "+name+" goes")
		}
	}
}

// poolTexts gives each pool of a plan as a text to compare, by name.
func poolTexts(plan api.Plan) map[string]string {
	texts := map[string]string{}
	for _, pool := range plan.Pools {
		texts[pool.Name] = fmt.Sprint(pool)
	}
	return texts
}

// routeTexts gives each route of a plan as a text to compare, by name.
func routeTexts(plan api.Plan) map[string]string {
	texts := map[string]string{}
	for _, route := range plan.Routes {
		texts[route.Name] = fmt.Sprint(route)
	}
	return texts
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
	report.addresses(settings, fleet.Status)
	report.seeds(settings, fleet.Status)
	if len(settings.Form) > 0 && fleet.Status.Cluster != "" {
		report.add("warning", "/form", "a cluster stands already: form will be passed over")
	}
	zones := map[string]bool{}
	for _, entry := range fleet.Status.Live {
		zones[entry.Zone] = true
	}
	if !zones[settings.Zone] {
		report.add("warning", "/zone", "no living process is in zone %q; there are %s", settings.Zone, strings.Join(sorted.Keys(zones), ", "))
	}
	if slices.Contains(settings.Roles, "store") {
		report.Changes = append(report.Changes, fmt.Sprintf("a store machine joins as a learner, beside %d members", len(fleet.Stores)))
	}
	return report
}

// addresses finds addresses of a config that other processes have.
func (r *Report) addresses(settings config.Config, status node.Stats) {
	for _, entry := range status.Live {
		if entry.Addr == settings.Addr {
			r.add("warning", "/addr", "a process of zone %q with roles %v speaks from this address now", entry.Zone, entry.Roles)
		}
		if entry.Web == settings.Web && entry.Addr != settings.Addr {
			r.add("fault", "/web", "is the web address of the process at %s", entry.Addr)
		}
	}
}

// seeds finds seeds of a config that are not alive.
func (r *Report) seeds(settings config.Config, status node.Stats) {
	live := map[string]bool{status.Addr: true}
	for _, entry := range status.Live {
		live[entry.Addr] = true
	}
	alive := 0
	for _, seed := range settings.Seeds {
		if live[seed] {
			alive++
		}
	}
	if alive == 0 {
		r.add("fault", "/seeds", "no seed is alive: this node would not find the fleet")
	} else if alive < len(settings.Seeds) {
		r.add("warning", "/seeds", "only %d of %d seeds are alive", alive, len(settings.Seeds))
	}
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
