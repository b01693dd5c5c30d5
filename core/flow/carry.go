package flow

import (
	"bytes"

	"github.com/pkg/errors"
)

// Bounds of a text that goes into the log or is told to a peer. Whoever reads it reads
// layers around it too: question, command, entry, message and line, and on the disk entry,
// save and frame. What a layer can't read is lost, so what is too large or too deep for the
// outermost of them is refused before the first.
const (
	// DepthMost is how deep it may be nested: the JSON reader takes 10,000 levels, and
	// the layers are some ten.
	DepthMost = 9_900
	// BytesMost is how long it may be; the longest line that a peer reads is a third longer.
	BytesMost = 24 << 20
)

// Why a text can't be carried.
var (
	ErrTooDeep  = errors.New("it is nested deeper than can be kept")
	ErrTooLarge = errors.New("it is larger than can be kept")
)

// CheckCarried gives ErrTooDeep or ErrTooLarge for a JSON text that can't be carried.
func CheckCarried(text []byte) error {
	if len(text) > BytesMost {
		return ErrTooLarge
	}
	if deeperThan(text, DepthMost) {
		return ErrTooDeep
	}
	return nil
}

// deeperThan says whether a JSON text is nested deeper than so many levels. Few texts have
// as many brackets, and only those are read.
func deeperThan(text []byte, levels int) bool {
	if bytes.Count(text, []byte("["))+bytes.Count(text, []byte("{")) <= levels {
		return false
	}
	depth := 0
	for at := 0; at < len(text); at++ {
		switch text[at] {
		case '"':
			at = endOfString(text, at)
		case '[', '{':
			if depth++; depth > levels {
				return true
			}
		case ']', '}':
			depth--
		}
	}
	return false
}

// endOfString gives the place of the quote that ends the string which begins at a place.
func endOfString(text []byte, at int) int {
	for at++; at < len(text) && text[at] != '"'; at++ {
		if text[at] == '\\' {
			at++
		}
	}
	return at
}
