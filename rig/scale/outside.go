package scale

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/go-json-experiment/json/v1"

	"fernlink/api"
	"fernlink/core/flow"
)

// engine is a hollow engine: a row that answers.
type engine struct {
	id, addr string
	model    int
	zone     int
	held     int // the version of its weights
	next     int // that it is taking
	till     time.Duration
	state    string
	gone     bool
}

// outside is the platform's list and the engines on it.
type outside struct {
	w       *World
	engines []*engine
	byAddr  map[string]*engine
	pages   [][]byte // the list as it stands
	Read    int64    // bytes of it that were read
	Orders  int
	Events  int           // of each streamed answer
	Text    int           // bytes of each event's data
	Takes   time.Duration // how long an answer takes
	next    int
}

// pageRows is how many engines a page of the list has.
const pageRows = 500

func newOutside(w *World) *outside {
	o := &outside{w: w, byAddr: map[string]*engine{}, Events: 1, Text: 64, Takes: 20 * time.Millisecond}
	for range w.Size.Engines {
		o.add()
	}
	return o
}

func (o *outside) add() {
	i := o.next
	o.next++
	e := &engine{id: fmt.Sprintf("i-%08x", i*2654435761%(1<<32)), addr: fmt.Sprintf("10.%d.%d.%d:8080", 100+i/62500, i/250%250, 1+i%250),
		model: i % max(1, o.w.Size.Models), zone: i % o.w.Size.Zones, held: 1, state: "ready"}
	o.engines = append(o.engines, e)
	o.byAddr[e.addr] = e
	o.pages = nil
}

// replace drains an engine, takes it off the list and puts another there.
func (o *outside) replace(k int) {
	engine := o.engines[k%len(o.engines)]
	if engine.state != "ready" {
		return
	}
	engine.state, o.pages = "draining", nil
	o.w.After(time.Second, func() {
		engine.gone = true
		for i, x := range o.engines {
			if x == engine {
				o.engines = append(o.engines[:i:i], o.engines[i+1:]...)
				break
			}
		}
		o.add()
	})
}

// lose takes the engines of a zone away, and off the list two seconds later.
func (o *outside) lose(zone int) int {
	var left []*engine
	for _, e := range o.engines {
		if e.zone == zone {
			e.gone = true
			continue
		}
		left = append(left, e)
	}
	n := len(o.engines) - len(left)
	o.w.After(2*time.Second, func() { o.engines, o.pages = left, nil })
	return n
}

func model(i int) string { return fmt.Sprintf("model-%02d", i) }
func pool(i int) string  { return fmt.Sprintf("pool-%02d", i) }

func (o *outside) page(name string) []byte {
	if o.pages == nil {
		for at := 0; at == 0 || at < len(o.engines); at += pageRows {
			type weights struct {
				Label    string
				Revision int
				Loras    []string
			}
			type row struct {
				Backend, Address, Zone, Revision string
				Capacity                         int
				State                            string
				WarmupLeftMs                     int
				Phase                            string
				Models                           []weights
				InstanceId                       string
			}
			var doc struct {
				Instances []row
				NextToken *string
			}
			doc.Instances = []row{}
			for _, e := range o.engines[at:min(at+pageRows, len(o.engines))] {
				doc.Instances = append(doc.Instances, row{pool(e.model), e.addr, zoneOf(e.zone), "v1", 8, e.state, 0, "mixed",
					[]weights{{model(e.model), 1, []string{}}}, e.id})
			}
			if at+pageRows < len(o.engines) {
				next := strconv.Itoa(len(o.pages) + 1)
				doc.NextToken = &next
			}
			b, _ := json.Marshal(doc)
			o.pages = append(o.pages, b)
		}
	}
	n, _ := strconv.Atoi(name)
	return o.pages[min(n, len(o.pages)-1)]
}

// send answers a host's call.
func (o *outside) send(host *Host, send flow.Send) {
	url := strings.TrimPrefix(send.URL, "http://")
	if rest, ok := strings.CutPrefix(url, "10.255.0.1:80/engines"); ok {
		b := o.page(strings.TrimPrefix(rest, "?PageToken="))
		o.Read += int64(len(b))
		host.Spent.Reads += int64(len(b))
		host.offer(2, flow.Event{Back: &flow.Back{ID: send.ID, End: true, Code: 200, Body: b}})
		return
	}
	addr, path, _ := strings.Cut(url, "/")
	engine := o.byAddr[addr]
	if engine == nil || engine.gone {
		host.offer(1, flow.Event{Back: &flow.Back{ID: send.ID, End: true, Err: "connection refused", Failure: flow.Unsent}})
		return
	}
	way := inHost
	if engine.zone%o.w.Size.Regions != host.Region {
		way = far
	}
	switch path {
	case "order":
		o.order(host, engine, send, way)
	case "report":
		o.settle(engine)
		b := fmt.Sprintf(`{"Models":[{"Label":"%s","Revision":%d}],"Saturated":%v,"CallSeq":1,"Queued":0,"Active":0,"KvUsed":0,"KvTotal":100000}`,
			model(engine.model), engine.held, engine.next > engine.held)
		host.offer(2*way, flow.Event{Back: &flow.Back{ID: send.ID, End: true, Code: 200, Body: []byte(b)}})
	default:
		o.work(host, engine, send, way)
	}
}

