package site

import (
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"fernlink/rig/relay"
	"fernlink/shell/daemon"
)

// machine is one machine with its process.
type machine struct {
	name, ip, zone string
	settings       string
	disk           atomic.Bool
	gone           atomic.Bool // it is not to be started for now
	editing        sync.Mutex  // held while its settings file is changed for a while
	replacing      sync.Mutex  // held while its process is started, or a second one beside it
	process        atomic.Pointer[process]
	cut            atomic.Int64 // when its settings were last cut off, Unix nanoseconds
	frozen         atomic.Int64 // when it last went on after a freeze, Unix nanoseconds
}

// wasFrozen says whether a machine may have been frozen since a moment.
func (m *machine) wasFrozen(since time.Time) bool {
	thawed := m.frozen.Load()
	return thawed != 0 && time.Unix(0, thawed).After(since)
}

// size says how many machines a site has, and how much memory each.
type size struct {
	machines, memoryMB int
	unfenced           bool // engines don't check fences
}

// usual is the size of a day's site.
var usual = size{machines: 4, memoryMB: 284}

// Ports of every machine: the one that peers are told, where a relay stands, and the one
// behind it; the administration API; those that the settings name.
const (
	peerPort    = ":7000"
	adminPort   = ":7001"
	listenPort  = ":7008"
	frontPort   = ":8081"
	readyPort   = ":8082"
	controlPort = ":8083"
)

// stopGrace is how long a process may take to stop in order.
const stopGrace = 8 * time.Second

func (m *machine) front() string { return "http://" + m.ip + frontPort }

func (m *machine) control() string { return "http://" + m.ip + controlPort }

// peer is the address by which other machines know this one.
func (m *machine) peer() string { return m.ip + peerPort }

// site is a fleet, its engines and the platform's list.
type site struct {
	dir, bin string
	machines []*machine
	t        *truth
	mu       sync.Mutex
	engines  []*engine
	srv      *http.Server
	next     int
	net      string
	relays   *relay.Relays
	memoryMB int // of each machine
	unfenced bool
	closed   sync.Once
	over     atomic.Bool // nothing is started any more
}

// Zones of every site here.
var zones = []string{"a", "b", "c"}

// given are the networks that this process has used: sites that start at the same moment
// may not draw the same.
var given sync.Map

// fresh is an unused loopback network: every machine has the same ports.
func fresh() (string, error) {
	for range 50 {
		n := fmt.Sprintf("127.%d.%d", 20+rand.Intn(200), rand.Intn(256))
		if _, used := given.LoadOrStore(n, true); used {
			continue
		}
		l, err := net.Listen("tcp", n+".1:7000")
		if err == nil {
			return n, l.Close()
		}
	}
	return "", errors.New("site: no free network on loopback")
}

func start(bin, dir string, size size) (*site, error) {
	network, err := fresh()
	if err != nil {
		return nil, err
	}
	started := &site{dir: dir, bin: bin, net: network, memoryMB: size.memoryMB, t: &truth{runs: map[string]int{}, seals: map[string]string{}, ended: map[string]time.Time{}, fails: map[string]int{}, ends: map[string]bool{}, named: 1}, unfenced: size.unfenced, relays: relay.New()}
	for i := range 8 {
		if _, err := started.add([]string{"app", "llm", "llm", "app", "llm", "llm", "other", "other"}[i], zones[i%3]); err != nil {
			return started, err
		}
	}
	l, err := net.Listen("tcp", network+".250:9000")
	if err != nil {
		return started, errors.Wrap(err, "site: list")
	}
	started.srv = &http.Server{Handler: http.HandlerFunc(started.list), ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = started.srv.Serve(l) }()
	for i := range size.machines {
		m := &machine{name: fmt.Sprintf("edge-%d", i+1), ip: fmt.Sprintf("%s.%d", network, i+1), zone: zones[i%3]}
		m.disk.Store(i < stores)
		started.machines = append(started.machines, m)
	}
	for _, m := range started.machines {
		if err := started.relays.Open(m.peer(), m.ip+listenPort); err != nil {
			return started, err
		}
		if err := started.write(m, true); err != nil {
			return started, err
		}
	}
	for _, m := range started.machines {
		if err := started.launch(m); err != nil {
			return started, err
		}
	}
	return started, nil
}

// stores is how many machines have a disk, at first the first ones.
const stores = 3

// folder is where a machine's disk is.
func (s *site) folder(m *machine) string { return filepath.Join(s.dir, m.name) }

// write writes a machine's settings file.
func (s *site) write(target *machine, first bool) error {
	var seeds []string
	for _, x := range s.machines {
		if x.disk.Load() {
			seeds = append(seeds, x.ip+controlPort)
		}
	}
	lines := []string{"NodeName=" + target.name, "Serves=edge,control_plane", "Ip=" + target.ip, "Zone=" + target.zone, "Region=here", "PortRange=7000,7009",
		"BindAddrs.Front=" + target.ip + frontPort, "BindAddrs.Readiness=" + target.ip + readyPort, "BindAddrs.Control=" + target.ip + controlPort,
		"SeedNodes=" + strings.Join(seeds, ","), fmt.Sprintf("Bootstrap=%v", first), "FaultBudget.Machines=1", "Limits.CpuShare=0.5", fmt.Sprint("Limits.MemoryMb=", s.memoryMB), "Limits.MaxFds=4100",
		"CloudApi.Address=" + s.net + ".250:9000", "CloudApi.RatePerS=20", "CloudApi.MaxLagMs=200", "Bounds.ApplyMs=2000", "Bounds.DrainMs=3000", "Bounds.ContactMs=3000", "Bounds.AckMs=4000",
		"Bounds.GraceS=8", "Bounds.RecoverS=12", "Bounds.ReportS=120", "Bounds.CancelMs=3000", "Bounds.SettleMs=1000"}
	if target.disk.Load() {
		data := s.folder(target)
		if err := os.MkdirAll(data, 0o755); err != nil {
			return errors.Wrap(err, "site")
		}
		lines = append(lines, "DataDir="+data, "Limits.DiskMb=64")
	}
	target.settings = filepath.Join(s.dir, target.name+".conf")
	return errors.Wrap(os.WriteFile(target.settings, []byte(strings.Join(lines, "\n")+"\n"), 0o644), "site")
}

