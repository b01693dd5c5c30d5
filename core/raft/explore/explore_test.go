package explore

import "testing"

// Given each scenario, when all its states are visited within its bound, then
// every invariant holds in all of them.
func TestExploreShort(t *testing.T) {
	for _, scenario := range Short() {
		t.Run(scenario.Name, func(t *testing.T) {
			result := Run(scenario, Bound{States: maxTestStates})
			t.Log(result)
			if result.Violation != nil {
				t.Fatalf("%v\n%s", result.Violation, result.Trace)
			}
			if result.Truncated && !underRace {
				t.Fatalf("the bound was not reached: %v", result)
			}
		})
	}
}

// Given a scenario that is explored twice, when no bound cuts it, then the same
// number of states is found: the hash stands for the state alone.
func TestExploreIsDeterministic(t *testing.T) {
	scenario := Scenario{
		Name: "twice", Voters: 3, Led: true, SyncIsAction: true, InFlight: 4, Depth: 7,
		Faults: 1, Limits: Limits{Propose: 1, Elect: 1, Crash: 1, Drop: 1},
	}
	first, second := Run(scenario, Bound{}), Run(scenario, Bound{})
	if first.States != second.States || first.Transitions != second.Transitions {
		t.Fatalf("%v and %v", first, second)
	}
}
