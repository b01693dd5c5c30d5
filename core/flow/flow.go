// Package flow holds what goes into a core and what comes out of it
// (design 3.1). A core never touches a socket, a file or a clock: shells turn
// the outside into Events and carry Outboxes out. Times are elapsed time of the process
// and sizes bytes. Every package may import it; it imports none of the cores.
package flow

import (
	"net/http"
	"time"

	"github.com/go-json-experiment/json/v1"
)

// Time is a node's own elapsed time. Origins differ between nodes; only
// differences on one node mean anything.
type Time = time.Duration

// Line is one JSON line between peers.
type Line struct {
	Ver     int             `json:"v"`
	Cluster string          `json:"c,omitempty"`
	Kind    string          `json:"k"`
	From    string          `json:"f"`
	Addr    string          `json:"a"`
	To      string          `json:"-"`
	Body    json.RawMessage `json:"b"`
	// Shared is the value of a last field, by its name, of the object that Body is; nil for
	// none. Lines to many peers have the same large one, which is never copied.
	Shared     json.RawMessage `json:"-"`
	SharedName string          `json:"-"`
}

// Size is how many bytes the line's body has in all.
func (l Line) Size() int { return len(l.Body) + len(l.Shared) }

// Joined is the line with all of its body in one piece.
func (l Line) Joined() Line {
	if l.Shared != nil {
		l.Body, l.Shared = WithField(l.Body, l.SharedName, l.Shared), nil
	}
	return l
}

// AroundShared gives what comes before the shared value in the body, and what behind it.
func (l Line) AroundShared() (before, after []byte) {
	whole := WithField(l.Body, l.SharedName, nil)
	return whole[:len(whole)-1], whole[len(whole)-1:]
}

// Entries is the kind of lines that carry entries of the log. They keep their
// order among themselves, and others may overtake them (design 5.1).
const Entries = "log"

// Version is the line version this build speaks (design 5.1).
const Version = 3

// Field is one header of a request or of an answer, as it was written.
type Field struct {
	Name  string `json:"n"`
	Value string `json:"v"`
}

