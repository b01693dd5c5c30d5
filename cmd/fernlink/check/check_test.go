package check

import (
	"fmt"
	"strings"
	"testing"

	"github.com/go-json-experiment/json/v1"

	"fernlink/core/disp"
	"fernlink/core/gossip"
	"fernlink/core/ledger"
	"fernlink/core/node"
	"fernlink/core/raft"
	"fernlink/core/store"
)

func fleet() Fleet {
	f := Fleet{Plan: &ledger.Plan{Version: 4, Doc: json.RawMessage(`{"pools":[{"name":"shop","kind":"app"}],"routes":[{"name":"a","path":"/a","pool":"shop"},{"name":"b","path":"/b","pool":"shop"}]}`)}}
	for i, zone := range []string{"x", "y", "y"} {
		f.Engines = append(f.Engines, disp.EngineView{ID: fmt.Sprint("e", i), Pool: "shop", Kind: "app", Zone: zone, Usable: true, Slots: 8},
			disp.EngineView{ID: fmt.Sprint("m", i), Pool: "parts", Kind: "model", Zone: zone, Usable: i == 0, Slots: 8, Running: 8})
		f.Stores = append(f.Stores, store.MemberView{Member: raft.Member{ID: fmt.Sprint("s", i), Zone: zone, Voter: true}})
	}
	f.Status = node.Stats{Addr: "127.0.0.1:1", Cluster: "c", Live: []gossip.Entry{{Addr: "127.0.0.1:2", Web: "127.0.0.1:12", Zone: "x"}, {Addr: "127.0.0.1:3", Zone: "y"}}}
	return f
}

func has(r Report, level, at, text string) bool {
	for _, f := range r.Findings {
		if f.Level == level && f.At == at && strings.Contains(f.Text, text) {
			return true
		}
	}
	return false
}

// Given a fleet, when plans are checked against it, then what does not fit it
// is told at its place, and so is what would change.
func TestPlanAgainstFleet(t *testing.T) {
	report := Plan([]byte(`{"read":3,"request":"r","plan":{"pools":[{"name":"shop","kind":"app"},{"name":"parts","kind":"app"},{"name":"none","kind":"model"}],
		"routes":[{"name":"a","path":"/a2","pool":"shop"},{"name":"c","path":"/c","pool":"shop","most":1000}],"placement":"least"}}`), fleet())
	for _, x := range [][3]string{
		{"fault", "/read", "version 4 is in force"},
		{"fault", "/plan/pools/1/kind", "has model engines"},
		{"fault", "/plan/pools/2", "no engine"},
		{"warning", "/plan/routes/1/most", "slots"},
		{"warning", "", `2 of 3 voters stand in zone "y"`},
	} {
		if !has(report, x[0], x[1], x[2]) {
			t.Errorf("not told: %v in %+v", x, report.Findings)
		}
	}
	if got := strings.Join(report.Changes, ";"); got != `pool none is new;pool parts is new;route a changes;route c is new;route b goes;placement changes from "" to "least"` {
		t.Errorf("changes: %s", got)
	}
	report = Plan([]byte(`{"pools":[{"name":"parts","kind":"model"}],"routes":[{"name":"a","path":"/a","pool":"nowhere"}]}`), fleet())
	if !has(report, "fault", "/routes/0/pool", "no pool") || len(report.Findings) != 1 {
		t.Errorf("a plan without meaning: %+v", report.Findings)
	}
	for version, want := range map[int]bool{4: true, 5: false} {
		put := fmt.Sprintf(`{"read":4,"request":"r","version":%d,"plan":{"pools":[{"name":"shop","kind":"app"}],"routes":[]}}`, version)
		if report = Plan([]byte(put), fleet()); has(report, "fault", "/version", "not above") != want {
			t.Errorf("version %d over 4: %+v", version, report.Findings)
		}
	}
	f := fleet()
	f.Stores[2].Zone = "z"
	report = Plan([]byte(`{"pools":[{"name":"shop","kind":"app"}],"routes":[]}`), f)
	if len(report.Findings) != 0 {
		t.Errorf("a plan that fits: %+v", report.Findings)
	}
	if report = Plan([]byte(`{"pools":[{"name":"parts","kind":"model"}],"routes":[]}`), f); !has(report, "warning", "/pools/0", "one usable engine") {
		t.Errorf("a pool that hangs on one: %+v", report.Findings)
	}
}

// Given a fleet, when a node's config are checked against it, then seeds that
// are not there, taken addresses and strange zones are told.
func TestConfigAgainstFleet(t *testing.T) {
	report := Config([]byte(`{"addr":"127.0.0.1:3","web":"127.0.0.1:12","zone":"q","seeds":["127.0.0.1:9"],"roles":["store"],"data":"d","form":["127.0.0.1:3"]}`), fleet())
	for _, x := range [][3]string{{"fault", "/seeds", "no seed"}, {"fault", "/web", "is the web address"}, {"warning", "/addr", "speaks from this"}, {"warning", "/zone", "no living process"}, {"warning", "/form", "passed over"}} {
		if !has(report, x[0], x[1], x[2]) {
			t.Errorf("not told: %v in %+v", x, report.Findings)
		}
	}
	report = Config([]byte(`{"addr":"127.0.0.1:7","web":"127.0.0.1:17","zone":"x","seeds":["127.0.0.1:1","127.0.0.1:2"],"roles":["coordinator"]}`), fleet())
	if len(report.Findings) != 0 {
		t.Errorf("config that fit: %+v", report.Findings)
	}
}

// Given addresses where nobody answers, when a fleet is asked for, then each
// that was tried is named.
func TestNobodyAnswers(t *testing.T) {
	_, _, err := Ask([]string{"127.0.0.1:1", "127.0.0.1:2"})
	if err == nil || !strings.Contains(err.Error(), "127.0.0.1:1") || !strings.Contains(err.Error(), "127.0.0.1:2") {
		t.Errorf("told: %v", err)
	}
}
