package sim_test

import (
	"bytes"
	"encoding/base64"
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/go-json-experiment/json/v1"

	"fernlink/core/ask"
	"fernlink/core/dialect"
	"fernlink/core/flow"
	"fernlink/core/gossip"
	"fernlink/core/ledger"
	"fernlink/core/raft"
	"fernlink/core/store"
	"fernlink/platform"
	"fernlink/shell/disk"
	"fernlink/shell/link"
	"fernlink/sim"
)

// Sizes of a large deployment's largest lot, and of a listing of its results.
const (
	wayGroups     = 41
	wayGroup      = 16
	wayBody       = 1300 // bytes of one request
	wayResults    = 64   // in one listing
	wayResultText = 4 << 10
	wayLot        = "lot-1"
	wayOwner      = "owner/1"
)

// wayItem names an item of the lot.
func wayItem(i int) string { return fmt.Sprintf("fit-answer-000123-%03d-%02d", i/wayGroup, i%wayGroup) }

// wayDocument is a lot as a trainer hands it in.
func wayDocument() []byte {
	type item struct {
		InstanceId, GroupId, Path string
		Headers                   map[string]string
		Body                      string
		Tokens                    int
	}
	random := rand.New(rand.NewSource(1))
	document := struct {
		Model                          string
		TrainStep, MinVersion, Desired int
		Requests                       []item
	}{Model: "catalogus-lm", TrainStep: 12, MinVersion: 11, Desired: 29}
	for i := range wayGroups * wayGroup {
		body := make([]byte, wayBody)
		random.Read(body)
		document.Requests = append(document.Requests, item{wayItem(i), fmt.Sprintf("group-%03d", i/wayGroup), "/v1/generate",
			map[string]string{"Content-Type": "application/json", "Token-Counts": "1016,18", "Model": "catalogus-lm"},
			base64.StdEncoding.EncodeToString(body), 1034})
	}
	text, _ := json.Marshal(document)
	return text
}

// wayListing is what an owner lists at once.
func wayListing() ledger.ListLot {
	listing := ledger.ListLot{Lot: wayLot}
	text := string(bytes.Repeat([]byte(`data: {"token":"x"}`+"\n"), wayResultText/20))
	for i := range wayResults {
		listing.Results = append(listing.Results, ledger.LotResult{Item: wayItem(i), State: ledger.LotComplete, Text: text, Versions: []int{12}})
	}
	return listing
}

// wayStore is a cluster of one store, whose disk syncs at once.
type wayStore struct {
	store *store.Store
	now   flow.Time
	batch uint64
}

func newWayStore(b *testing.B, form bool) *wayStore {
	b.Helper()
	config := store.Config{ID: "s", Addr: "s:1", Keep: 1000, Bounds: ledger.Usual, Rand: rand.New(rand.NewSource(1))}
	if form {
		config.Form, config.First = []string{"s:1"}, true
	}
	s, err := store.New(time.Hour, config)
	if err != nil {
		b.Fatal(err)
	}
	w := &wayStore{store: s, now: time.Hour}
	for range 300 {
		w.advance()
	}
	return w
}

// advance takes one turn and gives the lines of it.
func (w *wayStore) advance() []flow.Line {
	w.now += 10 * time.Millisecond
	var out flow.Outbox
	self := gossip.Entry{ID: "s", Addr: "s:1", Roles: []string{"store"}, Blank: w.store.Blank(), Cluster: w.store.Known().Cluster}
	w.store.Advance(w.now, 1_700_000_000_000, nil, self, &out)
	if len(out.Save) > 0 {
		w.batch++
		w.store.Mark(w.batch)
		w.store.Synced(w.batch)
	}
	return out.Lines
}

// way is what one lot is at each layer.
type way struct {
	codec    dialect.Codec
	document []byte
	lot      ledger.LotDoc
	put      []byte // the line of its hand-in, as it is sent
	command  json.RawMessage
	list     []byte // the line of a listing
	listed   json.RawMessage
	page     []byte // the line of a page of results
}

func newWay(b *testing.B) *way {
	b.Helper()
	w := &way{codec: platform.Codec(""), document: wayDocument()}
	var err error
	if w.lot, err = w.codec.ReadLot(wayLot, w.document); err != nil {
		b.Fatal(err)
	}
	w.lot.Host, w.lot.Path, w.lot.Owner, w.lot.KeepMS = "host", "/lots", wayOwner, 60_000
	w.put = packed(b, asked("lot.put", ledger.PackLot(w.lot).Encode()))
	w.list = packed(b, asked("lot.list", wayListing()))
	w.command, w.listed = committed(b, "lot.put", ledger.PackLot(w.lot).Encode()), committed(b, "lot.list", wayListing())
	folded := w.fold(b)
	w.page = packed(b, w.answer(b, folded))
	return w
}

// fold gives a ledger that has the lot and a listing.
func (w *way) fold(b *testing.B) *ledger.Ledger {
	b.Helper()
	l := ledger.New()
	for i, command := range []json.RawMessage{w.command, w.listed} {
		if r := l.Apply(uint64(i+1), command); r.Code != 200 {
			b.Fatalf("%d %s", r.Code, r.Body)
		}
	}
	return l
}

