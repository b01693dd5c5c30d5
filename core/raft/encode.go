package raft

import (
	"strconv"

	"github.com/go-json-experiment/json/v1"

	"fernlink/core/flow"
)

// Encode gives a message as JSON. The data of its entries is valid JSON already and
// is copied as it stands: a leader sends each entry to all members, and reading
// through it for each of them again was most of what that cost.
func (m Message) Encode() (json.RawMessage, error) {
	entries := m.Entries
	m.Entries = nil
	head, err := json.Marshal(m)
	if err != nil || len(entries) == 0 {
		return head, err
	}
	size := len(head)
	for _, entry := range entries {
		size += len(entry.Data) + entryOverhead
	}
	text := append(make([]byte, 0, size), head[:len(head)-1]...)
	text = append(text, `,"e":[`...)
	for i, entry := range entries {
		if i > 0 {
			text = append(text, ',')
		}
		text = appendEntry(text, entry)
	}
	return append(text, "]}"...), nil
}

// entryOverhead is about what an entry's other fields take.
const entryOverhead = 64

func appendEntry(text []byte, entry flow.Entry) []byte {
	text = strconv.AppendUint(append(text, `{"i":`...), entry.Index, 10)
	text = strconv.AppendUint(append(text, `,"t":`...), entry.Term, 10)
	kind, _ := json.Marshal(entry.Kind) // a text always marshals
	text = append(append(text, `,"k":`...), kind...)
	if len(entry.Data) > 0 {
		text = append(append(text, `,"d":`...), entry.Data...)
	}
	return append(text, '}')
}
