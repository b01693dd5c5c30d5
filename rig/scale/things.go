package scale

import (
	"fmt"
	"math/rand"
	"net"
	"runtime"
	"strings"
	"time"

	"github.com/go-json-experiment/json/v1"
	"github.com/go-kit/log"
	"golang.org/x/sys/unix"

	"fernlink/api"
	"fernlink/core/dialect"
	"fernlink/core/flow"
	"fernlink/core/gossip"
	"fernlink/core/ledger"
	"fernlink/core/serve/engines"
	"fernlink/core/serve/env"
	"fernlink/core/serve/lots"
	"fernlink/core/serve/prefixes"
	"fernlink/core/serve/route"
	"fernlink/platform"
	"fernlink/shell/link"
)

// Extra is a measurement without a fleet.
type Extra struct {
	Name    string
	Measure func() ([]Slope, error)
}

// Extras are what is measured apart: memory of single things, and the link.
var Extras = []Extra{{"things", things}, {"wire", wire}}

// thing makes n of a kind, so that their memory can be told.
type thing struct {
	role, what string
	values     []float64
	make       func(n int) any
}

var thingsOf = []thing{
	{"every node", "bytes in memory, a peer", []float64{100, 200, 400, 800}, func(n int) any {
		g := gossip.New(gossip.Config{Self: gossip.Entry{ID: "self", Addr: "self"}, Rand: rand.New(rand.NewSource(1))})
		for i := range n {
			b, _ := json.Marshal(gossip.Body{Entries: []gossip.Entry{{ID: fmt.Sprintf("node-%d-1", i), Name: fmt.Sprintf("node-%d", i), Inc: 1, Beat: 1, Addr: addrOf(i),
				Web: addrOf(i) + "1", Zone: zoneOf(i % 24), Roles: []string{"dispatcher"}, Cluster: "c-node-0-1"}}})
			var x gossip.Body // as it comes from a line, so that no text is shared
			_ = json.Unmarshal(b, &x)
			g.Take(0, addrOf(i), x)
		}
		return g
	}},
	{"dispatcher", "bytes in memory, an engine", []float64{1000, 2500, 5000, 10000}, func(n int) any {
		t := engines.New(&env.Env{Counts: map[string]int64{}})
		var list []dialect.Seat
		for i := range n {
			b, _ := json.Marshal(dialect.Seat{ID: fmt.Sprintf("i-%08x", i), Addr: addrOf(i), Pool: pool(i % 12), Zone: zoneOf(i % 24), Slots: 8, Models: map[string]int{model(i % 12): 1}})
			var s dialect.Seat
			_ = json.Unmarshal(b, &s)
			list = append(list, s)
		}
		t.Take(list)
		return []any{t, list} // the reader and each listener keep the list, too
	}},
	{"dispatcher", "bytes in memory, a route", []float64{200, 400, 800, 1600}, func(n int) any {
		var p api.Plan
		_ = json.Unmarshal(plan(1, 12, n), &p)
		p.Index()
		return []any{&p, route.New(1, &p)}
	}},
	{"lot owner", "bytes in memory, an item that is not listed", []float64{2048, 4096, 8192, 16384}, func(n int) any {
		t := lots.New(&env.Env{Counts: map[string]int64{}, Codec: platform.Codec("10.255.0.1:80")}, nil, func() *route.Table { return nil }, func() []gossip.Entry { return nil }, prefixes.New(&env.Env{}), nil)
		doc, err := platform.Codec("10.255.0.1:80").ReadLot("lot", lotBody("lot", n))
		if err != nil {
			panic(err)
		}
		t.Adopt(doc, 0)
		return t
	}},
	{"store", "bytes in memory, an item of a kept lot, listed", []float64{2048, 4096, 8192, 16384}, func(n int) any {
		l := ledger.New()
		doc, _ := platform.Codec("10.255.0.1:80").ReadLot("lot", lotBody("lot", n))
		apply := func(i uint64, change ledger.Body) {
			l.Apply(i, ledger.NewCommand(int64(i), change).Encode())
			l.Box() // its bulk lies on the blob store
		}
		apply(1, ledger.PackLot(doc))
		for i := range n {
			apply(uint64(i+2), ledger.ListLot{Lot: "lot", Results: []ledger.LotResult{{Item: doc.Items[i].ID, State: ledger.LotComplete}}})
		}
		return l
	}},
}

func things() ([]Slope, error) {
	var slopes []Slope
	for _, thing := range thingsOf {
		var pts []Point
		thing.make(10) // what is made once
		for _, x := range thing.values {
			before := heap()
			v := thing.make(int(x))
			pts = append(pts, Point{x, heap() - before})
			runtime.KeepAlive(v)
		}
		slopes = append(slopes, Slope{"things", thing.what, "thing", thing.role, thing.what, Line(pts)})
	}
	return slopes, nil
}

// processTime is the processor time of this whole process.
func processTime() time.Duration {
	var u unix.Rusage
	_ = unix.Getrusage(unix.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// wireTimes is how often each size of a line is measured.
const wireTimes = 5000

// wire measures what a line costs on loopback, writer and reader together, over
// real sockets with the link's own writing and reading.
func wire() ([]Slope, error) {
	var pack, both []Point
	for _, size := range []int{200, 2000, 8000, 32000, 128000} {
		line := flow.Line{
			Ver: flow.Version, Cluster: "c-node-0-1", Kind: "told", From: "node-0-1", Addr: "10.1.0.1:7000",
			Body: json.RawMessage(`{"x":"` + strings.Repeat("roster ", size/7) + `"}`),
		}
		packed, err := packCost(line)
		if err != nil {
			return nil, err
		}
		pack = append(pack, packed)
		cost, err := loopbackCost(line)
		if err != nil {
			return nil, err
		}
		both = append(both, Point{packed.X, cost})
	}
	return []Slope{
		{"wire", "byte of a line", "line", "link", "us to write and read a line in memory", Line(pack)},
		{"wire", "byte of a line", "line", "link", "us of both ends for a line over loopback, one at a time", Line(both)},
	}, nil
}

// packCost gives a line's size on the wire and the microseconds to write and read it in
// memory.
func packCost(line flow.Line) (Point, error) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	from := threadTime()
	var buffer []byte
	for range wireTimes {
		buffer, _ = link.Pack(buffer[:0], line)
		if _, err := link.Unpack(buffer[:len(buffer)-1]); err != nil {
			return Point{}, err
		}
	}
	return Point{float64(len(buffer)), float64(threadTime()-from) / 1e3 / wireTimes}, nil
}

// loopbackCost gives the microseconds of both ends for a line over loopback, one at a
// time.
func loopbackCost(line flow.Line) (float64, error) {
	receiverAddr, err := freeAddr()
	if err != nil {
		return 0, err
	}
	senderAddr, err := freeAddr()
	if err != nil {
		return 0, err
	}
	received := make(chan bool, wireTimes)
	receiver, err := link.Open(receiverAddr, log.NewNopLogger(), func(flow.Event) bool { received <- true; return true })
	if err != nil {
		return 0, err
	}
	defer receiver.Close()
	sender, err := link.Open(senderAddr, log.NewNopLogger(), func(flow.Event) bool { return true })
	if err != nil {
		return 0, err
	}
	defer sender.Close()
	line.To = receiverAddr
	sender.Send(line)
	<-received
	from := processTime()
	for range wireTimes {
		sender.Send(line)
		<-received
	}
	return float64(processTime()-from) / 1e3 / wireTimes, nil
}

// freeAddr gives a loopback address that nobody listens at.
func freeAddr() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}
