package ledger

// Outcome is what a command or a question came to. Each layer above turns it into
// its own: dispatchers into an HTTP status (package httpstatus). Its number is how
// it is encoded in the lines between nodes, and never changes: nodes of two builds
// talk to each other during an upgrade.
type Outcome int

const (
	// Unanswered is the outcome of what nobody answered in time: whether a command
	// took effect is not known.
	Unanswered Outcome = 0
	// Accepted is a command that took effect, now or before, or an answered question.
	Accepted Outcome = 200
	// Invalid is what does not parse, or breaks a rule that holds in any state.
	Invalid Outcome = 400
	// NotFound is what names something that does not exist.
	NotFound Outcome = 404
	// Conflict is what does not fit the state just now.
	Conflict Outcome = 409
	// Retired is what names something that is kept no more.
	Retired Outcome = 410
	// Oversized is what is larger than can be kept.
	Oversized Outcome = 413
	// Rejected is what parses and can never be taken as it is.
	Rejected Outcome = 422
	// Full is what would pass a bound on open work.
	Full Outcome = 429
	// Failed is a fault of the store's own.
	Failed Outcome = 500
	// Unavailable is what can't be taken just now and may be said again.
	Unavailable Outcome = 503
)

// Retryable says that the same may be taken when it is said again.
func (o Outcome) Retryable() bool {
	return o == Unanswered || o == Full || o == Failed || o == Unavailable
}

// Outcomes lists those that the store answers with.
func Outcomes() []Outcome {
	return []Outcome{Accepted, Invalid, NotFound, Conflict, Retired, Oversized, Rejected, Full, Failed, Unavailable}
}
