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

// headRoom is the most that the head of a frame takes: checksum, size and two spaces.
const headRoom = 8 + 1 + 20 + 1

// framed puts checksum and length before an encoded text.
func framed(text []byte) []byte {
	b := make([]byte, headRoom, headRoom+len(text)+1)
	return sealed(append(b, text...))
}

// sealed makes a frame of a text that has room for a head before it.
func sealed(b []byte) []byte {
	text := b[headRoom:]
	head := fmt.Sprintf("%08x %d ", crc32.ChecksumIEEE(text), len(text))
	start := headRoom - len(head)
	copy(b[start:], head)
	return append(b, '\n')[start:]
}

// frameOf gives the frame of a record, whose entries are copied as they stand. It has
// room behind it for the frame of a mark.
func frameOf(written record) []byte {
	if written.Mark != nil {
		return frame(written)
	}
	size := headRoom + saveOverhead
	for _, s := range written.Saves {
		size += flow.EncodedSize(s.Add) + saveOverhead
	}
	text := append(make([]byte, headRoom, size), `{"saves":[`...)
	for i, s := range written.Saves {
		if i > 0 {
			text = append(text, ',')
		}
		text = appendSave(text, s)
	}
	return sealed(append(text, `]}`...))
}

// saveOverhead is about what a save without entries takes, or a mark, in bytes.
const saveOverhead = 256

// appendSave adds a save to a text as its fields are encoded.
func appendSave(text []byte, save flow.Save) []byte {
	text = append(append(text, `{"Hard":`...), encoded(save.Hard)...)
	text = strconv.AppendUint(append(text, `,"Cut":`...), save.Cut, 10)
	text = append(text, `,"Add":`...)
	if save.Add == nil {
		text = append(text, `null`...)
	} else {
		text = flow.AppendEntries(text, save.Add)
	}
	return append(append(append(text, `,"Snapshot":`...), encoded(save.Snapshot)...), '}')
}

func encoded(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err) // only plain structs come here
	}
	return b
}

// unframe reads one frame and gives its size, or false where it is not whole or does not
// parse.
func unframe(raw []byte, into any) (int, bool) {
	body, size, ok := frameBody(raw)
	if !ok || json.Unmarshal(body, into) != nil {
		return 0, false
	}
	return size, true
}

// frameBody gives the text of a frame and the frame's size, or false where its checksum does
// not fit.
func frameBody(raw []byte) (body []byte, size int, ok bool) {
	at := bytes.IndexByte(raw, ' ')
	if at != 8 {
		return nil, 0, false
	}
	end := bytes.IndexByte(raw[9:min(len(raw), 30)], ' ')
	if end < 0 {
		return nil, 0, false
	}
	sum, err1 := strconv.ParseUint(string(raw[:8]), 16, 32)
	size, err2 := strconv.Atoi(string(raw[9 : 9+end]))
	from := 9 + end + 1
	if err1 != nil || err2 != nil || size < 0 || from+size > len(raw) {
		return nil, 0, false
	}
	body = raw[from : from+size]
	if uint64(crc32.ChecksumIEEE(body)) != sum {
		return nil, 0, false
	}
	return body, min(from+size+1, len(raw)), true // its end mark need not have got there
}
