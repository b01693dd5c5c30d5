// Package fleet runs a whole fleet as separate processes on loopback: nodes,
// stand-ins and all. It is for development only.
package fleet

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/go-json-experiment/json/v1"
	"github.com/pkg/errors"

	"fernlink/core/dialect"
	"fernlink/rig/relay"
)

// Shape is a deployment.
type Shape struct {
	Name        string
	Zones       []string
	Stores      int
	Spare       int // further store machines, learners that stand ready
	Dispatchers int
	Models      int
	Apps        int
	Trainers    []Trainer
	Once        bool    // application traffic is bookings
	Rate        float64 // application requests a second
	Plan        string
}

// Trainer is how a trainer asks.
type Trainer struct {
	Name    string
	Pool    string
	Groups  int
	Samples int
	Prompt  int // bytes
	Shared  int // bytes that groups share
	Tokens  int
	Lag     int
	One     bool
}

// Shapes are the two deployments: fourteen machines each. Those with a disk run
// store and coordinator, the others dispatchers.
var Shapes = map[string]Shape{
	"fibrarmor": {Name: "fibrarmor", Zones: []string{"brest", "rennes", "vannes"}, Stores: 3, Dispatchers: 11, Models: 11, Apps: 3,
		Trainers: []Trainer{{Name: "drafts", Pool: "draft", Groups: 24, Samples: 4, Prompt: 1536, Shared: 1024, Tokens: 96, One: true}},
		Once:     true, Rate: 6,
		Plan: `{"pools":[{"name":"draft","kind":"model"},{"name":"booking","kind":"app"}],
			"routes":[{"name":"book","path":"/book","verbs":["POST"],"pool":"booking","once":true,"timeout_ms":2000},
			          {"name":"rounds","path":"/rounds","verbs":["GET"],"pool":"booking"}]}`},
	"waterland": {Name: "waterland", Zones: []string{"edam", "hoorn", "monnickendam", "purmerend"}, Stores: 3, Spare: 1, Dispatchers: 10, Models: 9, Apps: 4,
		Trainers: []Trainer{{Name: "short", Pool: "parts", Groups: 24, Samples: 4, Prompt: 1024, Shared: 768, Tokens: 32, One: true},
			{Name: "long", Pool: "parts", Groups: 8, Samples: 2, Prompt: 2048, Shared: 512, Tokens: 256, Lag: 1}},
		Rate: 6,
		Plan: `{"pools":[{"name":"parts","kind":"model","keep_share":0.4},{"name":"shop","kind":"app"}],
			"routes":[{"name":"lookup","path":"/parts","verbs":["GET"],"pool":"shop"},
			          {"name":"order","path":"/orders","verbs":["POST"],"pool":"shop","once":true}]}`},
}

// Proc is one process of the fleet.
type Proc struct {
	Name string
	Addr string // peer address, for nodes
	Web  string
	Args []string
	Cmd  *exec.Cmd
	Role string // one, or several with commas
	Zone string
	Data string
	Gone bool // its machine is no more
}

// Has says whether a process has a role.
func (p *Proc) Has(role string) bool { return slices.Contains(strings.Split(p.Role, ","), role) }

// Fleet is the running processes.
type Fleet struct {
	Shape   Shape
	Dir     string
	Procs   []*Proc
	Nodes   []*Proc
	Engines []dialect.Listed
	Judge   string
	List    string
	Relays  *relay.Relays
	bin     string
	fresh   int
	seeds   string
	mu      sync.Mutex
	closed  bool
}

func ports(n int) ([]string, error) {
	var listeners []net.Listener
	defer func() {
		for _, l := range listeners {
			_ = l.Close()
		}
	}()
	var addrs []string
	for i := 0; i < n; i++ {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		listeners = append(listeners, l)
		addrs = append(addrs, l.Addr().String())
	}
	return addrs, nil
}