// answer is the line that answers a reader.
func (w *way) answer(b *testing.B, l *ledger.Ledger) flow.Line {
	b.Helper()
	question, _ := json.Marshal(ledger.ReadLot{Lot: wayLot, Bytes: 256 << 10})
	r := l.Query("lot.read", question)
	if r.Code != 200 || len(r.Need) > 0 {
		b.Fatalf("%d %s", r.Code, r.Body)
	}
	body, err := ask.Told{ID: 1, Code: r.Code, Body: r.Body}.Encode()
	var out flow.Outbox
	out.EncodedLine("n:1", "told", body, err)
	return addressed(out.Lines[0])
}

// committed is a command as the log has it.
func committed(b *testing.B, kind ledger.Kind, body any) json.RawMessage {
	b.Helper()
	text, err := json.Marshal(body)
	if err != nil {
		b.Fatal(err)
	}
	data, _ := json.Marshal(ledger.Command{Kind: kind, At: 1_700_000_000_000, Body: text})
	return data
}

// asked is the line by which a node asks its store's leader.
func asked(kind ledger.Kind, body any) flow.Line {
	asker := ask.New(0)
	asker.Put(0, time.Hour, kind, body, func(flow.Time, ask.Answer) {})
	var out flow.Outbox
	asker.Advance(0, []string{"s:1"}, &out)
	return addressed(out.Lines[0])
}

func addressed(x flow.Line) flow.Line {
	x.Cluster, x.From, x.Addr = "cluster", "node", "n:1"
	return x
}

func packed(b *testing.B, x flow.Line) []byte {
	b.Helper()
	line, err := link.Pack(nil, x)
	if err != nil {
		b.Fatal(err)
	}
	return line[:len(line)-1]
}

func unpacked(b *testing.B, line []byte) flow.Line {
	b.Helper()
	x, err := link.Unpack(line)
	if err != nil {
		b.Fatal(err)
	}
	return x
}

// appended is the message that carries a command to a member.
func appended(command json.RawMessage) raft.Message {
	return raft.Message{Kind: raft.MessageAppend, From: "lead", ToID: "s", Term: 1, Index: 100, LogTerm: 1,
		Entries: []flow.Entry{{Index: 101, Term: 1, Kind: "cmd", Data: command}}}
}

// layer runs f for a number of bytes.
func layer(b *testing.B, name string, size int, f func(b *testing.B)) {
	b.Run(name, func(b *testing.B) {
		b.SetBytes(int64(size))
		b.ReportAllocs()
		f(b)
	})
}

// carry measures the layers through which a command goes: the peer's line, the
// leader's command, the line of a member, what it says, and both disks.
func (w *way) carry(b *testing.B, line []byte, command json.RawMessage) {
	layer(b, "leader/line", len(line), func(b *testing.B) {
		for b.Loop() {
			unpacked(b, line)
		}
	})
	layer(b, "leader/ask", len(line), func(b *testing.B) {
		x := unpacked(b, line)
		leader := newWayStore(b, true)
		for n := 0; b.Loop(); n++ {
			var out flow.Outbox
			x.Addr = fmt.Sprint("n:", n) // else it is a second try
			leader.store.Ask(leader.now, x, &out)
			b.StopTimer()
			if n%8 == 7 {
				leader = newWayStore(b, true)
			}
			b.StartTimer()
		}
	})
	layer(b, "leader/encode", len(command), func(b *testing.B) {
		for b.Loop() {
			if _, err := appended(command).Encode(); err != nil {
				b.Fatal(err)
			}
		}
	})
	layer(b, "disk/log", len(command), func(b *testing.B) {
		log, _, err := disk.Open(sim.NewDisk(rand.New(rand.NewSource(1))))
		if err != nil {
			b.Fatal(err)
		}
		for n := uint64(1); b.Loop(); n++ {
			save := flow.Save{Add: []flow.Entry{{Index: n, Term: 1, Kind: "cmd", Data: command}}}
			if err := log.Save(nil, []flow.Save{save}); err != nil {
				b.Fatal(err)
			}
		}
	})
	body, _ := appended(command).Encode()
	message := packed(b, addressed(flow.Line{Ver: flow.Version, Kind: flow.Entries, Body: body}))
	layer(b, "member/line", len(message), func(b *testing.B) {
		for b.Loop() {
			unpacked(b, message)
		}
	})
	layer(b, "member/message", len(message), func(b *testing.B) {
		member := newWayStore(b, false)
		x := unpacked(b, message)
		for b.Loop() {
			member.store.Raft(member.now, x) // it lacks what comes before, and refuses it
			b.StopTimer()
			member.advance()
			b.StartTimer()
		}
	})
}

