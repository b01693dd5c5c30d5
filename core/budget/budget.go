// Package budget is the one table of time budgets (design 5.3): every constant
// is a ratio of a bound that the users named.
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
	Lease      = Plan * 3 / 4     // a dispatcher's right to serve, from the renewal's sending
	Renew      = Lease / 5        // how often it is renewed
	RenewBatch = Renew / 10       // renewals that come in this time are proved together
	Nudge      = Renew / 15       // least time between renewals that a nudge brings on
	Beat       = Heal / 120       // a leader's heartbeat
	Tick       = Beat / 10        // how often a node with work under way looks at its deadlines
	Elect      = Heal / 24        // least silence before an election; the most is twice that
	Gossip     = Heal / 48        // how often a node gossips
	Lost       = Heal / 6         // a peer without beats counts as lost
	Poll       = Engine / 6       // how often an engine's own load is read
	PollLimit  = Engine / 5       // how long such a read may take
	Quiet      = Engine / 2       // an engine without a good read is out of placement
	List       = Engine / 6       // how often the platform list is read
	Ask        = Heal / 24        // how long an ask waits before it is tried elsewhere
	AskLimit   = Heal / 4         // how long an ask is tried at all
	Reply      = Operator * 3 / 5 // how long an operator's call waits for the store's answer
	OrderSend  = Lease * 2 / 3    // how long a weight order may be on its way
	Owner      = Lease * 2 / 3    // silence before the lots of a dispatcher get another owner
	Take       = 2 * Lease        // silence before another coordinator may be granted the lease
	Stop       = Heal / 2         // how long a clean stop may take, where the config are silent
	Lookup     = Listed / 25      // what a dispatcher spends on asking the index
	Batch      = 1 * time.Second  // events go to the coordinator about once a second
	Silence    = 30 * time.Second
	Sweep      = 10 * time.Second
	Snapshot   = 60 * time.Second
)
