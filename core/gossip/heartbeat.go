package gossip

import (
	"errors"
	"strconv"
	"strings"
)

// Heartbeat stands for an entry that the other side knows but for its beat.
type Heartbeat struct {
	Addr    string
	Inc     int64
	Changed uint64 // the beat at which the entry last changed in more than its beat
	Beat    uint64
}

// Heartbeats are written as one text, since each line has one for each process:
// "address incarnation changed beat", separated by commas, with numbers to the base 36.
type Heartbeats []Heartbeat

var errHeartbeats = errors.New("gossip: malformed heartbeats")

const heartbeatBase = 36

// MarshalJSON writes the text.
func (h Heartbeats) MarshalJSON() ([]byte, error) {
	text := make([]byte, 0, 2+32*len(h))
	text = append(text, '"')
	for i, b := range h {
		if i > 0 {
			text = append(text, ',')
		}
		text = append(append(text, b.Addr...), ' ')
		text = append(strconv.AppendInt(text, b.Inc, heartbeatBase), ' ')
		text = append(strconv.AppendUint(text, b.Changed, heartbeatBase), ' ')
		text = strconv.AppendUint(text, b.Beat, heartbeatBase)
	}
	return append(text, '"'), nil
}

// UnmarshalJSON reads it.
func (h *Heartbeats) UnmarshalJSON(raw []byte) error {
	if len(raw) < 2 || raw[0] != '"' {
		return errHeartbeats
	}
	rest, more := string(raw[1:len(raw)-1]), len(raw) > 2
	*h = make(Heartbeats, 0, strings.Count(rest, ",")+1)
	for more {
		var one string
		one, rest, more = strings.Cut(rest, ",")
		b, err := parseHeartbeat(one)
		if err != nil {
			return err
		}
		*h = append(*h, b)
	}
	return nil
}

func parseHeartbeat(text string) (Heartbeat, error) {
	addr, rest, _ := strings.Cut(text, " ")
	incarnation, rest, _ := strings.Cut(rest, " ")
	changed, beat, ok := strings.Cut(rest, " ")
	if !ok || addr == "" || strings.ContainsRune(addr, '\\') {
		return Heartbeat{}, errHeartbeats
	}
	heartbeat := Heartbeat{Addr: addr}
	var failures [3]error
	heartbeat.Inc, failures[0] = strconv.ParseInt(incarnation, heartbeatBase, 64)
	heartbeat.Changed, failures[1] = strconv.ParseUint(changed, heartbeatBase, 64)
	heartbeat.Beat, failures[2] = strconv.ParseUint(beat, heartbeatBase, 64)
	if failures != [3]error{} {
		return Heartbeat{}, errHeartbeats
	}
	return heartbeat, nil
}
