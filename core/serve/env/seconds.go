package env

import (
	"math"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"fernlink/core/flow"
)

// seconds writes a time as seconds with milliseconds.
func seconds(t flow.Time) string {
	return strconv.FormatFloat(float64(t/time.Millisecond)/1000, 'f', -1, 64)
}

// longest bounds a time that a caller names: what is longer counts as that.
const longest = 24 * time.Hour

// Milliseconds reads a time that a caller names. What is no number is none; one without an
// end counts as the longest.
func Milliseconds(text string) (t flow.Time, named bool) {
	ms, err := strconv.ParseFloat(text, 64)
	if math.IsNaN(ms) || err != nil && !errors.Is(err, strconv.ErrRange) {
		return 0, false
	}
	most := float64(longest / time.Millisecond)
	return flow.Time(min(max(ms, -most), most) * float64(time.Millisecond)), true
}