// Start starts a fleet's processes. It builds nothing: bin is the folder with both
// programs.
func Start(shape Shape, bin, dir string) (*Fleet, error) {
	fleet := &Fleet{Shape: shape, Dir: dir, bin: bin, Relays: relay.New()}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, errors.Wrap(err, "fleet")
	}
	nodes := shape.Stores + shape.Spare + shape.Dispatchers
	free, err := ports(3*nodes + shape.Models + shape.Apps + 2)
	if err != nil {
		return nil, errors.Wrap(err, "fleet: ports")
	}
	take := func() string {
		port := free[0]
		free = free[1:]
		return port
	}
	fleet.addEngines(take)
	fleet.addOutside(take)
	if err := fleet.addNodes(take, nodes); err != nil {
		fleet.Close()
		return nil, err
	}
	for _, process := range fleet.Procs {
		if err := fleet.Launch(process); err != nil {
			fleet.Close()
			return nil, err
		}
	}
	return fleet, fleet.Publish()
}

func (f *Fleet) rig() string { return filepath.Join(f.bin, "rig") }

func (f *Fleet) zone(i int) string { return f.Shape.Zones[i%len(f.Shape.Zones)] }

// addEngines adds the stand-ins of engines, each at an address of its own.
func (f *Fleet) addEngines(take func() string) {
	pool := f.Shape.Trainers[0].Pool
	for i := 0; i < f.Shape.Models; i++ {
		id, at := fmt.Sprintf("model-%d", i+1), take()
		f.Engines = append(f.Engines, dialect.Listed{ID: id, URL: "http://" + at, Kind: "model", Pool: pool, Zone: f.zone(i), State: "ready"})
		f.add(&Proc{Name: id, Web: at, Role: "model", Zone: f.zone(i), Args: []string{f.rig(), "engine", "--addr", at, "--id", id, "--pool", pool}})
	}
	var plan struct {
		Pools []struct{ Name, Kind string }
	}
	_ = json.Unmarshal([]byte(f.Shape.Plan), &plan)
	appPool := plan.Pools[len(plan.Pools)-1].Name
	for i := 0; i < f.Shape.Apps; i++ {
		id, at := fmt.Sprintf("app-%d", i+1), take()
		f.Engines = append(f.Engines, dialect.Listed{ID: id, URL: "http://" + at, Kind: "app", Pool: appPool, Zone: f.zone(i), State: "ready"})
		f.add(&Proc{Name: id, Web: at, Role: "app", Zone: f.zone(i), Args: []string{f.rig(), "app", "--addr", at, "--id", id}})
	}
}

// addOutside adds the stand-ins of the judge and of the platform's list.
func (f *Fleet) addOutside(take func() string) {
	judge, platform := take(), take()
	f.Judge, f.List = "http://"+judge+"/judge", "http://"+platform+"/engines"
	f.add(&Proc{Name: "judge", Web: judge, Role: "judge", Args: []string{f.rig(), "judge", "--addr", judge}})
	f.add(&Proc{Name: "platform", Web: platform, Role: "platform", Args: []string{f.rig(), "list", "--addr", platform}})
}

// addNodes adds the nodes: those with a disk, then the dispatchers.
func (f *Fleet) addNodes(take func() string, nodes int) error {
	disks := f.Shape.Stores + f.Shape.Spare
	var addrs, webs []string
	for i := 0; i < nodes; i++ {
		addrs, webs = append(addrs, take()), append(webs, take())
	}
	f.seeds = strings.Join([]string{addrs[0], addrs[disks], addrs[nodes-1]}, ",")
	form := strings.Join(addrs[:f.Shape.Stores], ",")
	for i := 0; i < nodes; i++ {
		name, more := fmt.Sprintf("disp-%d", i-disks+1), []string{"--roles", "dispatcher", "--platform", f.List}
		if i < disks {
			name = fmt.Sprintf("store-%d", i+1)
			more = []string{"--roles", "store,coordinator", "--data", filepath.Join(f.Dir, name)}
			if i < f.Shape.Stores {
				more = append(more, "--form", form)
			}
		}
		if _, err := f.node(name, addrs[i], take(), webs[i], f.zone(i), more...); err != nil {
			return err
		}
	}
	return nil
}

// node puts one node into the fleet, behind a relay, not yet started.
func (f *Fleet) node(name, addr, listen, web, zone string, more ...string) (*Proc, error) {
	p := &Proc{Name: name, Addr: addr, Web: web, Role: more[1], Zone: zone}
	if more[2] == "--data" {
		p.Data = more[3]
	}
	p.Args = append([]string{filepath.Join(f.bin, "fernlink"), "node", "--addr", addr, "--listen", listen, "--web", web, "--zone", zone, "--seeds", f.seeds}, more...)
	f.Nodes = append(f.Nodes, p)
	f.add(p)
	return p, f.Relays.Open(addr, listen)
}

