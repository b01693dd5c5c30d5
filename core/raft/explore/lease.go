package explore

// A lease in steps of the cluster's time, by the rules of core/store (design 5.2,
// 9.2): the holder renews it with a proved read and counts it from the sending;
// a leader grants it to a successor once it heard no renewal, and has led, for
// twice as long.
const (
	leaseSteps = 2 // budget.LeaseDuration in steps of 0.75 s
	takeSteps  = 2 * leaseSteps
)

// grantData is the command that grants the lease to the successor.
const grantData = `"grant"`

// lease is what is known of the holder's and the successor's lease.
type lease struct {
	now       int // the cluster's time; all clocks go at one rate
	until     int // the end of the holder's lease
	proposed  bool
	proposer  int // the machine whose leader proposed the grant
	granted   bool
	grantedAt int
	heard     [maxMachines]int // when each leader heard the holder last
}

func (l *lease) encode(e *encoder) {
	e.numbers(uint64(l.now), uint64(l.until), uint64(l.grantedAt), uint64(l.proposer))
	e.flag(l.proposed)
	e.flag(l.granted)
	for _, at := range l.heard {
		e.numbers(uint64(at))
	}
}

// mayGrant says whether a leader may grant the lease to a successor now.
func (l *lease) mayGrant(machine, elected int) bool {
	return !l.proposed && l.now-max(elected, l.heard[machine]) >= takeSteps
}

// mayRenew says whether a leader still takes renewals of the holder: not once it
// proposed the grant, or applied it.
func (l *lease) mayRenew(machine int, appliedAll bool) bool {
	if l.proposed && l.proposer == machine {
		return false
	}
	return !l.granted || !appliedAll
}

// overlaps says whether the holder's lease goes on after the successor's began.
func (l *lease) overlaps() bool { return l.granted && l.until > l.grantedAt }
