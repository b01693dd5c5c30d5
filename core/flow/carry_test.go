package flow

import (
	"errors"
	"strings"
	"testing"
)

// Guards against a command that is acknowledged and that a peer or the disk can't read.
//
// Given texts of different depths and sizes, when they are checked, then those that no layer
// around them would make unreadable are carried, and brackets within strings don't count.
func TestOnlyWhatCanBeReadIsCarried(t *testing.T) {
	nested := func(levels int) string { return strings.Repeat("[", levels) + strings.Repeat("]", levels) }
	for name, x := range map[string]struct {
		text string
		want error
	}{
		"plain":                     {`{"a":[1,{"b":2}]}`, nil},
		"the deepest":               {nested(DepthMost), nil},
		"one level more":            {nested(DepthMost + 1), ErrTooDeep},
		"objects":                   {strings.Repeat(`{"a":`, DepthMost+1) + "1" + strings.Repeat("}", DepthMost+1), ErrTooDeep},
		"brackets in a string":      {`"` + strings.Repeat("[", 2*DepthMost) + `"`, nil},
		"an escaped quote":          {`["\"` + strings.Repeat("[", 2*DepthMost) + `"]`, nil},
		"wide":                      {"[" + strings.Repeat("[],", 2*DepthMost) + "0]", nil},
		"deep behind a string":      {`["\\",` + nested(DepthMost) + "]", ErrTooDeep},
		"the largest":               {`"` + strings.Repeat("a", BytesMost-2) + `"`, nil},
		"one byte more":             {`"` + strings.Repeat("a", BytesMost-1) + `"`, ErrTooLarge},
		"a string that has no end":  {strings.Repeat("[", DepthMost) + `"[[`, nil},
		"an escape that has no end": {strings.Repeat("[", DepthMost) + `"\`, nil},
	} {
		if err := CheckCarried([]byte(x.text)); !errors.Is(err, x.want) {
			t.Errorf("%s: %v, want %v", name, err, x.want)
		}
	}
}
