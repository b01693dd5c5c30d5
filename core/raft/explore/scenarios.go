package explore

// untilComplete is the depth of scenarios that their limits bound.
const untilComplete = 1000

// Short are the scenarios of CI.
func Short() []Scenario {
	return []Scenario{
		{
			Name: "one member", Voters: 1, SyncIsAction: true, InFlight: 1, Depth: untilComplete,
			Faults: 2, Limits: Limits{Timeout: 2, Propose: 2, Crash: 2},
		},
		{
			Name: "election", Voters: 3, SyncIsAction: true, InFlight: 6, Depth: 14,
			Faults: 1, Limits: Limits{Timeout: 2, Crash: 1},
		},
		{
			Name: "formation", Voters: 3, Unformed: true, SyncIsAction: true, InFlight: 8, Depth: 24,
			Faults: 1, Limits: Limits{Timeout: 1, Heartbeat: 1, Crash: 1, Drop: 1},
		},
		{
			Name: "replication", Voters: 3, Led: true, SyncIsAction: true, InFlight: 4, Depth: 10,
			Faults: 1, Limits: Limits{Propose: 1, Elect: 1, Crash: 1, Drop: 1},
		},
		{
			Name: "old entries", Voters: 3, Led: true, AnyOrder: true, InFlight: 4, Depth: 7,
			Limits: Limits{Propose: 1, Elect: 2},
		},
		{
			Name: "reads", Voters: 3, Led: true, InFlight: 6, Depth: untilComplete,
			Limits: Limits{Read: 1, Propose: 1, Elect: 1, Heartbeat: 1},
		},
		{
			Name: "lease", Voters: 3, Led: true, InFlight: 4, Depth: 12,
			Limits: Limits{Read: 1, Elect: 1, Heartbeat: 1, AdvanceTime: 5, GrantLease: 1},
		},
		{
			Name: "snapshot", Voters: 3, Led: true, InFlight: 6, Depth: 14,
			Faults: 1, Limits: Limits{Propose: 1, Compact: 1, Install: 1, Heartbeat: 2, Drop: 1, Crash: 1},
		},
		{
			Name: "transfer", Voters: 3, Led: true, InFlight: 8, Depth: 14,
			Faults: 1, Limits: Limits{Propose: 1, Transfer: 1, Timeout: 1, Crash: 1, Overtake: 1},
		},
		{
			Name: "wipe", Voters: 3, Led: true, InFlight: 6, Depth: 20,
			Faults: 1, Limits: Limits{Wipe: 1, AddLearner: 1, Promote: 1, Remove: 1, Heartbeat: 1},
		},
		{
			Name: "wiped voter", Voters: 3, Led: true, InFlight: 8, Depth: untilComplete,
			Faults: 1, Limits: Limits{Wipe: 1, Timeout: 1, DeliverLate: 2},
		},
		{
			Name: "shrink", Voters: 3, Led: true, InFlight: 4, Depth: untilComplete,
			Limits: Limits{Remove: 2, Elect: 1},
		},
		{
			Name: "four members", Voters: 4, Led: true, InFlight: 6, Depth: 5,
			Faults: 1, Limits: Limits{Remove: 2, Elect: 2, Drop: 1, Overtake: 1},
		},
		{
			Name: "grow", Voters: 3, Spares: 1, Led: true, InFlight: 6, Depth: untilComplete,
			Limits: Limits{AddLearner: 1, Promote: 1, Heartbeat: 1},
		},
	}
}

// Long are the same scenarios with one more of each action and of the faults, two
// more messages in flight and no bound on the depth. A time bounds them.
func Long() []Scenario {
	scenarios := Short()
	for i := range scenarios {
		scenario := &scenarios[i]
		scenario.Depth = untilComplete
		scenario.InFlight += 2
		scenario.Faults++
		for kind := range scenario.Limits {
			scenario.Limits[kind]++
		}
	}
	return scenarios
}
