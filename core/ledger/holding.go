package ledger

// Holding is what a machine still keeps for the others. One that holds something is
// not emptied yet (design 12.8).
type Holding struct {
	Member bool `json:"member"` // it is a store machine of the cluster
	Lots   int  `json:"lots"`   // open lots that it owns
}

// Empty says that nothing is lost with the machine.
func (h Holding) Empty() bool { return !h.Member && h.Lots == 0 }