// BenchmarkHandIn is the whole way of a lot, from its trainer to its owner.
func BenchmarkHandIn(b *testing.B) {
	w := newWay(b)
	layer(b, "edge/document", len(w.document), func(b *testing.B) {
		for b.Loop() {
			if _, err := w.codec.ReadLot(wayLot, w.document); err != nil {
				b.Fatal(err)
			}
		}
	})
	layer(b, "edge/ask", len(w.put), func(b *testing.B) {
		for b.Loop() {
			asked("lot.put", ledger.PackLot(w.lot).Encode())
		}
	})
	layer(b, "edge/line", len(w.put), func(b *testing.B) {
		x := asked("lot.put", ledger.PackLot(w.lot).Encode())
		for b.Loop() {
			packed(b, x)
		}
	})
	w.carry(b, w.put, w.command)
	layer(b, "member/apply", len(w.command), func(b *testing.B) {
		for b.Loop() {
			if r := ledger.New().Apply(1, w.command); r.Code != 200 {
				b.Fatal(r.Code)
			}
		}
	})
	folded := ledger.New()
	folded.Apply(1, w.command)
	change, _ := folded.Box()
	layer(b, "member/blobs", len(w.command), func(b *testing.B) {
		for b.Loop() {
			b.StopTimer()
			log, _, err := disk.Open(sim.NewDisk(rand.New(rand.NewSource(1))))
			if err != nil {
				b.Fatal(err)
			}
			b.StartTimer()
			if err := log.Save([]flow.BlobChange{change}, nil); err != nil {
				b.Fatal(err)
			}
		}
	})
	w.owner(b, folded, change)
}

// owner measures what an owner and those who tell it of its lot do.
func (w *way) owner(b *testing.B, folded *ledger.Ledger, change flow.BlobChange) {
	handedOver := ledger.PackLot(w.lot)
	hand := func() flow.Line {
		var out flow.Outbox
		out.EncodedLine("o:1", "lot.hand", handedOver.EncodeWhole(7), nil)
		return addressed(out.Lines[0])
	}
	layer(b, "edge/hand", len(w.document), func(b *testing.B) {
		for b.Loop() {
			packed(b, hand())
		}
	})
	handed := packed(b, hand())
	layer(b, "owner/handed", len(handed), func(b *testing.B) {
		for b.Loop() {
			var lot ledger.LotDoc
			if err := flow.Decode(unpacked(b, handed).Body, &lot); err != nil {
				b.Fatal(err)
			}
		}
	})
	items := map[flow.Ref][]byte{}
	for _, x := range change.Put {
		items[x.Ref] = x.Body
	}
	fetch := func() json.RawMessage {
		r := folded.Query("lot.items", json.RawMessage(`"`+wayLot+`"`))
		var parts [][]byte
		for _, ref := range r.Need {
			parts = append(parts, items[ref])
		}
		return r.With(parts).Body
	}
	layer(b, "leader/items", len(w.document), func(b *testing.B) {
		for b.Loop() {
			fetch()
		}
	})
	body := fetch()
	layer(b, "owner/items", len(body), func(b *testing.B) {
		for b.Loop() {
			var x ledger.LotItems
			if err := flow.Decode(body, &x); err != nil || len(x.Doc.Items) != wayGroups*wayGroup {
				b.Fatal(err, len(x.Doc.Items))
			}
		}
	})
}

// BenchmarkListing is the way of results from their owner to the members.
func BenchmarkListing(b *testing.B) {
	w := newWay(b)
	listing := wayListing()
	layer(b, "owner/ask", len(w.list), func(b *testing.B) {
		for b.Loop() {
			packed(b, asked("lot.list", listing))
		}
	})
	w.carry(b, w.list, w.listed)
	layer(b, "member/apply", len(w.listed), func(b *testing.B) {
		for b.Loop() {
			b.StopTimer()
			l := ledger.New()
			l.Apply(1, w.command)
			b.StartTimer()
			if r := l.Apply(2, w.listed); r.Code != 200 {
				b.Fatal(r.Code)
			}
		}
	})
}

// BenchmarkPage is the way of results from the leader to their reader.
func BenchmarkPage(b *testing.B) {
	w := newWay(b)
	folded := w.fold(b)
	layer(b, "leader/read", len(w.page), func(b *testing.B) {
		for b.Loop() {
			packed(b, w.answer(b, folded))
		}
	})
	layer(b, "edge/line", len(w.page), func(b *testing.B) {
		for b.Loop() {
			unpacked(b, w.page)
		}
	})
	x := unpacked(b, w.page)
	var told ask.Told
	layer(b, "edge/answer", len(w.page), func(b *testing.B) {
		for b.Loop() {
			if err := flow.Decode(x.Body, &told); err != nil {
				b.Fatal(err)
			}
		}
	})
	layer(b, "edge/page", len(w.page), func(b *testing.B) {
		for b.Loop() {
			var read ledger.EncodedRead
			if err := flow.Decode(told.Body, &read); err != nil || len(read.Results) == 0 {
				b.Fatal(err)
			}
			w.codec.WritePage(dialect.LotPage{Total: read.Total, Next: read.Next, Results: read.Results})
		}
	})
}
