package ledger

import (
	"bytes"
	"strconv"

	"github.com/go-json-experiment/json/v1"

	"fernlink/core/flow"
)

// Encode gives a command as JSON. Its body is valid JSON already, and is copied as it
// stands.
func (c Command) Encode() json.RawMessage {
	head := raw(struct {
		Kind string `json:"kind"`
		At   int64  `json:"at"`
	}{c.Kind, c.At})
	return flow.WithField(head, "body", c.Body)
}

// bulky are commands whose functions read their whole body and refuse one that is not
// a single value, so that it need not be read through to find where it ends.
var bulky = map[string]bool{"lot.put": true, "lot.list": true}

// ReadsWholeBody says whether the command of a kind is such a one.
func ReadsWholeBody(kind string) bool { return bulky[kind] }

// decodeCommand reads a command. Those of bulk are taken apart where they were written
// by Encode; nothing else writes them into the log.
func decodeCommand(data json.RawMessage) (Command, error) {
	if c, ok := splitCommand(data); ok {
		return c, nil
	}
	var c Command
	err := json.Unmarshal(data, &c)
	return c, err
}

// splitCommand takes a command of bulk apart as Encode wrote it.
func splitCommand(data json.RawMessage) (Command, bool) {
	rest, isCommand := bytes.CutPrefix(data, []byte(`{"kind":"`))
	kind, rest, hasTime := bytes.Cut(rest, []byte(`","at":`))
	if !isCommand || !hasTime || !bulky[string(kind)] {
		return Command{}, false
	}
	digits, body, hasBody := bytes.Cut(rest, []byte(`,"body":`))
	at, err := strconv.ParseInt(string(digits), 10, 64)
	if !hasBody || err != nil || len(body) < 2 || body[len(body)-1] != '}' {
		return Command{}, false
	}
	return Command{Kind: string(kind), At: at, Body: json.RawMessage(body[:len(body)-1])}, true
}
