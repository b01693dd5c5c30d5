package sim

import (
	"fmt"
	"net/url"
	"strings"
	"time"

	"fernlink/config"
	"fernlink/core/dialect"
	"fernlink/core/flow"
	"fernlink/core/ledger"
	"fernlink/core/listener"
	"fernlink/core/node"
	"fernlink/platform"
)

// SiteBounds are the bounds that the users' platform holds a fleet to.
type SiteBounds struct {
	Apply, Revert, Drain, Contact, Ack, Recover, Settle, Cancel, Lease, Slack, Stretch time.Duration
}

// UsualSite are the bounds of both deployments.
var UsualSite = SiteBounds{Apply: 2 * time.Second, Revert: 250 * time.Millisecond, Drain: 3 * time.Second, Contact: 3 * time.Second, Ack: 4 * time.Second,
	Recover: 12 * time.Second, Settle: time.Second, Cancel: 3 * time.Second, Lease: 3 * time.Second, Slack: 200 * time.Millisecond, Stretch: 5 * time.Second}

// SiteShape is the size of a site.
type SiteShape struct {
	Zones                       []string
	Core, Edge, Reserve         int // machines with a disk, without one, and those that stand by
	Apps, Others, Models, Slots int // engines: two application pools, and one that makes texts
	Memory                      int // tokens that an engine can hold
	Load                        time.Duration
	Single                      bool // one version a text
	Fenced                      bool // engines check fences
	CoreCpu, EdgeCpu            int  // thousandths of a core
	Losses                      int  // machines with a disk that may be lost at once; 0 is one
	CoreLink, ReserveLink       int  // Mbit/s of machines with a disk, of those that stand by
	CoreDisk, ReserveDisk       int  // MB
}

// wide says that the machines that stand by carry the state better than the core's.
func (shape SiteShape) wide() bool {
	return shape.ReserveLink >= 2*shape.CoreLink && shape.ReserveDisk >= shape.CoreDisk
}

// voters is how many voters such a site wants.
func (shape SiteShape) voters() int { return 2*max(shape.Losses, 1) + 1 }

// Sites that stories use: a quick one, one of a deployment's size, and one whose
// storage machines have wide links.
var (
	LittleSite = SiteShape{Zones: []string{"a", "b", "c"}, Core: 3, Edge: 1, Reserve: 1, Apps: 2, Others: 2, Models: 4, Slots: 4, Memory: 20000, Load: 400 * time.Millisecond, Single: true, Fenced: true, CoreCpu: 720, EdgeCpu: 300, CoreLink: 1000, ReserveLink: 600, CoreDisk: 64, ReserveDisk: 320}
	FourZones  = SiteShape{Zones: []string{"a", "b", "c", "d"}, Core: 4, Edge: 4, Reserve: 2, Apps: 2, Others: 2, Models: 6, Slots: 6, Memory: 40000, Load: 250 * time.Millisecond, Single: true, Fenced: true, CoreCpu: 656, EdgeCpu: 400, CoreLink: 1000, ReserveLink: 600, CoreDisk: 64, ReserveDisk: 410}
	WideStores = SiteShape{Zones: []string{"a", "b", "c", "d"}, Core: 5, Edge: 3, Reserve: 9, Apps: 2, Others: 2, Models: 6, Slots: 6, Memory: 40000, Load: 250 * time.Millisecond, Single: true, Fenced: true, CoreCpu: 384, EdgeCpu: 192, Losses: 2, CoreLink: 100, ReserveLink: 600, CoreDisk: 64, ReserveDisk: 440}
)

// listAt is where the platform keeps its list.
const listAt = "10.9.0.1:80"

