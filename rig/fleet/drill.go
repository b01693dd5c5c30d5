package fleet

import (
	"fmt"
	"math/rand"
	"net/http"
	"os"
	"slices"
	"syscall"
	"time"

	"github.com/go-json-experiment/json/v1"
	"github.com/pkg/errors"

	"fernlink/core/ledger"
	"fernlink/rig/standin"
)

// Drill is one fault on real processes and how long service took to be back.
type Drill struct {
	Fault string  `json:"fault"`
	Heal  float64 `json:"seconds_to_heal"`
	Wrong string  `json:"wrong,omitempty"`
}

type drill struct {
	name string
	do   func(*Fleet) (undo func() error, err error)
}

func (f *Fleet) status(process *Proc) (status struct {
	ID    string `json:"id"`
	Store struct {
		Role string `json:"role"`
	} `json:"store"`
	Coordinator struct {
		Acting bool `json:"acting"`
	} `json:"coordinator"`
}) {
	if _, b, err := Do("GET", "http://"+process.Web+"/status", nil, nil); err == nil {
		_ = json.Unmarshal(b, &status)
	}
	return status
}

// find gives the process that a status picks, with patience.
func (f *Fleet) find(role string, ok func(*Proc) bool) (*Proc, error) {
	var got *Proc
	err := Retry(patience, func() error {
		for _, p := range f.By(role) {
			if ok(p) {
				got = p
				return nil
			}
		}
		return errors.New("fleet: nobody is " + role + " just now")
	})
	return got, err
}

func (f *Fleet) leader() (*Proc, error) {
	return f.find("store", func(p *Proc) bool { return f.status(p).Store.Role == "leader" })
}

func (f *Fleet) acting() (*Proc, error) {
	return f.find("coordinator", func(p *Proc) bool { return f.status(p).Coordinator.Acting })
}

func kill(f *Fleet, p *Proc, err error) (func() error, error) {
	if err != nil {
		return nil, err
	}
	f.Kill(p)
	return func() error { return f.Launch(p) }, nil
}

func freeze(f *Fleet, p *Proc, err error) (func() error, error) {
	if err != nil {
		return nil, err
	}
	return func() error { return f.Signal(p, syscall.SIGCONT) }, f.Signal(p, syscall.SIGSTOP)
}

// cut undoes itself by joining all ways again.
func cut(f *Fleet, err error, do func()) (func() error, error) {
	if err != nil {
		return nil, err
	}
	do()
	return func() error { f.Relays.Join(); return nil }, nil
}

// cut stops lines from one group of nodes to another, one way.
func (f *Fleet) cut(from, to []*Proc) { f.Relays.Cut(addresses(from), addresses(to)) }

func addresses(procs []*Proc) []string {
	out := make([]string, len(procs))
	for i, p := range procs {
		out[i] = p.Addr
	}
	return out
}

func (f *Fleet) but(not ...*Proc) []*Proc {
	var out []*Proc
	for _, p := range f.Nodes {
		if !slices.Contains(not, p) && !p.Gone {
			out = append(out, p)
		}
	}
	return out
}

// follower gives a store that does not lead.
func (f *Fleet) follower() (*Proc, error) {
	return f.find("store", func(p *Proc) bool { return f.status(p).Store.Role == "follower" })
}

func relaunch(f *Fleet, ps []*Proc) func() error {
	return func() error {
		for _, p := range ps {
			if err := f.Launch(p); err != nil {
				return err
			}
		}
		return nil
	}
}

// sound says whether three voters stand, every one of them a machine that is
// still there, and none of them is going.
func (f *Fleet) sound() error {
	return Retry(patience, func() error {
		_, body, err := Do("GET", f.disp(0)+"/v1/stores", nil, nil)
		if err != nil {
			return err
		}
		var listed struct {
			Stores []struct {
				Addr    string `json:"addr"`
				Voter   bool   `json:"voter"`
				Leaving bool   `json:"leaving"`
			} `json:"stores"`
		}
		_ = json.Unmarshal(body, &listed)
		voters := 0
		for _, member := range listed.Stores {
			gone := true
			for _, p := range f.By("store") {
				gone = gone && p.Addr != member.Addr
			}
			if member.Voter && (gone || member.Leaving) {
				return errors.Errorf("fleet: %s still votes", member.Addr)
			}
			if member.Voter {
				voters++
			}
		}
		if voters != 3 {
			return errors.Errorf("fleet: %d voters: %s", voters, body)
		}
		return nil
	})
}

