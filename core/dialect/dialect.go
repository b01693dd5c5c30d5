// Package dialect is the one place that knows how engines, the platform list
// and judges speak (design 10.3): completions with streamed events in the
// OpenAI style, as vLLM publishes it, with the weights named in each event. It keeps no
// state and decides nothing; core/disp, core/coord and core/serve read and write by it.
package dialect

import (
	"strconv"

	"github.com/go-json-experiment/json/v1"
	"github.com/pkg/errors"
)

// ErrBroken says that an engine's words can't be read.
var ErrBroken = errors.New("dialect: an engine's answer can't be read")

// Listed is one engine on the platform list.
type Listed struct {
	ID    string `json:"id"`
	URL   string `json:"url"`
	Kind  string `json:"kind"`
	Pool  string `json:"pool"`
	Zone  string `json:"area"` // as the platform list names it
	State string `json:"state"`
}

// List reads the platform list.
func List(body []byte) ([]Listed, error) {
	var doc struct {
		Engines []Listed `json:"engines"`
	}
	if err := json.Unmarshal(body, &doc); err != nil || doc.Engines == nil {
		return nil, errors.Wrap(ErrBroken, "platform list")
	}
	return doc.Engines, nil
}

// Load is an engine's own report.
type Load struct {
	Inc      string `json:"incarnation"`
	Running  int    `json:"running"`
	Waiting  int    `json:"waiting"`
	Slots    int    `json:"slots"`
	Blocks   int    `json:"kv_blocks"`
	Revision int    `json:"weights_revision"`
	State    string `json:"state"`
	Leaves   int64  `json:"leaves_in_ms,omitempty"` // it was told to go, and when
}

// ReadLoad reads a load report.
func ReadLoad(body []byte) (Load, error) {
	var l Load
	if err := json.Unmarshal(body, &l); err != nil || l.Inc == "" || l.Slots < 1 {
		return Load{}, errors.Wrap(ErrBroken, "load report")
	}
	return l, nil
}

// LoadURL, TextURL and WeightsURL are an engine's listeners.
func LoadURL(base string) string    { return base + "/load" }
func TextURL(base string) string    { return base + "/v1/completions" }
func WeightsURL(base string) string { return base + "/weights" }

type ask struct {
	Model  string          `json:"model"`
	Prompt string          `json:"prompt"`
	Most   int             `json:"max_tokens"`
	Seed   int             `json:"seed"`
	Stream bool            `json:"stream"`
	Opts   map[string]bool `json:"stream_options"`
	Salt   string          `json:"cache_salt"`
}

// Text asks for a generation. The cache salt names the weight revision and the
// engine's start, so that an engine which heeds it can't reuse KV made under
// others: what it made by mistake under a salt of an earlier start, which it
// may take for current, is never asked for again (design 8.6).
func Text(pool, prompt string, most, seed, revision int, inc string) []byte {
	b, _ := json.Marshal(ask{Model: pool, Prompt: prompt, Most: most, Seed: seed, Stream: true,
		Opts: map[string]bool{"include_usage": true}, Salt: "w" + strconv.Itoa(revision) + "/" + inc})
	return b
}

// Done is the end mark of a stream.
const Done = "[DONE]"

// Event is one streamed event.
type Event struct {
	Text     string
	Tokens   int
	Finish   string
	Revision int
	Usage    bool
	Prompt   int
	Cached   int
}

// ReadEvent reads one streamed event.
func ReadEvent(raw []byte) (Event, error) {
	var doc struct {
		Choices []struct {
			Text   string  `json:"text"`
			Tokens int     `json:"tokens"`
			Finish *string `json:"finish_reason"`
		} `json:"choices"`
		Usage *struct {
			Prompt int `json:"prompt_tokens"`
			Detail struct {
				Cached int `json:"cached_tokens"`
			} `json:"prompt_tokens_details"`
		} `json:"usage"`
		Revision *int `json:"weights_revision"`
	}
	if err := json.Unmarshal(raw, &doc); err != nil || doc.Revision == nil || len(doc.Choices) > 1 {
		return Event{}, errors.Wrap(ErrBroken, "event")
	}
	e := Event{Revision: *doc.Revision}
	for _, c := range doc.Choices {
		e.Text, e.Tokens = c.Text, max(c.Tokens, 1)
		if c.Finish != nil {
			e.Finish = *c.Finish
		}
	}
	if doc.Usage != nil {
		e.Usage, e.Prompt, e.Cached = true, doc.Usage.Prompt, doc.Usage.Detail.Cached
	}
	return e, nil
}

// Order tells an engine to change weights; Fence is the coordinator's term.
type Order struct {
	Revision int    `json:"weights_revision"`
	Fence    uint64 `json:"fence"`
	Inc      string `json:"incarnation"`
}

// JudgeAsk is what the judge is sent: always a whole text.
type JudgeAsk struct {
	Step   string `json:"step"`
	Group  string `json:"group"`
	Sample int    `json:"sample"`
	Text   string `json:"text"`
	Hash   string `json:"text_sha256"`
}

// JudgeBack is its verdict, which must name the text that it is of.
type JudgeBack struct {
	Hash  string          `json:"text_sha256"`
	Score json.RawMessage `json:"score"`
}