// Site is the users' platform in virtual time: what is outside of the fleet, and
// the truth of what reached it. Its checks look at nothing else.
type Site struct {
	w         *World
	Shape     SiteShape
	Bounds    SiteBounds
	codec     dialect.Codec
	listeners map[string]listener.Listener

	Engines []*SiteEngine
	at      map[string]*SiteEngine
	lives   int
	shown   []listing // as the list shows it
	next    []listing
	ListLag time.Duration
	Rough   bool // a few of all answers are in trouble
	Rate    int  // calls a second that the list takes
	listed  map[int64]int
	Calls   int // of the list
	Dark    bool
	hidden  []span // when nobody answered for the list

	ready    map[*Host]int // misses in a row
	cause    map[*Host]time.Duration
	planned  map[*Host]time.Duration // when it was told to stop
	hurt     map[*Host]time.Duration // when it last met unplanned trouble
	fails    map[string]int          // failures of items
	troubled map[*Host]bool          // it is in trouble that lasts
	coreBad  time.Duration
	ledAt    time.Duration // when a store last led, or need not have
	weak     bool          // the store would not survive the losses that are allowed now
	linkBad  time.Duration // when a link was last in trouble

	names          int
	runs           map[string][]*siteRun // by the request's id
	byRun          map[int]*siteRun
	seals          map[string]sealed
	tries          map[string]*siteTry
	order          []*siteTry
	items          map[string]*siteItem
	lots           []*siteLot
	senders        map[*siteLot]*Host // which machine sent the newest item of a lot
	Configs        []*siteConfig
	floors         map[string][]floor
	Count          map[string]int // what happened, by kind
	rewards        siteRewards
	off            bool           // traffic has ended
	named          map[string]int // the newest version of a model's weights that was named
	noted          []int          // versions that were acknowledged
	closed         time.Duration  // when all machines were back after a closing fault
	ordersOnTheWay int            // weight orders that were sent and have not arrived
	witness        *witness       // of the calls of operators and trainers
}

type listing struct {
	e     *SiteEngine
	state string
}

type floor struct {
	rev int
	at  time.Duration
}

func siteHost(i int) string { return fmt.Sprintf("10.0.%d.%d", i/200, i%200+1) }

// BuildSite makes a fleet as fernlink serve gives it, on a site of its own.
func BuildSite(seed int64, shape SiteShape) *Site {
	w := New(seed)
	w.Out, w.Voters = newOutside(w), shape.voters()
	s := &Site{w: w, Shape: shape, Bounds: UsualSite, codec: platform.Codec(listAt), at: map[string]*SiteEngine{}, ListLag: 700 * time.Millisecond, Rate: 40,
		listed: map[int64]int{}, ready: map[*Host]int{}, cause: map[*Host]time.Duration{}, planned: map[*Host]time.Duration{}, hurt: map[*Host]time.Duration{}, fails: map[string]int{}, troubled: map[*Host]bool{},
		runs: map[string][]*siteRun{}, byRun: map[int]*siteRun{}, seals: map[string]sealed{}, tries: map[string]*siteTry{}, items: map[string]*siteItem{}, senders: map[*siteLot]*Host{},
		floors: map[string][]floor{}, Count: map[string]int{}, named: map[string]int{siteModel: 1}}
	w.Out.Site = s
	s.rewards = newSiteRewards()
	s.witness = newWitness(s)
	s.listeners = map[string]listener.Listener{}
	for i, d := range platform.Listeners(config.Config{Front: "front", Ready: "ready", Control: "control"}) {
		s.listeners[[]string{"front", "ready", "control"}[i]] = d
	}
	zone := func(i int) string { return shape.Zones[i%len(shape.Zones)] }
	for _, p := range []struct {
		pool string
		n    int
	}{{"app", shape.Apps}, {"other", shape.Others}, {"llm", shape.Models - shape.Models/3}, {"llm2", shape.Models / 3}} {
		for i := 0; i < p.n; i++ {
			s.AddEngine(p.pool, zone(i), "")
		}
	}
	s.show()
	n := shape.Core + shape.Edge + shape.Reserve
	var seeds, form []string
	for i := 0; i < shape.Core && len(seeds) < 3; i++ {
		seeds = append(seeds, siteHost(i)+":7000")
	}
	form = append(form, seeds[:len(seeds)-1+len(seeds)%2]...)
	for i := 0; i < n; i++ {
		p := node.Config{Addr: siteHost(i) + ":7000", Web: siteHost(i) + ":7001", Zone: zone(i), Seeds: seeds, Keep: 256, Want: shape.voters(), Bounds: ledger.Usual, Codec: &s.codec, LotKeep: 2 * time.Minute, First: true}
		name, disk := fmt.Sprintf("edge-%d", i+1), false
		p.Cpu, p.LinkMbps = shape.EdgeCpu, shape.CoreLink
		switch {
		case i < shape.Core:
			name, disk, p.Cpu = fmt.Sprintf("core-%d", i+1), true, shape.CoreCpu
			p.DiskMB = shape.CoreDisk
			p.Roles = []string{"dispatcher", "store", "coordinator"}
			if i < len(form) {
				p.Form = form
			}
		case i < shape.Core+shape.Edge:
			p.Roles = []string{"dispatcher"}
		default:
			name, disk = fmt.Sprintf("storage-%d", i+1), true
			p.Roles = []string{"reserve", "worker", "store"}
			p.Cpu, p.LinkMbps, p.DiskMB = shape.CoreCpu, shape.ReserveLink, shape.ReserveDisk
		}
		p.Name = name
		w.AddHost(name, p, disk).Start()
	}
	for _, h := range w.Hosts {
		h.Config.First, h.Config.Form = false, nil // only the first start of all forms the core
	}
	w.Every(100*time.Millisecond, func() bool { s.watch(); return true })
	w.Every(time.Second, func() bool { s.poll(); return true })
	return s
}

