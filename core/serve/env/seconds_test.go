package env

import (
	"testing"
	"time"

	"fernlink/core/flow"
)

// Guards against times that overflow: a caller who waits for long would be refused at once.
//
// Given times as callers may name them, when they are read, then each is a time within
// bounds, or none.
func TestTimesThatCallersName(t *testing.T) {
	for text, want := range map[string]flow.Time{
		"1500": 1500 * time.Millisecond, "0.5": time.Millisecond / 2, "0": 0, "-3": -3 * time.Millisecond,
		"1e300": longest, "1e999": longest, "Inf": longest, "-Inf": -longest, "99999999999999999999": longest,
	} {
		if got, named := Milliseconds(text); !named || got != want {
			t.Errorf("%q: %v %v, want %v", text, got, named, want)
		}
	}
	for _, text := range []string{"", "soon", "NaN", "1 500", "0x"} {
		if got, named := Milliseconds(text); named {
			t.Errorf("%q: %v", text, got)
		}
	}
}
