package sim

import (
	"slices"

	"fernlink/core/flow"
)

// damagedPiece gives a line as it is where it is no piece of a snapshot, and else, one
// time in three, with a bit turned or cut somewhere.
func (w *World) damagedPiece(line flow.Line) flow.Line {
	if line.Kind != "piece" || len(line.Body) == 0 || w.Rand.Intn(3) > 0 {
		return line
	}
	at := w.Rand.Intn(len(line.Body))
	if w.Rand.Intn(2) == 0 {
		line.Body = line.Body[:at]
		return line
	}
	line.Body = slices.Clone(line.Body) // others may be sent the same bytes
	line.Body[at] ^= 1 << w.Rand.Intn(8)
	return line
}
