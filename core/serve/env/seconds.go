package env

import (
	"strconv"
	"time"

	"fernlink/core/flow"
)

// seconds writes a time as seconds with milliseconds.
func seconds(t flow.Time) string {
	return strconv.FormatFloat(float64(t/time.Millisecond)/1000, 'f', -1, 64)
}
