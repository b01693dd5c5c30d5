package flow

import (
	"bytes"

	jsonv2 "github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
	"github.com/go-json-experiment/json/v1"
)

// inOnePass are the rules of json.Unmarshal, but that a text is not checked whole
// before any of it is read.
var inOnePass = jsonv2.JoinOptions(json.DefaultOptionsV1(), json.ReportErrorsWithLegacySemantics(false))

// Decode reads a large text as json.Unmarshal does, and refuses what that refuses, in
// one pass for two. What was read before a fault stands in into, so a caller uses it
// only where there is no error.
func Decode(text []byte, into any) error { return jsonv2.Unmarshal(text, into, inOnePass) }

// NewDecoder reads a text value by value, by the rules of Decode. The text is not copied.
func NewDecoder(text []byte) *jsontext.Decoder {
	return jsontext.NewDecoder(bytes.NewBuffer(text), inOnePass)
}

// DecodeNext reads the next value of a text.
func DecodeNext(in *jsontext.Decoder, into any) error {
	return jsonv2.UnmarshalDecode(in, into, inOnePass)
}