// serveArgs are the arguments of a machine's program with a settings file.
func serveArgs(target *machine, settings string) []string {
	return []string{"serve", "--settings", settings, "--listen", target.ip + listenPort, "--log-level", "debug"}
}

// launch starts a machine's process and holds its end against what was asked.
func (s *site) launch(target *machine) error {
	target.replacing.Lock()
	defer target.replacing.Unlock()
	return s.launchLocked(target)
}

func (s *site) launchLocked(target *machine) error {
	started, err := spawn(filepath.Join(s.bin, "fernlink"), serveArgs(target, target.settings), filepath.Join(s.dir, target.name+".log"))
	if err != nil {
		return err
	}
	target.process.Store(started)
	go func() {
		<-started.ended
		if s.endedBySettings(target, started) {
			s.restartLater(target)
			return
		}
		if !started.expected.Load() && !started.endedEarly() {
			s.t.bad("FAULT: %s ended by itself: %s", target.name, started.cmd.ProcessState)
		}
	}()
	return nil
}

// Codes by which a process says that its settings were wrong or not whole, and for how
// long after they were cut off it may.
const (
	exitWrongSettings = 2
	exitOtherSettings = daemon.ExitOtherSettings
	cutSettingsFor    = 15 * time.Second
)

// endedBySettings says whether a process ended because its settings had been cut off.
func (s *site) endedBySettings(m *machine, p *process) bool {
	code := p.cmd.ProcessState.ExitCode()
	recent := time.Since(time.Unix(0, m.cut.Load())) < cutSettingsFor
	return recent && (code == exitWrongSettings || code == exitOtherSettings)
}

// restartLater starts a machine again as a supervisor does.
func (s *site) restartLater(m *machine) {
	time.Sleep(100 * time.Millisecond)
	if s.over.Load() {
		return
	}
	if err := s.relaunch(m); err != nil {
		s.t.bad("%v", err)
	}
}

// relaunch starts a machine's process if the last one is over.
func (s *site) relaunch(target *machine) error {
	target.replacing.Lock()
	defer target.replacing.Unlock()
	if target.gone.Load() || !target.current().isOver() {
		return nil
	}
	return s.launchLocked(target)
}

// current is the newest process of a machine, nil before the first.
func (m *machine) current() *process { return m.process.Load() }

// kill ends a machine's process at once.
func (s *site) kill(m *machine) { m.current().kill() }

// term stops a process in order and says whether it ended within its grace.
func (s *site) term(m *machine) bool {
	p := m.current()
	p.expected.Store(true)
	p.signal(syscall.SIGTERM)
	if p.endsWithin(stopGrace) {
		return true
	}
	p.kill()
	return false
}

// close ends all processes and stand-ins. It may be called again.
func (s *site) close() { s.closed.Do(s.end) }

func (s *site) end() {
	s.over.Store(true)
	for _, m := range s.machines {
		if m.current() != nil {
			s.kill(m)
		}
	}
	s.relays.Close()
	if s.srv != nil {
		_ = s.srv.Close()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.engines {
		_ = e.srv.Close()
	}
}

// add starts an engine and lists it.
func (s *site) add(pool, zone string) (*engine, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next++
	added := &engine{t: s.t, id: fmt.Sprintf("i-%d-%d", s.next, os.Getpid()), pool: pool, zone: zone, slots: 8, unfenced: s.unfenced}
	if err := added.start(s.net + ".200:0"); err != nil {
		return nil, errors.Wrap(err, "site: engine")
	}
	s.t.mu.Lock()
	added.version = s.t.named
	s.t.mu.Unlock()
	s.engines = append(s.engines, added)
	return added, nil
}

// remove takes an engine off the list.
func (s *site) remove(e *engine) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, x := range s.engines {
		if x == e {
			s.engines = append(s.engines[:i:i], s.engines[i+1:]...)
			return
		}
	}
}

// list is the platform's list, four engines a page.
func (s *site) list(w http.ResponseWriter, r *http.Request) {
	from := 0
	_, _ = fmt.Sscanf(r.URL.Query().Get("PageToken"), "p-%d", &from)
	s.mu.Lock()
	defer s.mu.Unlock()
	page := map[string]any{"NextToken": nil}
	rows := []any{}
	for i := from; i < min(from+4, len(s.engines)); i++ {
		engine := s.engines[i]
		engine.mu.Lock()
		state := "ready"
		if engine.draining {
			state = "draining"
		}
		rows = append(rows, map[string]any{"InstanceId": engine.id, "Backend": engine.pool, "Address": engine.addr, "Zone": engine.zone, "Revision": "v1", "Capacity": engine.slots, "State": state,
			"WarmupLeftMs": 0, "Phase": "mixed", "Models": engine.report()["Models"]})
		engine.mu.Unlock()
	}
	if from+4 < len(s.engines) {
		page["NextToken"] = fmt.Sprintf("p-%d", from+4)
	}
	page["Instances"] = rows
	say(w, 200, page)
}