var drills = []drill{
	{"kill the store's leader", func(f *Fleet) (func() error, error) { p, err := f.leader(); return kill(f, p, err) }},
	{"kill the acting coordinator", func(f *Fleet) (func() error, error) { p, err := f.acting(); return kill(f, p, err) }},
	{"freeze the store's leader", func(f *Fleet) (func() error, error) { p, err := f.leader(); return freeze(f, p, err) }},
	{"freeze the acting coordinator", func(f *Fleet) (func() error, error) { p, err := f.acting(); return freeze(f, p, err) }},
	{"kill a dispatcher", func(f *Fleet) (func() error, error) { return kill(f, f.By("dispatcher")[2], nil) }},
	{"kill two model engines", func(f *Fleet) (func() error, error) {
		ps := f.By("model")[:2]
		for _, p := range ps {
			f.Kill(p)
		}
		return relaunch(f, ps), nil
	}},
	{"kill every store, start them again", func(f *Fleet) (func() error, error) {
		for _, p := range f.By("store") {
			f.Kill(p)
		}
		return func() error { return nil }, relaunch(f, f.By("store"))()
	}},
	{"stop the store's leader cleanly", func(f *Fleet) (func() error, error) {
		p, err := f.leader()
		if err != nil {
			return nil, err
		}
		return f.stop(p)
	}},
	{"stop a dispatcher cleanly", func(f *Fleet) (func() error, error) { return f.stop(f.By("dispatcher")[3]) }},
	{"lose a whole zone", func(f *Fleet) (func() error, error) {
		var ps []*Proc
		for _, p := range f.Procs {
			if p.Zone == f.Shape.Zones[0] && !p.Gone {
				f.Kill(p)
				ps = append(ps, p)
			}
		}
		return relaunch(f, ps), nil
	}},
	{"cut the store's leader off, both ways", func(f *Fleet) (func() error, error) {
		p, err := f.leader()
		return cut(f, err, func() { f.cut([]*Proc{p}, f.but(p)); f.cut(f.but(p), []*Proc{p}) })
	}},
	{"cut the store's leader off, one way out", func(f *Fleet) (func() error, error) {
		p, err := f.leader()
		return cut(f, err, func() { f.cut([]*Proc{p}, f.but(p)) })
	}},
	{"cut the store's leader off, one way in", func(f *Fleet) (func() error, error) {
		p, err := f.leader()
		return cut(f, err, func() { f.cut(f.but(p), []*Proc{p}) })
	}},
	{"split the core: the leader and every third node", func(f *Fleet) (func() error, error) {
		p, err := f.leader()
		few := []*Proc{p}
		for i, d := range f.By("dispatcher") {
			if i%3 == 1 {
				few = append(few, d)
			}
		}
		return cut(f, err, func() { f.cut(few, f.but(few...)); f.cut(f.but(few...), few) })
	}},
	{"two at once: kill the leader, freeze a dispatcher", func(f *Fleet) (func() error, error) {
		p, err := f.leader()
		if err != nil {
			return nil, err
		}
		f.Kill(p)
		d := f.By("dispatcher")[4]
		return func() error {
			if err := f.Signal(d, syscall.SIGCONT); err != nil {
				return err
			}
			return f.Launch(p)
		}, f.Signal(d, syscall.SIGSTOP)
	}},
	{"two at once: kill the acting coordinator and two engines", func(f *Fleet) (func() error, error) {
		p, err := f.acting()
		if err != nil {
			return nil, err
		}
		ps := append([]*Proc{p}, f.By("model")[1:3]...)
		for _, x := range ps {
			f.Kill(x)
		}
		return relaunch(f, ps), nil
	}},
	{"wipe a store, replace it at a new address", func(f *Fleet) (func() error, error) {
		p, err := f.follower()
		if err != nil {
			return nil, err
		}
		f.Kill(p)
		p.Gone = true
		if err := os.RemoveAll(p.Data); err != nil {
			return nil, err
		}
		_, err = f.Fresh(p.Zone)
		return f.sound, err
	}},
	{"empty a store machine", func(f *Fleet) (func() error, error) {
		p, err := f.follower()
		if err != nil {
			return nil, err
		}
		if _, err := f.Fresh(p.Zone); err != nil {
			return nil, err
		}
		err = Retry(patience, func() error {
			code, b, err := Do("DELETE", f.disp(0)+"/v1/stores/"+f.status(p).ID, nil, nil)
			if err == nil && code != 200 {
				err = errors.Errorf("fleet: emptying answered %d %s", code, b)
			}
			return err
		})
		return func() error {
			if err := f.sound(); err != nil {
				return err
			}
			f.Kill(p)
			p.Gone = true
			return nil
		}, err
	}},
}

// stop ends a process cleanly, waits for that, and starts it again at the end.
func (f *Fleet) stop(p *Proc) (func() error, error) {
	if err := f.Signal(p, syscall.SIGTERM); err != nil {
		return nil, err
	}
	go func() { _, _ = p.Cmd.Process.Wait() }()
	return func() error {
		time.Sleep(7 * time.Second)
		return f.Launch(p)
	}, nil
}

