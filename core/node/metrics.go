package node

import (
	"bytes"
	"strings"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/common/expfmt"

	"fernlink/core/sorted"
)

// family is one metric with its samples. Names that end in _total are counters,
// all others gauges.
type family struct {
	name, help string
	samples    []sample
}

type sample struct {
	labels []label
	value  float64
}

type label struct{ name, value string }

// enginesMost bounds the engines that have samples of their own; the platform's
// list is longer on no fleet that was seen.
const enginesMost = 1024

// families turns a snapshot into metrics. Labels come from fixed lists, but for
// engines, pools and models, whose names come from the platform's list.
func families(s Stats) []family {
	var out []family
	one := func(name, help string, v float64) { out = append(out, family{name, help, []sample{{value: v}}}) }
	many := func(name, help string, x []sample) {
		if len(x) > 0 {
			out = append(out, family{name, help, x})
		}
	}
	by := func(name, help, label string, m map[string]int64) { many(name, help, labelled(label, m)) }
	one("up_seconds", "since the start of this process", s.Up)
	one("peers", "nodes that are heard, this one among them", float64(len(s.Live)))
	many("rows", "entities in each table", labelled("table", s.Rows))
	one("asks_open", "questions to the store without an answer", float64(s.Asks))
	one("disk_full", "the disk has no room", flag(s.Full))
	by("node_total", "lines and connections that were dropped", "kind", s.Counts)
	many("invariant_violations_total", "promises that were found broken here, by name", labelled("name", s.Invariants))
	if x := s.Store; x != nil {
		one("store_leader", "this store leads", flag(x.Role == "leader"))
		one("store_term", "term of the store", float64(x.Term))
		one("store_commit", "newest committed entry", float64(x.Commit))
		one("store_applied", "newest entry that is in this member's state", float64(x.Applied))
		one("store_log_entries", "entries in memory", float64(x.Log))
		one("store_members", "members of the store", float64(len(x.Members)))
		one("store_unsure", "entries that this member acknowledged may be gone", flag(x.Unsure))
		one("store_snapshot_bytes", "size of the newest snapshot", float64(x.Snapshot))
		one("store_order_receipts", "orders that are known when they are sent again", float64(x.Receipts))
		one("store_order_repeats_total", "orders acknowledged again", float64(x.Repeated))
		one("store_order_changes_total", "orders refused for other content under a known name", float64(x.Changed))
		one("store_writes_total", "commands proposed here", float64(x.Writes))
		one("store_leaderless_seconds", "since this member heard a leader", x.Health.Leaderless)
		one("store_commit_stalled_seconds", "for how long this leader has committed nothing although something waits", x.Health.CommitStalled)
		one("store_voters", "voters by the membership that this member has", float64(len(x.Health.Voters)))
		one("store_voters_silent", "of them, those that this member has not heard for two seconds", float64(x.Health.SilentVoters()))
		one("store_reads_total", "queries proved here", float64(x.Reads))
	}
	if x := s.Disp; x != nil {
		one("dispatcher_serving", "the view of the ledger is under a lease", flag(x.Serving))
		one("dispatcher_plan_version", "version of the plan in force here", float64(x.Plan))
		one("dispatcher_ledger_index", "newest entry that this dispatcher has heard of", float64(x.Index))
		one("dispatcher_generations_held", "generations that wait for an engine", float64(x.Held))
		one("dispatcher_generations_running", "generations under way", float64(x.Running))
		one("dispatcher_requests_open", "plain requests held or under way", float64(x.Open))
		one("dispatcher_engines_usable", "engines that new work may go to", float64(x.Engines))
		by("dispatcher_total", "what the dispatcher did", "kind", x.Counts)
	}
	if x := s.Serve; x != nil {
		one("serving_plan_version", "version of the routes in force here", float64(x.Plan))
		one("serving_under_lease", "the view of the ledger is under a lease", flag(x.Fresh))
		one("serving_list_engines", "engines on the platform's list", float64(x.List))
		one("serving_list_age_seconds", "since the list was last confirmed, below zero where there is none", x.ListAge)
		one("serving_requests_open", "plain requests held or under way", float64(x.Open))
		one("serving_lots", "lots that this node owns", float64(x.Lots))
		one("serving_items_held", "items of its lots that wait for an engine", float64(x.Held))
		one("serving_items_running", "items under way", float64(x.Running))
		one("serving_items_to_list", "items that are finished and not listed", float64(x.Ready))
		one("serving_readers", "readers that wait for results", float64(x.Readers))
		one("serving_sends_open", "calls of engines and the list under way", float64(x.Sends))
		one("serving_orders", "weight orders under way from here", float64(x.Orders))
		by("serving_total", "what the serving side did", "kind", x.Counts)
		out = append(out, engineFamilies(x.Engines[:min(len(x.Engines), enginesMost)])...)
	}
	if x := s.Coord; x != nil {
		one("coordinator_acting", "this coordinator holds the lease", flag(x.Acting))
		one("coordinator_term", "its term", float64(x.Term))
		one("coordinator_journal_offset", "records folded into the views", float64(x.Offset))
		one("coordinator_stale_slices", "writers' slices that miss a batch: 0 is a complete view", float64(x.Stale))
		one("coordinator_engines", "engines in the registry", float64(x.Engines))
		one("coordinator_blocks", "blocks in the key directory", float64(x.Blocks))
		one("coordinator_oldest_sign_seconds", "age of the oldest sign of life in the view", x.Oldest)
		one("coordinator_orders_under_way", "weight orders under way", float64(x.Moves))
		by("coordinator_gate_total", "batches by what the gate did with them", "kind", x.Gate)
		by("coordinator_total", "what the coordinator did", "kind", x.Counts)
		var loops []sample
		for _, k := range []string{"evict-estimate", "roll-out", "silence", "checkpoint"} {
			if v, ok := x.Passed[k]; ok {
				loops = append(loops, sample{[]label{{"loop", k}}, v})
			}
		}
		many("coordinator_seconds_since_pass", "since a loop last passed: whether it is alive", loops)
	}
	return out
}

