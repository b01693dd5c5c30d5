package sim

import (
	"slices"
	"time"

	"github.com/go-json-experiment/json/v1"

	"fernlink/core/budget"
	"fernlink/core/flow"
)

// operatorPatience is the silence after which an operator turns to another
// node, as the platform's protocol has it.
const operatorPatience = time.Second

// patienceFor is an operator's patience with a call that has a body: longer for a large one.
func patienceFor(body []byte) time.Duration {
	const each = 4 * time.Second // for a megabyte
	return operatorPatience + time.Duration(len(body))*each/(1<<20)
}

// contactSlack is what a call and an answer may take on their ways, a turn of
// the process, and the time between two looks at who is in contact.
const contactSlack = 150 * time.Millisecond

// controlAnswer is one answer at the control listener of a machine.
type controlAnswer struct {
	host         *Host
	verb, path   string
	sent, came   time.Duration
	code         int
	revision     int // of the configuration that was read
	withoutProof bool
}

// witness sees each call at a control listener and each answer, also those that
// come after the caller gave up. It knows when a machine last had contact with a
// majority of the core, and what was acknowledged when.
type witness struct {
	s       *Site
	contact map[*Host]time.Duration // the last moment of contact with a majority
	broken  map[*Host]time.Duration // the last moment at which it did not run
	answers []controlAnswer
	voters  []*Host // as the leader had them last
	silent  int     // calls without an answer within the operator's patience
	keep    bool
}

func newWitness(s *Site) *witness {
	return &witness{s: s, contact: map[*Host]time.Duration{}, broken: map[*Host]time.Duration{}}
}

// watch notes who may be in contact with a majority: who has a path both ways to
// a machine of those that keep the state that has one to as many others as a majority
// takes. Where the core keeps it there are three voters, so two are what that takes
// at least; where storage machines do, the voters are those that the leader had last.
func (v *witness) watch() {
	if v.s.Shape.wide() {
		v.seeVoters()
	}
	for _, h := range v.s.w.Hosts {
		v.look(h)
	}
}

func (v *witness) look(h *Host) {
	if !h.works() {
		v.broken[h] = v.s.w.Now
		return
	}
	keepers, others := v.s.Core(), usualVoters/2
	if v.s.Shape.wide() {
		keepers, others = v.voters, len(v.voters)/2
	}
	if slices.ContainsFunc(keepers, func(c *Host) bool {
		return c.works() && v.s.joined(h, c) && v.reaches(c, keepers) >= others
	}) {
		v.contact[h] = v.s.w.Now
	}
}

// reaches counts the other machines to which one has a path both ways.
func (v *witness) reaches(c *Host, keepers []*Host) (count int) {
	for _, d := range keepers {
		if d != c && d.works() && v.s.joined(c, d) {
			count++
		}
	}
	return count
}

// seeVoters notes who votes, by the leader's membership.
func (v *witness) seeVoters() {
	var voters []*Host
	for _, m := range v.s.membership() {
		if h := v.s.w.hostOf(m.ID); m.Voter && h != nil {
			voters = append(voters, h)
		}
	}
	if 2*len(voters) > v.s.Shape.voters() {
		v.voters = voters
	}
}

// decided are the answers that say something of what the core holds.
var decided = []int{200, 404, 409, 412, 422}

// call wraps what takes the answer to a call.
func (v *witness) call(h *Host, verb, path string, body []byte, take func(flow.Reply)) func(flow.Reply) {
	sent, life, heard := v.s.w.Now, h.life, false
	patience := patienceFor(body)
	v.s.w.After(patience, func() {
		if !heard && h.life == life && h.works() && v.broken[h] < sent {
			v.silent++
			v.s.wrong("SILENT", "%s %s at %s, sent %v, has no answer after %v", verb, path, h.Name, sent, patience)
		}
	})
	return func(r flow.Reply) {
		heard = true
		if r.Code != 0 {
			v.judge(controlAnswer{host: h, verb: verb, path: path, sent: sent, came: v.s.w.Now, code: r.Code}, r.Body)
		}
		take(r)
	}
}

// judge holds an answer against the contact that its machine had, and against
// what was acknowledged before the call was sent.
func (v *witness) judge(a controlAnswer, body []byte) {
	v.look(a.host)
	a.withoutProof = a.came-v.contact[a.host] > budget.LeaseDuration+contactSlack
	if a.withoutProof && slices.Contains(decided, a.code) {
		v.s.wrong("CONTACT", "%s answered %s %s with %d, %v after its last contact with a majority", a.host.Name, a.verb, a.path, a.code, a.came-v.contact[a.host])
	}
	if a.verb == "GET" && a.path == "/config" && a.code == 200 {
		var doc struct{ Revision int }
		_ = json.Unmarshal(body, &doc)
		a.revision = doc.Revision
		if n := v.s.newestAt(max(a.sent, a.came-operatorPatience)); a.revision < n {
			v.s.wrong("CONFIG", "%s gave version %d to a call of %v, and %d was acknowledged before", a.host.Name, a.revision, a.sent, n)
		}
	}
	if v.keep {
		v.answers = append(v.answers, a)
	}
}

// newestAt is the newest version that was acknowledged by a moment.
func (s *Site) newestAt(at time.Duration) int {
	newest := 0
	for _, c := range s.Configs {
		if c.State == cfgTaken && c.Acked <= at {
			newest = max(newest, c.Rev)
		}
	}
	return newest
}

// storageName is the name of a storage machine, of one that is gone where none is left.
func (s *Site) storageName() string {
	if left := s.Storage(); len(left) > 0 {
		return left[0].Config.Name
	}
	for _, h := range s.w.Hosts {
		if h.Has("reserve") {
			return h.Config.Name
		}
	}
	return "storage-0"
}

// Hammer has an operator ask one machine for all that an operator may want,
// over and over, until a moment. Changes that it sends go on elsewhere until
// their answer is clear.
func (s *Site) Hammer(h *Host, until time.Duration) {
	ignore := func(flow.Reply) {}
	turn := 0
	s.w.Every(60*time.Millisecond, func() bool {
		turn++
		switch newest := s.Newest(); {
		case turn%16 == 0 && newest != nil:
			s.configureAt(h, newest.Rev, s.change(s.w.Rand), 2*s.Bounds.Ack, nil) // the first tries may be lost at a machine in trouble
		case turn%16 == 8:
			s.Listener(h, "control", "POST", "/version-put", "", nil, []byte(`{"Model":"nobody","Revision":2}`), ignore)
		case turn%4 == 1:
			s.Listener(h, "control", "POST", "/retire/"+s.storageName(), "", nil, []byte(`{"RampS":5}`), ignore)
		case turn%4 == 2:
			s.Listener(h, "control", "GET", "/retire/"+s.storageName(), "", nil, nil, ignore)
		case turn%4 == 3:
			body, _ := json.Marshal(map[string]any{"Model": siteModel, "Revision": s.named[siteModel]})
			s.Listener(h, "control", "POST", "/version-put", "", nil, body, ignore)
		default:
			s.Listener(h, "control", "GET", "/config", "", nil, nil, ignore)
		}
		return s.w.Now < until && !s.off
	})
}
