package raft

import (
	"github.com/go-json-experiment/json/v1"

	"fernlink/core/flow"
)

// Encode gives a message as JSON. The data of its entries is copied as it stands.
func (m Message) Encode() (json.RawMessage, error) {
	entries := m.Entries
	m.Entries = nil
	head, err := json.Marshal(m)
	if err != nil || len(entries) == 0 {
		return head, err
	}
	text := append(make([]byte, 0, len(head)+flow.EncodedSize(entries)), head[:len(head)-1]...)
	text = flow.AppendEntries(append(text, `,"`+EntriesField+`":`...), entries)
	return append(text, '}'), nil
}

// EntriesField is the last field of an encoded message that has entries.
const EntriesField = "e"

// Head is the message without its entries.
func (m Message) Head() Message {
	m.Entries = nil
	return m
}