// World gives the site's world.
func (s *Site) World() *World { return s.w }

// wrong notes a broken rule.
func (s *Site) wrong(rule, format string, a ...any) {
	s.Count["broken "+rule]++
	s.w.Wrong("%s: %s", rule, fmt.Sprintf(format, a...))
}

func (s *Site) name(kind string) string {
	s.names++
	return fmt.Sprintf("%s%05x%04x", kind, s.names, s.w.Rand.Intn(1<<16))
}

// Core gives the machines of the core that are not removed.
func (s *Site) Core() []*Host { return s.w.By("coordinator") }

// joined says whether bytes pass both ways.
func (s *Site) joined(a, b *Host) bool {
	return a == b || s.w.Net.Open(a.Name, b.Name) && s.w.Net.Open(b.Name, a.Name)
}

func (h *Host) works() bool { return h.Up && !h.Froze }

// most gives the core's machines that reach more than half of it.
func (s *Site) most() []*Host {
	var out []*Host
	core := s.Core()
	for _, a := range core {
		n := 0
		for _, b := range core {
			if a.works() && b.works() && s.joined(a, b) {
				n++
			}
		}
		if 2*n > len(core) {
			out = append(out, a)
		}
	}
	return out
}

// watch keeps who is in touch.
func (s *Site) watch() {
	most := s.most()
	s.witness.watch()
	if 2*len(most) <= len(s.Core()) {
		s.coreBad = s.w.Now
	}
	if len(s.w.Net.cut) > 0 || s.w.Net.Late+s.w.Net.Twice > 0 {
		s.linkBad = s.w.Now
	}
	for _, h := range s.w.Hosts {
		ok := h.works() && !s.troubled[h]
		for _, c := range most {
			ok = ok && s.joined(h, c)
		}
		if !ok {
			s.cause[h] = s.w.Now
		}
	}
	s.checkVoters()
	s.checkLeader()
}

// Touch says that a machine was met by trouble just now, and unsettles the core
// where it is part of it.
func (s *Site) Touch(h *Host) {
	s.hurt[h] = s.w.Now
	s.met(h)
}

// met takes a machine out of touch.
func (s *Site) met(h *Host) {
	s.cause[h] = s.w.Now
	if h.Has("store") || h.Has("reserve") {
		s.coreBad = s.w.Now
	}
}

// InTouch says whether a machine has been in touch from a moment until now.
func (s *Site) InTouch(h *Host, from time.Duration) bool {
	last := max(s.coreBad, s.cause[h])
	return from-last > s.Bounds.Contact
}

