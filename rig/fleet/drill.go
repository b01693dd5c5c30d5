package fleet

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"syscall"
	"time"

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

func (f *Fleet) status(p *Proc) (s struct {
	Store struct {
		Role string `json:"role"`
	} `json:"store"`
	Coordinator struct {
		Acting bool `json:"acting"`
	} `json:"coordinator"`
}) {
	if _, b, err := Do("GET", "http://"+p.Web+"/status", nil, nil); err == nil {
		_ = json.Unmarshal(b, &s)
	}
	return s
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

var drills = []drill{
	{"kill the store's leader", func(f *Fleet) (func() error, error) { p, err := f.leader(); return kill(f, p, err) }},
	{"kill the acting coordinator", func(f *Fleet) (func() error, error) { p, err := f.acting(); return kill(f, p, err) }},
	{"freeze the store's leader", func(f *Fleet) (func() error, error) { p, err := f.leader(); return freeze(f, p, err) }},
	{"freeze the acting coordinator", func(f *Fleet) (func() error, error) { p, err := f.acting(); return freeze(f, p, err) }},
	{"kill a dispatcher", func(f *Fleet) (func() error, error) { return kill(f, f.By("dispatcher")[2], nil) }},
	{"kill two model engines", func(f *Fleet) (func() error, error) {
		a, b := f.By("model")[0], f.By("model")[1]
		f.Kill(a)
		f.Kill(b)
		return func() error {
			if err := f.Launch(a); err != nil {
				return err
			}
			return f.Launch(b)
		}, nil
	}},
	{"kill every store, start them again", func(f *Fleet) (func() error, error) {
		for _, p := range f.By("store") {
			f.Kill(p)
		}
		for _, p := range f.By("store") {
			if err := f.Launch(p); err != nil {
				return nil, err
			}
		}
		return func() error { return nil }, nil
	}},
}

// Drills causes each fault in turn and measures.
func (f *Fleet) Drills(seed int64) ([]Drill, error) {
	if _, _, err := f.PutPlan(0, f.Shape.Plan); err != nil {
		return nil, err
	}
	r := rand.New(rand.NewSource(seed))
	rev := 1
	if _, err := f.proof(r, rev); err != nil {
		return nil, err
	}
	var out []Drill
	for _, x := range drills {
		undo, err := x.do(f)
		if err != nil {
			return out, errors.Wrap(err, x.name)
		}
		began := time.Now()
		rev++
		wrong, err := f.proof(r, rev)
		d := Drill{Fault: x.name, Heal: time.Since(began).Seconds(), Wrong: wrong}
		if err != nil {
			return append(out, d), errors.Wrap(err, x.name)
		}
		out = append(out, d)
		if err := undo(); err != nil {
			return out, err
		}
		if err := f.Ready(2 * time.Minute); err != nil {
			return out, err
		}
	}
	return out, nil
}

// proof shows that service is whole: a booking or lookup goes through, a plan
// is put, and a small step under new weights gets all of its results.
func (f *Fleet) proof(r *rand.Rand, rev int) (string, error) {
	live := func() string {
		for i := range f.By("dispatcher") {
			if code, _, err := Do("GET", f.disp(i)+"/healthz", nil, nil); err == nil && code == 200 {
				return f.disp(i)
			}
		}
		return f.disp(0)
	}
	at := live()
	verb, path := "GET", "/parts/1"
	if f.Shape.Once {
		verb, path = "POST", "/book/x"
	}
	n := 0
	err := Retry(patience, func() error {
		n++
		body, _ := json.Marshal(map[string]string{"id": fmt.Sprintf("drill-%d-%d", rev, n)})
		code, _, err := Do(verb, at+path, body, nil)
		if err == nil && code != 200 {
			err = errors.Errorf("fleet: request answered %d", code)
		}
		return err
	})
	if err != nil {
		return "", err
	}
	t := f.Shape.Trainers[0]
	doc := ledger.StepDoc{ID: fmt.Sprintf("drill-%d", rev), Trainer: t.Name, Pool: t.Pool, Revision: rev, OneVersion: true, Judge: f.Judge, DeadlineMS: 100000}
	for g := 0; g < 6; g++ {
		doc.Groups = append(doc.Groups, ledger.Group{ID: fmt.Sprintf("g%d", g), Prompt: prompt(r, 512), Samples: 2, Tokens: 32})
	}
	body, _ := json.Marshal(doc)
	if err := Retry(patience, func() error {
		code, b, err := Do("POST", at+"/v1/steps", body, nil)
		if err == nil && code != 200 {
			err = errors.Errorf("fleet: step answered %d %s", code, b)
		}
		return err
	}); err != nil {
		return "", err
	}
	var p ledger.Pages
	if err := Retry(patience, func() error {
		_, b, err := Do("GET", at+"/v1/steps/"+doc.ID+"/results", nil, nil)
		if err != nil {
			return err
		}
		if json.Unmarshal(b, &p) != nil || len(p.Results) < doc.Wanted() {
			return errors.Errorf("fleet: %d of %d results", len(p.Results), doc.Wanted())
		}
		return nil
	}); err != nil {
		return "", err
	}
	for _, e := range p.Results {
		if err := standin.CheckEntry(doc, e, standin.Usual.Stop); err != nil {
			return err.Error(), nil
		}
	}
	_, _, _ = Do("POST", at+"/v1/steps/"+doc.ID+"/end", nil, nil)
	return "", nil
}
