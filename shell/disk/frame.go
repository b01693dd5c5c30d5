package disk

import (
	"bytes"
	"fmt"
	"hash/crc32"
	"strconv"

	"github.com/go-json-experiment/json/v1"

	"fernlink/core/flow"
)

// frame is one unit of a file: a checksum, a length and JSON on one line.
func frame(v any) []byte {
	return framed(encoded(v))
}

// framed puts checksum and length before an encoded text.
func framed(text []byte) []byte {
	head := fmt.Sprintf("%08x %d ", crc32.ChecksumIEEE(text), len(text))
	b := make([]byte, 0, len(head)+len(text)+1)
	return append(append(append(b, head...), text...), '\n')
}

// frameOf gives the frame of a record, whose entries are copied as they stand.
func frameOf(r record) []byte {
	if r.Mark != nil {
		return frame(r)
	}
	size := 0
	for _, s := range r.Saves {
		size += flow.EncodedSize(s.Add) + saveOverhead
	}
	text := append(make([]byte, 0, size), `{"saves":[`...)
	for i, s := range r.Saves {
		if i > 0 {
			text = append(text, ',')
		}
		text = appendSave(text, s)
	}
	return framed(append(text, `]}`...))
}

// saveOverhead is about what a save without entries takes, in bytes.
const saveOverhead = 256

// appendSave adds a save to a text as its fields are encoded.
func appendSave(text []byte, s flow.Save) []byte {
	text = append(append(text, `{"Hard":`...), encoded(s.Hard)...)
	text = strconv.AppendUint(append(text, `,"Cut":`...), s.Cut, 10)
	text = append(text, `,"Add":`...)
	if s.Add == nil {
		text = append(text, `null`...)
	} else {
		text = flow.AppendEntries(text, s.Add)
	}
	return append(append(append(text, `,"Snapshot":`...), encoded(s.Snapshot)...), '}')
}

func encoded(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // only plain structs come here
	}
	return b
}

// unframe reads one frame and gives its size, or false where it is not whole.
func unframe(b []byte, into any) (int, bool) {
	at := bytes.IndexByte(b, ' ')
	if at != 8 {
		return 0, false
	}
	end := bytes.IndexByte(b[9:min(len(b), 30)], ' ')
	if end < 0 {
		return 0, false
	}
	sum, err1 := strconv.ParseUint(string(b[:8]), 16, 32)
	n, err2 := strconv.Atoi(string(b[9 : 9+end]))
	from := 9 + end + 1
	if err1 != nil || err2 != nil || n < 0 || from+n > len(b) {
		return 0, false
	}
	body := b[from : from+n]
	if uint64(crc32.ChecksumIEEE(body)) != sum || json.Unmarshal(body, into) != nil {
		return 0, false
	}
	return min(from+n+1, len(b)), true // its end mark need not have got there
}