// poll asks each machine whether it wants callers.
func (s *Site) poll() {
	for _, h := range s.w.By("dispatcher") {
		got := false
		s.Listener(h, "ready", "GET", "/ready", "", nil, nil, func(r flow.Reply) {
			if r.Code == 200 {
				got, s.ready[h] = true, 0
			}
		})
		s.w.After(900*time.Millisecond, func() {
			if !got {
				s.ready[h]++
			}
		})
	}
}

// Enter picks a machine for a new connection of a client of a zone.
func (s *Site) Enter(zone string) *Host {
	var all, in, any []*Host
	for _, h := range s.w.By("dispatcher") {
		ok := s.ready[h] < 2
		if ok {
			any = append(any, h)
		}
		if h.Config.Zone == zone {
			all = append(all, h)
			if ok {
				in = append(in, h)
			}
		}
	}
	from := in
	if 2*len(in) < len(all) {
		from = all
	}
	if len(in) == 0 && len(any) > 0 {
		from = any
	}
	if len(from) == 0 {
		from = s.w.By("dispatcher")
	}
	return from[s.w.Rand.Intn(len(from))]
}

// unread marks the reply of a connection that nobody took.
const unread = "unread"

// Listener makes a call at one of a machine's listeners, and gives what ends it early.
// A reply without an id says that the connection broke.
func (s *Site) Listener(h *Host, which, verb, path, host string, fields []flow.Field, body []byte, f func(flow.Reply)) (gone func()) {
	d := s.listeners[which]
	at, query, _ := strings.Cut(path, "?")
	c := flow.Call{Name: d.Rest, Host: host, Verb: verb, Path: at, Fields: fields, Body: body, Vars: map[string]string{}, Query: map[string]string{"?": query}, Head: map[string]string{}}
	if q, err := url.ParseQuery(query); err == nil {
		for k, v := range q {
			c.Query[k] = v[0]
		}
	}
	back := func(r flow.Reply) flow.Reply { return r }
	for _, r := range d.Routes {
		pre, wild := strings.CutSuffix(r.Path, "{id}")
		if r.Verb != verb || !wild && r.Path != at || wild && !strings.HasPrefix(at, pre) {
			continue
		}
		c.Name = r.Name
		if wild {
			c.Vars["id"] = strings.TrimPrefix(at, pre)
		}
		if r.Into != nil {
			if p := r.Into(&c); p != nil {
				x := *p
				x.ID = 1
				s.w.After(2*time.Millisecond, func() { f(x) })
				return func() {}
			}
		}
		if r.Back != nil {
			back = r.Back
		}
	}
	if c.Name == "" {
		s.w.After(2*time.Millisecond, func() { f(flow.Reply{ID: 1, Code: 404}) })
		return func() {}
	}
	if which == "control" {
		f = s.witness.call(h, verb, at, body, f)
	}
	over, life, id := false, 0, uint64(0)
	s.w.Net.Flow("outside", h.Name, func() {
		if over {
			return
		}
		if !h.Up {
			s.w.Net.Flow(h.Name, "outside", func() {
				if !over {
					f(flow.Reply{Head: map[string]string{unread: ""}})
				}
			})
			return
		}
		if h.closed {
			s.w.Net.Flow(h.Name, "outside", func() {
				if !over {
					f(stopReply)
				}
			})
			return
		}
		h.callID++
		c.ID, life = h.callID, h.life
		id = c.ID
		h.calls[id] = func(r flow.Reply) {
			if over {
				return
			}
			if r.Code != 0 && !r.More {
				r = back(r)
			}
			f(r)
		}
		h.offer(life, flow.Event{Call: &c})
	})
	return func() {
		if over {
			return
		}
		over = true
		s.w.Net.Flow("outside", h.Name, func() {
			if h.Up && h.life == life && id != 0 {
				h.offer(life, flow.Event{Gone: id})
			}
		})
	}
}

func (s *Site) target(host string) target {
	if host == listAt {
		return target{"platform", true, func(h *Host, life int, x flow.Send, _ string) { s.list(h, life, x) }}
	}
	e := s.at[host]
	if e == nil {
		return target{}
	}
	return target{e.Addr, e.Up, e.serve}
}
