// Package budget is the one table of intervals and timeouts (design 5.3). Each
// is a ratio of a bound that the users named, so that a change of a bound moves
// all that depends on it. It decides nothing and any package may import it.
package budget

import "time"

// The users' bounds.
const (
	Plan   = 2 * time.Second  // a plan is in force everywhere
	Engine = 3 * time.Second  // a draining or vanished engine gets no new work
	End    = 3 * time.Second  // an ended step's leftovers stop
	Listed = 1 * time.Second  // a result is readable
	Heal   = 12 * time.Second // service is back after a bad fault

	Operator = 1 * time.Second // silence after which an operator asks another node
)

// Ratios of the bounds.
const (
	LeaseDuration        = Plan * 3 / 4           // a dispatcher's right to serve, from the renewal's sending
	RenewInterval        = LeaseDuration / 5      // how often it is renewed
	RenewBatchInterval   = RenewInterval / 10     // renewals that come in this time are proved together
	RenewMinInterval     = RenewInterval / 15     // least time between renewals when a change asks for one at once
	HeartbeatInterval    = Heal / 120             // a leader's heartbeat
	TickInterval         = HeartbeatInterval / 10 // how often a node with work under way looks at its deadlines
	ElectionTimeout      = Heal / 24              // least silence before an election; the most is twice that
	GossipInterval       = Heal / 48              // how often a node gossips
	FailureTimeout       = Heal / 6               // a peer without heartbeats counts as lost
	PollInterval         = Engine / 6             // how often an engine's own load is read
	PollTimeout          = Engine / 5             // how long such a read may take
	LoadReportTimeout    = Engine / 2             // an engine without a good read is out of placement
	ListInterval         = Engine / 6             // how often the platform list is read
	AskRetryInterval     = Heal / 24              // how long an ask waits before it is tried elsewhere
	AskTimeout           = Heal / 4               // how long an ask is tried at all
	OperatorReplyTimeout = Operator * 3 / 5       // how long an operator's call waits for the store's answer
	OrderSendTimeout     = LeaseDuration * 2 / 3  // how long a weight order may be on its way
	OwnerTimeout         = LeaseDuration * 2 / 3  // silence before the lots of a dispatcher get another owner
	LeaseTakeoverTimeout = 2 * LeaseDuration      // silence before another coordinator may be granted the lease
	StopTimeout          = Heal / 2               // how long a clean stop may take, where the config does not say
	LookupTimeout        = Listed / 25            // what a dispatcher spends on asking the index
	EventBatchInterval   = 1 * time.Second        // events go to the coordinator about once a second
	EngineExpiry         = 30 * time.Second       // an engine that no dispatcher reports leaves the index
	SweepInterval        = 10 * time.Second       // how often the index looks for such engines
	CheckpointInterval   = 60 * time.Second       // how often a coordinator saves its index
)
