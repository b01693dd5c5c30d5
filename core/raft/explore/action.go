package explore

import (
	"fmt"
	"strings"

	"fernlink/core/raft"
)

// ActionKind is one kind of thing that may happen to the cluster.
type ActionKind int

// The kinds of actions. Each is bounded by a scenario's limit but Deliver and
// Sync, which only the depth bounds.
const (
	Deliver     ActionKind = iota // the oldest message in flight comes, or any with AnyOrder
	Overtake                      // a later message comes first
	Drop                          // the oldest message is lost
	DeliverLate                   // a vote is asked for after the voter forgot its leader
	Duplicate                     // a message comes and stays in flight
	Sync                          // a member's oldest batch of saves is durable
	Timeout                       // a member's election time-out runs out
	Elect                         // a member is elected by one majority, at once
	Heartbeat                     // a leader's next heartbeat is due
	QuorumLost                    // a leader hears nobody for long
	Transfer                      // a leader asks another member to take over
	Propose                       // a client writes
	Read                          // a client reads
	Crash                         // a member loses what is not synced, and starts again
	Wipe                          // a member loses its disk and is somebody new
	Compact                       // a member makes a snapshot
	Install                       // a member takes the snapshot that it was offered
	AddLearner                    // a leader proposes a blank machine as a learner
	Promote                       // a leader proposes a learner as a voter
	Remove                        // a leader proposes to take a member out
	AdvanceTime                   // the cluster's time goes on by a step
	GrantLease                    // a leader proposes to grant the lease to a successor
	actionKinds int        = iota
)

var actionNames = [actionKinds]string{
	"deliver", "overtake", "drop", "deliver late", "duplicate", "sync", "election time-out", "elect", "heartbeat", "quorum lost",
	"transfer", "propose", "read", "crash", "wipe", "compact", "install", "add learner", "promote", "remove",
	"advance time", "grant lease",
}

// String gives the action's name.
func (k ActionKind) String() string { return actionNames[k] }

// isFault says whether a scenario's total of faults counts an action.
func (k ActionKind) isFault() bool {
	switch k {
	case Overtake, Drop, Duplicate, Crash, Wipe:
		return true
	}
	return false
}

// action is one thing that happened.
type action struct {
	kind    ActionKind
	member  string
	detail  string
	message *raft.Message
}

func (a action) String() string {
	text := fmt.Sprintf("%s %s %s", a.kind, a.member, a.detail)
	if a.message == nil {
		return text
	}
	m := a.message
	return fmt.Sprintf("%s %s>%s %s term %d index %d/%d commit %d round %d ok %v hint %d entries %d",
		text, m.From, m.ToID, m.Kind, m.Term, m.Index, m.LogTerm, m.Commit, m.Round, m.OK, m.Hint, len(m.Entries))
}

// trace is how a state was reached.
type trace struct {
	before *trace
	action action
}

// String lists the actions from the start on, one a line.
func (t *trace) String() string {
	var lines []string
	for ; t != nil; t = t.before {
		lines = append([]string{t.action.String()}, lines...)
	}
	return strings.Join(lines, "\n")
}
