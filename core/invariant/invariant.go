// Package invariant names the promises that the cores check while they run (design
// 3.3). A check costs nothing where it holds. One that does not is counted by its name,
// kept for the log with what traces it, and changes nothing else: whoever finds it goes
// on as if it had not looked. core/node logs and counts what its cores find; without a
// Monitor, as in tests of single cores, a violation panics.
package invariant

import (
	"fmt"
	"sync"
)

// Name is one promise, as it stands in logs and metrics.
type Name string

// The promises that are checked. Each comment says what was found if one is violated.
const (
	// TwoLeaders: two members lead in one term.
	TwoLeaders Name = "two_leaders_in_term"
	// CommittedReplaced: an entry that is known to be committed is cut off the log.
	CommittedReplaced Name = "committed_entry_replaced"
	// VoteChanged: a member saves an older term, or another vote in the same term.
	VoteChanged Name = "vote_changed"
	// SaveOutOfOrder: the disk tells of a batch that was not given to it, or of an
	// older one than before.
	SaveOutOfOrder Name = "save_out_of_order"
	// LedgerWentBack: a proved read that was asked for after an index was known gives
	// an older one. Something acknowledged is lost.
	LedgerWentBack Name = "ledger_went_back"
	// PlanWentBack: a node takes an older plan in the place of a newer.
	PlanWentBack Name = "plan_went_back"
	// SentWithoutLease: work that needs a lease is sent without one, or may leave
	// after its end.
	SentWithoutLease Name = "sent_without_lease"
	// OrderWithoutLease: weights are ordered by a node that does not act as
	// coordinator, or under another term than its own.
	OrderWithoutLease Name = "order_without_lease"
	// RunOnceSentAgain: a request that may run once is sent although it may have run.
	RunOnceSentAgain Name = "run_once_sent_again"
	// RefusedMayHaveRun: a request that may run once is refused although it may have
	// run.
	RefusedMayHaveRun Name = "refused_may_have_run"
	// PartialPassed: what is no whole answer is passed on as one.
	PartialPassed Name = "partial_answer_passed"
	// DisallowedWeights: a text is to be listed whose weights its lot does not allow.
	DisallowedWeights Name = "disallowed_weights_listed"
	// ListedWithoutScore: a text whose item carries a reward call is to be listed as
	// complete without a score, or one that carries none with one.
	ListedWithoutScore Name = "listed_without_score"
)

// Names are all promises that are checked.
var Names = []Name{TwoLeaders, CommittedReplaced, VoteChanged, SaveOutOfOrder, LedgerWentBack, PlanWentBack, SentWithoutLease, OrderWithoutLease,
	RunOnceSentAgain, RefusedMayHaveRun, PartialPassed, DisallowedWeights, ListedWithoutScore}

// Violation is one promise that was found broken. Trace has keys and values in turn, as
// a log line has them.
type Violation struct {
	Name  Name
	Trace []any
}

// String is the violation as tests and panics show it.
func (v Violation) String() string { return fmt.Sprintf("%s: %s %v", Text, v.Name, v.Trace) }

// Text is the message of each log line about a violation.
const Text = "invariant violated"

// pendingMost bounds the violations that wait to be logged. All are counted.
const pendingMost = 16

// Monitor counts the violations of one process. It may be used from any goroutine. A
// nil Monitor panics at a violation.
type Monitor struct {
	mu      sync.Mutex
	counts  map[Name]int64
	pending []Violation
}

// NewMonitor has counted nothing.
func NewMonitor() *Monitor { return &Monitor{counts: map[Name]int64{}} }

// Violated notes that a promise does not hold.
func (m *Monitor) Violated(name Name, trace ...any) {
	found := Violation{name, trace}
	if m == nil {
		panic(found.String())
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts[name]++
	if len(m.pending) < pendingMost {
		m.pending = append(m.pending, found)
	}
}

// Pending takes the violations that were not logged yet.
func (m *Monitor) Pending() []Violation {
	if m == nil {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	taken := m.pending
	m.pending = nil
	return taken
}

// Counts gives how often each promise was found broken, also those that never were.
func (m *Monitor) Counts() map[Name]int64 {
	counts := make(map[Name]int64, len(Names))
	for _, name := range Names {
		counts[name] = 0
	}
	if m == nil {
		return counts
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, count := range m.counts {
		counts[name] = count
	}
	return counts
}