// Get gives the first field of a name in its canonical spelling, or "".
func Get(fields []Field, name string) string {
	for _, f := range fields {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}

// Call is a request that a caller, trainer or operator made of this node.
// Fields are its headers but for those that concern one connection only; Path
// has no query, which is whole in Query["?"].
type Call struct {
	ID     uint64
	Name   string
	Host   string
	Vars   map[string]string
	Query  map[string]string
	Head   map[string]string
	Fields []Field
	Verb   string
	Path   string
	Body   []byte
}

// Reply answers a Call. More keeps the answer open for further lines.
// Cut breaks the connection instead, so that what was sent so far does not look
// whole.
type Reply struct {
	ID     uint64
	Code   int
	Head   map[string]string
	Fields []Field
	Body   []byte
	More   bool
	Cut    bool
}

// Send is a request this node makes of an engine, a judge or the platform.
// No byte leaves after Until, and the whole call ends by Limit.
type Send struct {
	ID     uint64
	Verb   string
	URL    string
	Head   map[string]string
	Body   []byte
	Until  Time
	Limit  Time
	Stream bool
	Once   bool
	Keep   bool    // a kept connection may carry it; never a repeat of it
	Alone  bool    // its connection has carried nothing before: its answer bears no name and is acted on
	Host   string  // the Host header, where it is not the address's
	Fields []Field // headers as they are to be written, beside Head
	Name   string  // the header that an answer must carry back ...
	Match  string  // ... with this value; an answer with another is a surplus one
	Raw    bool    // a stream's events come whole, as they were written
}

// Back is news of a Send: the head of a streamed answer (Open), one streamed
// event, or its end. Failure and Err tell why it brought no whole answer; Err is for
// people to read.
type Back struct {
	ID     uint64
	Open   bool
	Fields []Field
	Event  []byte
	End    bool
	Code   int
	Head   map[string]string
	Body   []byte
	Err    string

	Failure Failure
	KeptFor Time // how long the connection that carried it is kept for another send, at most
}

// Failure is why a send brought no whole answer.
type Failure uint8

// The failures of a send. After any but Unsent it may have run.
const (
	None       Failure = iota // it did bring one
	Unsent                    // no byte can have left this process
	TimedOut                  // its time was over
	Reset                     // the connection ended before any byte of an answer
	Incomplete                // it ended within the answer
	Malformed                 // what came forms no answer
	Unnamed                   // an answer came that does not name its request
	Surplus                   // only answers to other requests came
)

var failureNames = [...]string{"none", "unsent", "timed out", "reset", "incomplete", "malformed", "unnamed", "surplus"}

// String names the failure in logs and tests.
func (f Failure) String() string { return failureNames[f] }

// Event is one thing that happened outside a core.
type Event struct {
	Line    *Line
	Call    *Call
	Gone    uint64 // a Call whose client went away
	Back    *Back
	Stray   string // why a connection from a peer was closed
	Saved   uint64 // the newest batch of saves that is on disk
	Blobs   *Fetched
	Stop    bool     // an operator wants this process to end (design 5.5)
	Closed  bool     // no call comes after those before this event
	Full    bool     // a batch is tried again: the disk has no room
	Unsaved bool     // the disk has failed: no batch will ever be saved
	Seeds   []string // the settings name these seeds from now on

	Unlogged int64 // log lines that were dropped since the last of these
}

// Level is how much a note matters; the usual is Info.
type Level int8

// The levels of notes. A note at Debug is only made where somebody wants it.
const (
	Debug Level = iota - 1
	Info
	Warn
	Error
)

// Note is a log line: a short sentence with its part's prefix.
type Note struct {
	Level Level
	Part  string
	Text  string
	Args  []any
}

// Limits bound what callers send at the front listener, in bytes and as times; 0 is
// the usual.
type Limits struct {
	HeaderBytes, BodyBytes int
	Header, Idle           Time
}

// Outbox gathers what a core wants done. Save goes to the disk's task in the
// order given; Batch comes back as Event.Saved once it is synced, and a node
// keeps what depends on it until then (design 4.2).
type Outbox struct {
	Save    []Save
	Batch   uint64
	Lines   []Line
	Replies []Reply
	Sends   []Send
	Cuts    []uint64
	Notes   []Note
	Files   []File
	Blobs   []BlobChange
	Fetch   []Fetch
	Limits  *Limits // those of a plan that came in force
	Halt    string
	Done    bool // all that a clean stop waits for is over: no more calls are to be taken
	Over    bool // and those that came before are answered
}

// Ref names one item on the blob store (design 4.9). An item never changes.
type Ref struct {
	Kind string `json:"k"`
	ID   uint64 `json:"i"`
}

// Item is bulk that lies on disk: a result, an answer, a page of keys, a plan
// or a step as it was sent.
type Item struct {
	Ref
	Body []byte `json:"b"`
}

// BlobChange is one change to the blob store: items to put there, items that are not
// needed any more, or the list of all that are. What was put is synced with the
// next snapshot, and until then stands in the log. What is let go, by Drop or by
// Only, is deleted once a snapshot at or after index At is on disk: one before it
// may still name it.
type BlobChange struct {
	Put  []Item
	Drop []Ref
	Only map[string][]uint64 // nil when this is no such change
	At   uint64
}

// Fetch reads items, or with Check only says which are missing. It reads from
// byte At of the first, and about Most bytes in all when that is above zero.
type Fetch struct {
	ID    uint64
	Refs  []Ref
	Check bool
	At    int
	Most  int
}

// Part is an item as it was read: Body may be a piece of Size bytes.
type Part struct {
	Ref
	At   int    `json:"at,omitempty"`
	Size int    `json:"n"`
	Body []byte `json:"b"`
}

// Fetched answers a Fetch.
type Fetched struct {
	ID      uint64
	Parts   []Part
	Missing []Ref
}

// Save is one change to the node's log folder.
type Save struct {
	Hard     *Hard
	Cut      uint64 // forget entries from this index on, when above zero
	Add      []Entry
	Snapshot *Snapshot
}

// File is a small whole file, replaced at once (the index checkpoint).
type File struct {
	Name string
	Body []byte
}

// Hard is what a Raft member may not forget.
type Hard struct {
	Cluster string `json:"cluster"`
	Term    uint64 `json:"term"`
	Vote    string `json:"vote"`
	Unsure  bool   `json:"unsure,omitempty"` // entries that it acknowledged may be gone
	// Where the log ended before its tail was damaged, if that is known: whoever has
	// an entry of this term and index has all that may be gone.
	LostTerm  uint64 `json:"lost_term,omitempty"`
	LostIndex uint64 `json:"lost_index,omitempty"`
	Commit    uint64 `json:"commit,omitempty"` // known to be committed when this was written
}

// Entry is one record of the replicated log.
type Entry struct {
	Index uint64          `json:"i"`
	Term  uint64          `json:"t"`
	Kind  string          `json:"k"`
	Data  json.RawMessage `json:"d,omitempty"`
}

// Snapshot stands for the log up to Index.
type Snapshot struct {
	Index uint64          `json:"i"`
	Term  uint64          `json:"t"`
	Conf  json.RawMessage `json:"c"`
	State json.RawMessage `json:"s"`
}

// Join adds what another outbox holds.
func (o *Outbox) Join(x Outbox) {
	o.Save = append(o.Save, x.Save...)
	o.Lines = append(o.Lines, x.Lines...)
	o.Replies = append(o.Replies, x.Replies...)
	o.Sends = append(o.Sends, x.Sends...)
	o.Cuts = append(o.Cuts, x.Cuts...)
	o.Notes = append(o.Notes, x.Notes...)
	o.Files = append(o.Files, x.Files...)
	o.Blobs = append(o.Blobs, x.Blobs...)
	o.Fetch = append(o.Fetch, x.Fetch...)
	if x.Limits != nil {
		o.Limits = x.Limits
	}
	if x.Halt != "" {
		o.Halt = x.Halt
	}
}

// Note adds a log line.
func (o *Outbox) Note(part, text string, args ...any) {
	o.Notes = append(o.Notes, Note{Info, part, text, args})
}

// Note adds a log line at a level of its own.
func (l Level) Note(o *Outbox, part, text string, args ...any) {
	o.Notes = append(o.Notes, Note{l, part, text, args})
}

// Line adds a line to a peer.
func (o *Outbox) Line(to, kind string, body any) {
	raw, err := json.Marshal(body)
	o.EncodedLine(to, kind, raw, err)
}

// EncodedLine adds a line to a peer whose body was encoded already,
// or failed to be.
func (o *Outbox) EncodedLine(to, kind string, body json.RawMessage, err error) {
	if err != nil {
		Error.Note(o, "flow", "dropped a line that does not marshal", "kind", kind, "failure", err.Error())
		return
	}
	o.Lines = append(o.Lines, Line{Ver: Version, Kind: kind, To: to, Body: body})
}

// SharedLine adds a line to a peer whose body ends with a value that lines to others have too.
func (o *Outbox) SharedLine(to, kind string, body json.RawMessage, name string, shared json.RawMessage) {
	o.Lines = append(o.Lines, Line{Ver: Version, Kind: kind, To: to, Body: body, Shared: shared, SharedName: name})
}

// LineToAll adds the same line to several peers, which is encoded once.
func (o *Outbox) LineToAll(to []string, kind string, body any) {
	if len(to) == 0 {
		return
	}
	first := len(o.Lines)
	o.Line(to[0], kind, body)
	if len(o.Lines) == first {
		return
	}
	for _, addr := range to[1:] {
		line := o.Lines[first]
		line.To = addr
		o.Lines = append(o.Lines, line)
	}
}

// Answer adds a JSON reply.
func (o *Outbox) Answer(id uint64, code int, body any, head map[string]string) {
	raw, err := json.Marshal(body)
	if err != nil {
		code, raw = http.StatusInternalServerError, []byte(`{"error":"answer does not marshal"}`)
	}
	if head == nil {
		head = map[string]string{}
	}
	head["Content-Type"] = "application/json"
	o.Replies = append(o.Replies, Reply{ID: id, Code: code, Head: head, Body: append(raw, '\n')})
}
