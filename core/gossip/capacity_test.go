package gossip

import "testing"

// Given links and disks of two machines, when they are compared, then one carries more
// only with twice the link and no smaller a disk, and nothing is known of one that says
// neither.
func TestWhoCarriesMore(t *testing.T) {
	narrow := Entry{Link: 100, Disk: 64}
	for name, c := range map[string]struct {
		e    Entry
		more bool
	}{
		"wider and larger":      {Entry{Link: 600, Disk: 440}, true},
		"just twice as wide":    {Entry{Link: 200, Disk: 64}, true},
		"not quite twice":       {Entry{Link: 199, Disk: 440}, false},
		"wider, a smaller disk": {Entry{Link: 600, Disk: 63}, false},
		"the same":              {narrow, false},
		"it says nothing":       {Entry{}, false},
		"no disk":               {Entry{Link: 600}, false},
	} {
		if got := c.e.CarriesMore(narrow); got != c.more {
			t.Errorf("%s: %v", name, got)
		}
		if c.e.CarriesMore(narrow) && narrow.CarriesMore(c.e) {
			t.Errorf("%s: each carries more than the other", name)
		}
	}
	if (Entry{Link: 600, Disk: 440}).CarriesMore(Entry{}) {
		t.Error("more than one that says nothing")
	}
}

// Given processes that may own lots, when the owner is picked, then whoever leads the
// store is left out while anybody else is there, and copies of the state count after
// other lots and before the weight.
func TestWhoOwnsLots(t *testing.T) {
	worker := func(id string, leads bool) Entry {
		return Entry{ID: id, Roles: []string{RoleWorker}, Cpu: 480, Leads: leads}
	}
	able := LotOwners([]Entry{worker("a", true), worker("b", false)})
	if len(able) != 1 || able[0].ID != "b" {
		t.Errorf("able: %v", able)
	}
	if alone := LotOwners([]Entry{worker("a", true)}); len(alone) != 1 {
		t.Errorf("with nobody else: %v", alone)
	}
	order := []Fitness{{Idle: true, Free: true}, {Idle: true, Weight: 9}, {Idle: true, Weight: 8}, {Free: true, Weight: 9}, {Weight: 9}}
	for i := range order {
		for j := range order {
			if order[i].Beats(order[j]) != (i < j) {
				t.Errorf("%+v against %+v: %v", order[i], order[j], i >= j)
			}
		}
	}
}