// Fresh starts an empty store machine at a new address.
func (f *Fleet) Fresh(zone string) (*Proc, error) {
	ps, err := ports(3)
	if err != nil {
		return nil, errors.Wrap(err, "fleet: ports")
	}
	f.fresh++
	name := fmt.Sprintf("store-new-%d", f.fresh)
	p, err := f.node(name, ps[0], ps[1], ps[2], zone, "--roles", "store,coordinator", "--data", filepath.Join(f.Dir, name))
	if err != nil {
		return nil, err
	}
	return p, f.Launch(p)
}

func (f *Fleet) add(p *Proc) { f.Procs = append(f.Procs, p) }

// Launch starts one process; its output goes to a file in the fleet's folder.
func (f *Fleet) Launch(process *Proc) error {
	out, err := os.OpenFile(filepath.Join(f.Dir, process.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return errors.Wrap(err, "fleet: log")
	}
	defer out.Close()
	c := exec.Command(process.Args[0], process.Args[1:]...)
	c.Stdout, c.Stderr = out, out
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return errors.Wrap(err, "fleet: start "+process.Name)
	}
	process.Cmd = c
	return nil
}

// Signal sends a signal to one process of the fleet.
func (f *Fleet) Signal(p *Proc, s syscall.Signal) error { return p.Cmd.Process.Signal(s) }

// Kill ends one process at once and waits for it.
func (f *Fleet) Kill(p *Proc) {
	_ = p.Cmd.Process.Kill()
	_, _ = p.Cmd.Process.Wait()
}

// Publish gives the platform its list.
func (f *Fleet) Publish() error {
	b, _ := json.Marshal(map[string]any{"engines": f.Engines})
	return Retry(20*time.Second, func() error {
		code, _, err := Do("PUT", f.List, b, nil)
		if err == nil && code != 200 {
			err = errors.Errorf("fleet: platform answered %d", code)
		}
		return err
	})
}

// Close asks nodes to stop and ends what is left.
func (f *Fleet) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return
	}
	f.closed = true
	for _, p := range f.Procs {
		if p.Cmd != nil {
			_ = p.Cmd.Process.Signal(syscall.SIGCONT)
			_ = p.Cmd.Process.Signal(syscall.SIGTERM)
		}
	}
	f.Relays.Close()
	for _, process := range f.Procs {
		if process.Cmd == nil {
			continue
		}
		done := make(chan struct{})
		go func() { _, _ = process.Cmd.Process.Wait(); close(done) }()
		select {
		case <-done:
		case <-time.After(12 * time.Second):
			_ = process.Cmd.Process.Kill()
			<-done
		}
	}
}

// By gives the processes of a role.
func (f *Fleet) By(role string) []*Proc {
	var out []*Proc
	for _, p := range f.Procs {
		if p.Has(role) && !p.Gone {
			out = append(out, p)
		}
	}
	return out
}

// Memory is a process's resident size in bytes.
func (p *Proc) Memory() int64 {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.Cmd.Process.Pid))
	if err != nil {
		return 0
	}
	var all, res int64
	_, _ = fmt.Sscan(string(b), &all, &res)
	return res * int64(os.Getpagesize())
}

// CPU is the processor time that a process has used.
func (p *Proc) CPU() float64 {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.Cmd.Process.Pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(b), ") ")
	f := strings.Fields(rest)
	if len(f) < 13 {
		return 0
	}
	var user, sys float64
	_, _ = fmt.Sscan(f[11], &user)
	_, _ = fmt.Sscan(f[12], &sys)
	return (user + sys) / 100 // clock ticks are 10 ms on Linux
}

var client = &http.Client{Timeout: 8 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// Do makes one request.
func Do(verb, url string, body []byte, head map[string]string) (int, []byte, error) {
	req, err := http.NewRequest(verb, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	for k, v := range head {
		req.Header.Set(k, v)
	}
	res, err := client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	return res.StatusCode, b, err
}

// Retry tries until it works or the time is up.
func Retry(most time.Duration, f func() error) error {
	end := time.Now().Add(most)
	for {
		err := f()
		if err == nil || time.Now().After(end) {
			return err
		}
		time.Sleep(50 * time.Millisecond)
	}
}
