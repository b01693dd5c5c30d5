package outcall

import (
	"bufio"
	"bytes"
	"net/textproto"
	"slices"
	"strconv"
	"strings"
	"time"

	"fernlink/core/flow"
	"fernlink/shell/field"
)

// answerHead is what an answer says before its body.
type answerHead struct {
	code       int
	fields     []flow.Field
	http10     bool
	size       int  // of the body in bytes, inChunks or untilClose
	closes     bool // the server closes the connection after it
	keepAlive  time.Duration
	compressed bool
	names      []string // the values of the header that names the answer
}

// Sizes of bodies whose length no header tells.
const (
	inChunks   = -1
	untilClose = -2 // it ends with its connection
)

// headReader reads one answer's head.
type headReader struct {
	head    answerHead
	name    string // the header that names an answer; "" for none
	length  int    // Content-Length, or below zero
	chunked bool
	hops    []string // headers that Connection names: they end here
}

// readHead reads status line and headers of an answer to a request with this verb. It
// fails for each answer whose end could not be known.
func readHead(reader *bufio.Reader, verb, name string) (answerHead, error) {
	read := headReader{name: name, length: -1, head: answerHead{keepAlive: keepFor, fields: make([]flow.Field, 0, 8)}}
	left := headMost
	line, err := readLine(reader, left)
	if err != nil {
		return read.head, err
	}
	left -= len(line)
	if err := read.status(line); err != nil {
		return read.head, err
	}
	for n := 0; ; n++ {
		if line, err = readLine(reader, left); err != nil {
			return read.head, err
		}
		if len(line) == 0 {
			break
		}
		if n == fieldsMost {
			return read.head, errGarbledHeader
		}
		left -= len(line)
		if err := read.header(line); err != nil {
			return read.head, err
		}
	}
	read.dropHops()
	err = read.frame(verb)
	return read.head, err
}

var errGarbledHeader = malformed("a garbled header")

// status reads the status line: "HTTP/1.", a 0 or 1, a space and three digits.
func (h *headReader) status(line []byte) error {
	const minor, codeAt, codeEnd = 7, 9, 12
	if len(line) < codeEnd || string(line[:minor]) != "HTTP/1." || line[codeAt-1] != ' ' {
		return malformed("no status line")
	}
	if line[minor] != '0' && line[minor] != '1' || len(line) > codeEnd && line[codeEnd] != ' ' {
		return malformed("no status line")
	}
	code, err := strconv.Atoi(string(line[codeAt:codeEnd]))
	if err != nil || code < 100 {
		return malformed("no status")
	}
	h.head.code = code
	h.head.http10 = line[minor] == '0'
	h.head.closes = h.head.http10
	return nil
}

// header reads one header line.
func (h *headReader) header(line []byte) error {
	key, value, ok := bytes.Cut(line, []byte(":"))
	if !ok || !token(key) {
		return errGarbledHeader
	}
	value = bytes.Trim(value, " \t")
	header := flow.Field{Name: textproto.CanonicalMIMEHeaderKey(string(key)), Value: string(value)}
	if !clean(header.Value, true) {
		return errGarbledHeader
	}
	if h.name != "" && strings.EqualFold(header.Name, h.name) {
		h.head.names = append(h.head.names, header.Value)
	}
	if err := h.meaning(header); err != nil {
		return err
	}
	if !field.Hop(header.Name) {
		h.head.fields = append(h.head.fields, header)
	}
	return nil
}

// meaning takes from a header what says how the body and the connection end.
func (h *headReader) meaning(header flow.Field) error {
	switch header.Name {
	case "Content-Length":
		size, err := strconv.ParseUint(header.Value, 10, 31)
		if err != nil || h.length >= 0 && h.length != int(size) {
			return malformed("a garbled length")
		}
		h.length = int(size)
	case "Transfer-Encoding":
		if h.chunked || h.head.http10 || !strings.EqualFold(header.Value, "chunked") {
			return malformed("an unknown coding")
		}
		h.chunked = true
	case "Connection":
		for _, option := range strings.Split(header.Value, ",") {
			if strings.EqualFold(strings.TrimSpace(option), "close") {
				h.head.closes = true
			}
		}
		h.hops = append(h.hops, field.Named(header.Value)...)
	case "Keep-Alive":
		h.head.keepAlive = min(h.head.keepAlive, keepAliveOf(header.Value))
	case "Content-Encoding":
		h.head.compressed = true
	}
	return nil
}

// dropHops takes the headers out that Connection names.
func (h *headReader) dropHops() {
	for _, hop := range h.hops {
		h.head.fields = slices.DeleteFunc(h.head.fields, func(header flow.Field) bool { return header.Name == hop })
	}
}

// frame finds out how long the body is.
func (h *headReader) frame(verb string) error {
	code := h.head.code
	switch {
	case h.chunked && h.length >= 0:
		return malformed("two lengths")
	case code < 200 || code == 204 || code == 304 || verb == "HEAD":
		h.head.closes = h.head.closes || h.chunked || h.length > 0
	case h.chunked:
		h.head.size = inChunks
	case h.length < 0 && !h.head.closes:
		return malformed("neither length nor end mark") // never known whole
	case h.length < 0:
		h.head.size = untilClose
	default:
		h.head.size = h.length
	}
	return nil
}

// keepAliveOf is how long a server keeps an idle connection by its Keep-Alive header,
// less a margin; zero when it takes no further request.
func keepAliveOf(value string) time.Duration {
	idle := keepFor
	for _, option := range strings.Split(value, ",") {
		key, text, _ := strings.Cut(strings.TrimSpace(option), "=")
		number, err := strconv.Atoi(strings.Trim(text, `" `))
		if err != nil {
			continue
		}
		if strings.EqualFold(key, "timeout") {
			idle = min(idle, time.Duration(min(number, 3600))*time.Second-keepMargin)
		}
		if strings.EqualFold(key, "max") && number <= 0 {
			idle = 0
		}
	}
	return max(idle, 0)
}