// settle lets an engine's new weights be there once their time has come.
func (o *outside) settle(e *engine) {
	if e.next > e.held && o.w.Now >= e.till {
		e.held = e.next
	}
}

func (o *outside) order(h *Host, e *engine, s flow.Send, way int) {
	var doc struct{ Revision int }
	_ = json.Unmarshal(s.Body, &doc)
	o.Orders++
	if doc.Revision > e.next {
		e.next, e.till = doc.Revision, o.w.Now+time.Duration(way)*Round+o.w.Size.Swap
	}
	h.offer(2*way, flow.Event{Back: &flow.Back{ID: s.ID, End: true, Code: 200, Body: []byte("{}")}})
}

// allHold says whether every engine has a version.
func (o *outside) allHold(v int) bool {
	for _, e := range o.engines {
		if o.settle(e); e.held < v {
			return false
		}
	}
	return true
}

// work answers a request, as a stream where that is asked for.
func (o *outside) work(host *Host, e *engine, send flow.Send, way int) {
	o.settle(e)
	fields := []flow.Field{{Name: "Weight-Versions", Value: strconv.Itoa(e.held)}, {Name: "Engine-Load", Value: "1,0,8"}, {Name: "Instance-Id", Value: e.id}}
	first := 2*way + int(o.Takes/Round)
	if !send.Stream {
		host.offer(first, flow.Event{Back: &flow.Back{ID: send.ID, End: true, Code: 200, Fields: fields, Body: []byte(`{"ok":true}`)}})
		return
	}
	at := func(rounds int, b flow.Back) {
		b.ID = send.ID
		if rounds < ahead {
			host.offer(rounds, flow.Event{Back: &b})
			return
		}
		o.w.After(time.Duration(rounds)*Round, func() { host.offer(1, flow.Event{Back: &b}) })
	}
	at(first, flow.Back{Open: true, Code: 200, Fields: fields})
	for i := range o.Events {
		at(first+i, flow.Back{Event: []byte("id: " + strconv.Itoa(i) + "\ndata: " + strings.Repeat("x", o.Text))})
	}
	at(first+o.Events, flow.Back{End: true, Code: 200})
}

// Hosts and paths of the hollow plan's own routes.
const (
	lotHost  = "train.example"
	callHost = "call.example"
)

// plan makes a configuration: a pool a model, a route for lots, one for plain
// requests, and as many more, with the operator's document beside it as the
// platform's configurations have it.
func plan(version uint64, models, routes int) []byte {
	type sourceRoute struct {
		Label, Hostname, PathPrefix, RouteKind string
		LimitMs, TargetMs, Rank                int
		Backend                                string
		MaxTries                               int
	}
	made := api.Plan{}
	var src struct {
		Revision   uint64
		RouteTable []sourceRoute
		Backends   []map[string]any
	}
	src.Revision = version
	words := map[string]string{"again": "idempotent", "samples": "sampling"}
	add := func(name, host, path, kind, pool string) {
		made.Routes = append(made.Routes, api.Route{Name: name, Host: host, Path: path, Kind: kind, Pool: pool, Timeout: 5000, TargetMS: 1000, Tries: 3, WaitMS: 600000, DueMS: 420000})
		src.RouteTable = append(src.RouteTable, sourceRoute{name, host, path, words[kind], 5000, 1000, 1, pool, 3})
	}
	for i := range max(models, 1) {
		made.Pools = append(made.Pools, api.Pool{Name: pool(i), Kind: "model", Health: "/health", Conns: 160, Slots: 8, KvTokens: 100000, Models: []string{model(i)}})
		src.Backends = append(src.Backends, map[string]any{"Label": pool(i), "HealthPath": "/health", "MaxConns": 160,
			"Engine": map[string]any{"Capacity": 8, "KvCapacity": 100000, "Models": []map[string]string{{"Label": model(i)}}}})
	}
	add("lots", lotHost, "/lots/", "samples", pool(0))
	add("calls", callHost, "/", "again", pool(0))
	for i := 2; i < routes; i++ {
		add(fmt.Sprintf("route-%05d", i), fmt.Sprintf("host-%05d.example", i), "/v1/serve/", "again", pool(i%max(models, 1)))
	}
	made.Source, _ = json.Marshal(src)
	b, _ := json.Marshal(made)
	return b
}
