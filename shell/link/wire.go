package link

import "fernlink/core/flow"

// Pack adds a line to b as it is sent to a peer, end mark and all.
func Pack(b []byte, x flow.Line) ([]byte, error) { return pack(b, x) }

// Unpack reads one line as a peer's connection does, without its end mark.
func Unpack(b []byte) (flow.Line, error) { return unpack(b, &lastNames{}) }
