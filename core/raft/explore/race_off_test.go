//go:build !race

package explore

// maxTestStates is more than any scenario of CI has.
const maxTestStates = 200000

// underRace says that the race detector slows the exploration down.
const underRace = false