// Drills causes each fault in turn and measures.
func (f *Fleet) Drills(seed int64) ([]Drill, error) {
	if _, _, err := f.PutPlan(0, f.Shape.Plan); err != nil {
		return nil, err
	}
	random := rand.New(rand.NewSource(seed))
	rev := 1
	if _, err := f.proof(random, rev); err != nil {
		return nil, err
	}
	var done []Drill
	for _, drill := range drills {
		undo, err := drill.do(f)
		if err != nil {
			return done, errors.Wrap(err, drill.name)
		}
		began := time.Now()
		rev++
		wrong, err := f.proof(random, rev)
		d := Drill{Fault: drill.name, Heal: time.Since(began).Seconds(), Wrong: wrong}
		if err != nil {
			return append(done, d), errors.Wrap(err, drill.name)
		}
		done = append(done, d)
		if err := undo(); err != nil {
			return done, err
		}
		if err := f.Ready(2 * time.Minute); err != nil {
			return done, err
		}
	}
	return done, nil
}

// serves asks one dispatcher, in a hurry.
func (f *Fleet) serves(i int) bool {
	var status struct {
		Dispatcher struct {
			Serving bool `json:"serving"`
		} `json:"dispatcher"`
	}
	res, err := hurried.Get(f.disp(i) + "/status")
	if err != nil {
		return false
	}
	defer res.Body.Close()
	return json.NewDecoder(res.Body).Decode(&status) == nil && status.Dispatcher.Serving
}

var hurried = &http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}

// proof shows that service is whole: a booking or lookup goes through, a plan
// is put, and a small step under new weights gets all of its results. It gives what is
// wrong with them.
func (f *Fleet) proof(random *rand.Rand, rev int) (string, error) {
	if err := f.proveRequest(rev); err != nil {
		return "", err
	}
	trainer := f.Shape.Trainers[0]
	doc := ledger.StepDoc{ID: fmt.Sprintf("drill-%d", rev), Trainer: trainer.Name, Pool: trainer.Pool, Revision: rev, OneVersion: true, Judge: f.Judge, DeadlineMS: 100000}
	for group := 0; group < 6; group++ {
		doc.Groups = append(doc.Groups, ledger.Group{ID: fmt.Sprintf("g%d", group), Prompt: prompt(random, 512), Samples: 2, Tokens: 32})
	}
	if err := f.openStep(doc); err != nil {
		return "", err
	}
	results, err := f.allResults(doc)
	if err != nil {
		return "", err
	}
	for _, entry := range results {
		if err := standin.CheckEntry(doc, entry, standin.Usual.Stop); err != nil {
			return err.Error(), nil
		}
	}
	_, _, _ = Do("POST", f.serving()+"/v1/steps/"+doc.ID+"/end", nil, nil)
	return "", nil
}

// serving is a dispatcher that answers, as callers go to one.
func (f *Fleet) serving() string {
	for i := range f.By("dispatcher") {
		if f.serves(i) {
			return f.disp(i)
		}
	}
	return f.disp(0)
}

// proveRequest makes one plain request, again until it is served.
func (f *Fleet) proveRequest(rev int) error {
	verb, path := "GET", "/parts/1"
	if f.Shape.Once {
		verb, path = "POST", "/book/x"
	}
	tries := 0
	return Retry(patience, func() error {
		tries++
		at := f.serving()
		body, _ := json.Marshal(map[string]string{"id": fmt.Sprintf("drill-%d-%d", rev, tries)})
		code, _, err := Do(verb, at+path, body, nil)
		if err == nil && code != 200 {
			err = errors.Errorf("fleet: request answered %d", code)
		}
		return err
	})
}

func (f *Fleet) openStep(doc ledger.StepDoc) error {
	body, _ := json.Marshal(doc)
	return Retry(patience, func() error {
		code, answer, err := Do("POST", f.serving()+"/v1/steps", body, nil)
		if err == nil && code != 200 {
			err = errors.Errorf("fleet: step answered %d %s", code, answer)
		}
		return err
	})
}

// allResults waits until a step has all of its results.
func (f *Fleet) allResults(doc ledger.StepDoc) ([]ledger.Entry, error) {
	var pages ledger.Pages
	err := Retry(patience, func() error {
		_, answer, err := Do("GET", f.serving()+"/v1/steps/"+doc.ID+"/results", nil, nil)
		if err != nil {
			return err
		}
		if json.Unmarshal(answer, &pages) != nil || len(pages.Results) < doc.Wanted() {
			return errors.Errorf("fleet: %d of %d results", len(pages.Results), doc.Wanted())
		}
		return nil
	})
	return pages.Results, err
}
