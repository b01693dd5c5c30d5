//go:build race

package explore

// maxTestStates cuts the scenarios of CI under the race detector, which looks for
// races between the workers; all their states are visited without it.
const maxTestStates = 3000

// underRace says that the race detector slows the exploration down.
const underRace = true
