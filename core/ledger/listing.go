package ledger

import (
	"github.com/go-json-experiment/json/jsontext"
	"github.com/go-json-experiment/json/v1"
	"github.com/pkg/errors"

	"fernlink/core/flow"
)

// listing is the body of a lot.list as members read it.
type listing struct {
	lot     string
	results []LotResult // without their texts
	texts   []json.RawMessage
	whole   []encodedText
}

// encodedText is what the ledger checks of a result, beside the result as the text that
// lies on the blob store.
type encodedText struct {
	head LotResult // without its text
	text json.RawMessage
}

// errNoText says that a result's text is none.
var errNoText = errors.New("ledger: the text of a result is no string")

// unreadText is a text that is passed over. It must be one, or null.
type unreadText struct{}

// UnmarshalJSONFrom passes the text over.
func (*unreadText) UnmarshalJSONFrom(in *jsontext.Decoder) error {
	if kind := in.PeekKind(); kind != '"' && kind != 'n' {
		return errNoText
	}
	return in.SkipValue()
}

func decodeListing(body json.RawMessage) (listing, error) {
	var in struct {
		Lot     string            `json:"lot"`
		Results []json.RawMessage `json:"results"`
		Whole   []json.RawMessage `json:"whole"`
	}
	if err := flow.Decode(body, &in); err != nil {
		return listing{}, err
	}
	x := listing{lot: in.Lot, texts: in.Results, results: make([]LotResult, len(in.Results))}
	for i, text := range in.Results {
		head, err := decodeHead(text)
		if err != nil {
			return listing{}, err
		}
		x.results[i] = head
	}
	for _, text := range in.Whole {
		head, err := decodeHead(text)
		if err != nil {
			return listing{}, err
		}
		x.whole = append(x.whole, encodedText{head, text})
	}
	return x, nil
}

// decodeHead reads a result without its text.
func decodeHead(text json.RawMessage) (LotResult, error) {
	var head struct {
		LotResult
		Text unreadText `json:"t"`
	}
	err := flow.Decode(text, &head)
	return head.LotResult, err
}
