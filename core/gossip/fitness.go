package gossip

// Fitness is how well a process suits as the owner of a lot (design 12.5).
type Fitness struct {
	Roomy  bool   // its memory has room for the lot
	Idle   bool   // it owns no lots of another pool or model
	Free   bool   // it keeps no copy of the replicated state
	Weight uint64 // the same for all who ask, so that they agree
}

// Beats says whether a process suits better than another.
func (f Fitness) Beats(other Fitness) bool {
	switch {
	case f.Roomy != other.Roomy:
		return f.Roomy
	case f.Idle != other.Idle:
		return f.Idle
	case f.Free != other.Free:
		return f.Free
	default:
		return f.Weight > other.Weight
	}
}
