package standin

import (
	"github.com/go-json-experiment/json/v1"

	"fernlink/core/dialect"
	"fernlink/core/ledger"
)

// App is an application engine. It counts how often each booking ran.
type App struct {
	ID, Inc string
	Slots   int
	Open    int
	Ran     map[string]int
	State   string
}

// NewApp is an application engine that has just started.
func NewApp(id, inc string) *App {
	return &App{ID: id, Inc: inc, Slots: 32, Ran: map[string]int{}, State: "ready"}
}

// Load is its own report.
func (a *App) Load() dialect.Load {
	return dialect.Load{Inc: a.Inc, Running: a.Open, Slots: a.Slots, State: a.State, Blocks: 1}
}

// Serve runs one request; the body's id says which it is.
func (a *App) Serve(verb, path string, body []byte) []byte {
	var b struct {
		ID string `json:"id"`
	}
	_ = json.Unmarshal(body, &b)
	id := b.ID
	if id == "" {
		id = path
	}
	a.Ran[id]++
	out, _ := json.Marshal(map[string]any{"id": id, "engine": a.ID, "verb": verb, "path": path, "ran": a.Ran[id]})
	return out
}

// Judge scores whole texts.
type Judge struct {
	Mode  string // "", fail, other (names another text)
	Seen  map[string]string
	Given map[string]string // text hash, score
}

// NewJudge is a judge that works.
func NewJudge() *Judge { return &Judge{Seen: map[string]string{}, Given: map[string]string{}} }

// Score answers one request.
func (j *Judge) Score(body []byte) (int, []byte) {
	var asked dialect.JudgeAsk
	if json.Unmarshal(body, &asked) != nil {
		return 400, []byte(`{}`)
	}
	hash := ledger.Hash([]byte(asked.Text))
	j.Seen[hash] = asked.Text
	if j.Mode == "fail" {
		return 500, []byte(`{"error":"no verdict"}`)
	}
	if j.Mode == "other" {
		hash = ledger.Hash([]byte("another text"))
	}
	score := Score(asked.Text)
	j.Given[hash] = score
	out, _ := json.Marshal(dialect.JudgeBack{Hash: hash, Score: json.RawMessage(score)})
	return 200, out
}

// Score is the verdict that this judge truly gives on a text.
func Score(text string) string {
	b, _ := json.Marshal(float64(hashText(text)%1000) / 1000)
	return string(b)
}

// Platform is the platform's list of engines.
type Platform struct {
	Engines []dialect.Listed
}

// Body is the list as it is served.
func (p *Platform) Body() []byte {
	b, _ := json.Marshal(map[string]any{"engines": append([]dialect.Listed{}, p.Engines...)})
	return b
}
