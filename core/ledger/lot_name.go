package ledger

import (
	"bytes"

	"github.com/go-json-experiment/json/jsontext"
	"github.com/go-json-experiment/json/v1"
)

// LotName tells a repeat of a lot from any other: its id, and the hash of its items'
// ids and bodies.
type LotName struct{ ID, Hash string }

// NameOfLot reads the name of a packed lot from the body of its lot.put, and nothing of
// its requests. It gives false where that is not packed.
func NameOfLot(body json.RawMessage) (LotName, bool) {
	in := jsontext.NewDecoder(bytes.NewBuffer(body))
	if !enters(in) || !named(in, "packed") || !enters(in) {
		return LotName{}, false
	}
	var name LotName
	for name.ID == "" || name.Hash == "" {
		if !name.readField(in) {
			return LotName{}, false
		}
	}
	return name, true
}

// enters reads the begin of an object.
func enters(in *jsontext.Decoder) bool {
	token, err := in.ReadToken()
	return err == nil && token.Kind() == '{'
}

// named reads the name of a field.
func named(in *jsontext.Decoder, want string) bool {
	token, err := in.ReadToken()
	return err == nil && token.Kind() == '"' && token.String() == want
}

// readField reads one field of a packed lot, up to its requests.
func (n *LotName) readField(in *jsontext.Decoder) bool {
	field, err := in.ReadToken()
	if err != nil || field.Kind() != '"' || field.String() == "requests" {
		return false
	}
	name := field.String()
	value, err := in.ReadValue()
	if err != nil {
		return false
	}
	switch name {
	case "doc":
		var doc struct {
			ID string `json:"id"`
		}
		err = json.Unmarshal(value, &doc)
		n.ID = doc.ID
	case "hash":
		err = json.Unmarshal(value, &n.Hash)
	}
	return err == nil
}

// RepeatedLot answers the hand-in of a lot that was committed already and is kept. It
// changes nothing, and what it says holds whoever leads now.
func (l *Ledger) RepeatedLot(name LotName) (Result, bool) {
	t := l.Lots[name.ID]
	if t == nil || t.Hash != name.Hash {
		return Result{}, false
	}
	return good(LotPut{name.ID, len(t.IDs), false}), true
}
