package flow

import (
	"bytes"
	"strconv"

	"github.com/go-json-experiment/json/v1"
)

// entryOverhead is about what an entry's other fields take, in bytes.
const entryOverhead = 64

// EncodedSize is about how long a list of entries is as JSON.
func EncodedSize(entries []Entry) (size int) {
	for _, entry := range entries {
		size += len(entry.Data) + entryOverhead
	}
	return size
}

// AppendEntries adds a list of entries to a text as JSON. Their data is valid JSON
// already and is copied as it stands: each entry goes to the disk and to all members,
// and reading through it for each of them was most of what that cost.
func AppendEntries(text []byte, entries []Entry) []byte {
	text = append(text, '[')
	for i, entry := range entries {
		if i > 0 {
			text = append(text, ',')
		}
		text = appendEntry(text, entry)
	}
	return append(text, ']')
}

func appendEntry(text []byte, entry Entry) []byte {
	text = strconv.AppendUint(append(text, `{"i":`...), entry.Index, 10)
	text = strconv.AppendUint(append(text, `,"t":`...), entry.Term, 10)
	kind, _ := json.Marshal(entry.Kind) // a text always marshals
	text = append(append(text, `,"k":`...), kind...)
	if len(entry.Data) > 0 {
		text = append(append(text, `,"d":`...), onOneLine(entry.Data)...)
	}
	return append(text, '}')
}

// onOneLine takes line ends out of a text, since one ends a peer's line and a frame of
// the log. Encoders write none.
func onOneLine(text json.RawMessage) []byte {
	if bytes.IndexByte(text, '\n') < 0 {
		return text
	}
	var compact bytes.Buffer
	if json.Compact(&compact, text) != nil {
		return text
	}
	return compact.Bytes()
}

// WithField adds a last field to an encoded object, whose value is encoded already.
func WithField(object json.RawMessage, name string, value json.RawMessage) json.RawMessage {
	text := make([]byte, 0, len(object)+len(name)+len(value)+len(`,"":`))
	text = append(text, object[:len(object)-1]...)
	if len(object) > len(`{}`) {
		text = append(text, ',')
	}
	text = append(append(append(text, '"'), name...), `":`...)
	return append(append(text, value...), '}')
}
