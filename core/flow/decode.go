package flow

import (
	jsonv2 "github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/v1"
)

// inOnePass are the rules of json.Unmarshal, but that a text is not checked whole
// before any of it is read.
var inOnePass = jsonv2.JoinOptions(json.DefaultOptionsV1(), json.ReportErrorsWithLegacySemantics(false))

// Decode reads a large text as json.Unmarshal does, and refuses what that refuses, in
// one pass for two. What was read before a fault stands in into, so a caller uses it
// only where there is no error.
func Decode(text []byte, into any) error { return jsonv2.Unmarshal(text, into, inOnePass) }