func labelled[K ~string, V int | int64](name string, m map[K]V) (out []sample) {
	for _, k := range sorted.Keys(m) {
		out = append(out, sample{[]label{{name, string(k)}}, float64(m[k])})
	}
	return out
}

func flag(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// collector gives a snapshot's families to the library that writes them.
type collector []family

// Describe names nothing beforehand: which families there are depends on the roles.
func (c collector) Describe(chan<- *prometheus.Desc) {}

// Collect gives each sample.
func (c collector) Collect(metrics chan<- prometheus.Metric) {
	for _, f := range c {
		kind := prometheus.GaugeValue
		if strings.HasSuffix(f.name, "_total") {
			kind = prometheus.CounterValue
		}
		for _, s := range f.samples {
			metrics <- f.metric(kind, s)
		}
	}
}

func (f family) metric(kind prometheus.ValueType, s sample) prometheus.Metric {
	names, values := make([]string, len(s.labels)), make([]string, len(s.labels))
	for i, l := range s.labels {
		names[i], values[i] = l.name, l.value
	}
	description := prometheus.NewDesc("fernlink_"+f.name, f.help, names, nil)
	metric, err := prometheus.NewConstMetric(description, kind, s.value, values...)
	if err != nil {
		return prometheus.NewInvalidMetric(description, err)
	}
	return metric
}

// Metrics writes a snapshot for scraping, in the text format 0.0.4. A sample that the
// library does not take, such as a second one of the same labels, is left out.
func Metrics(s Stats) []byte {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collector(families(s)))
	gathered, _ := registry.Gather()
	var page bytes.Buffer
	for _, f := range gathered {
		_, _ = expfmt.MetricFamilyToText(&page, f) // a buffer takes all
	}
	return page.Bytes()
}
