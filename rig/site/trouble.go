package site

import (
	"fmt"
	"math/rand"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Kind is a class of trouble. A round of a soak has two or three kinds at once.
type Kind int

// The kinds of trouble.
const (
	Stop          Kind = iota // a machine is stopped in order and started again
	Reload                    // SIGHUPs, some with other seeds or a settings file that is cut off
	Restart                   // a process is killed and started again, or started twice
	Configuration             // the configuration changes
	Cut                       // peers lose each other's lines
	Freeze                    // a process is stopped for a while and goes on
	SlowDisk                  // a neighbour keeps the disk busy
	EngineFault               // engines break off, hang, are slow, go for good
	ClientFault               // clients hold halves of requests, leave, read slowly
	LogFault                  // nobody reads what a process writes
	DiskLoss                  // a store is killed and starts again with an empty folder
	Oversize                  // clients send what is large, several at once
	NewRoute                  // trainers begin on a route the moment that it is acknowledged
	LongWay                   // the machine that gives orders stops with one on its way
	Pause                     // engines pause amid streams while the others are full
	LargePlan                 // a configuration has thousands of routes
	Repeat                    // whole answers come again on kept connections, and some are failures
	Successor                 // a store is replaced at another address, and another is lost once that counts
)

var kindNames = [...]string{"stop", "reload", "restart", "configuration", "cut", "freeze", "slow disk", "engine", "client", "log", "disk loss", "oversize", "new route", "long way", "pause", "large plan", "repeat", "successor"}

// Kinds counts the kinds of trouble.
const Kinds = len(kindNames)

// String names the kind in reports.
func (k Kind) String() string { return kindNames[k] }

// KindsNamed reads kinds of trouble from their names, separated by commas.
func KindsNamed(names string) ([]Kind, error) {
	var kinds []Kind
	for _, name := range strings.Split(names, ",") {
		at := slices.Index(kindNames[:], strings.TrimSpace(name))
		if at < 0 {
			return nil, errors.Errorf("soak: no kind of trouble is named %q; there are %s", name, strings.Join(kindNames[:], ", "))
		}
		kinds = append(kinds, Kind(at))
	}
	return kinds, nil
}

// longestTrouble bounds how long one trouble lasts; a freeze lasts no longer.
const longestTrouble = 2500 * time.Millisecond

// trouble brings a fault about for a while. It returns once the fault is over.
type trouble func(s *soak, random *rand.Rand, length time.Duration)

var troubles = [...]trouble{
	Stop: stopMachine, Reload: reloadMachine, Restart: restartMachine, Configuration: changeConfiguration, Cut: cutPeers,
	Freeze: freezeMachine, SlowDisk: slowDisk, EngineFault: troubleEngines, ClientFault: troubleClients, LogFault: troubleLog, DiskLoss: loseDisk, Oversize: oversize,
	NewRoute: newRoutes, LongWay: longWay, Pause: pauseWhileFull, LargePlan: largePlan, Repeat: repeatAnswers,
	Successor: replaceStore,
}

// machine picks one, mostly one of those that keep the state.
func (s *soak) machine(random *rand.Rand) *machine { return s.machines[random.Intn(len(s.machines))] }

// again starts a machine's process if it is over.
func (s *soak) again(m *machine) {
	if err := s.relaunch(m); err != nil {
		s.t.bad("%v", err)
	}
}

// stopMachine stops machines one after the other.
func stopMachine(s *soak, random *rand.Rand, length time.Duration) {
	for end := time.Now().Add(length); time.Now().Before(end); {
		s.stopOne(s.machine(random), random)
	}
}

// stopOne sends SIGTERM, at times twice or with a SIGHUP right before or after it, and
// starts the machine again.
func (s *soak) stopOne(m *machine, random *rand.Rand) {
	p := m.current()
	variant := random.Intn(4)
	s.note("stop %s, variant %d", m.name, variant)
	p.expected.Store(true)
	if variant == 1 {
		p.signal(syscall.SIGHUP)
	}
	p.signal(syscall.SIGTERM)
	time.Sleep(time.Duration(random.Intn(60)) * time.Millisecond)
	switch variant {
	case 2:
		p.signal(syscall.SIGHUP)
	case 3:
		p.signal(syscall.SIGTERM)
	}
	if !p.endsWithin(stopGrace + longestTrouble) {
		s.t.bad("STOP: %s did not stop in time", m.name)
		p.kill()
	}
	if !p.endedInOrder() && !s.endedBySettings(m, p) {
		s.t.bad("STOP: %s was stopped in order and ended with %s", m.name, p.cmd.ProcessState)
	}
	s.again(m)
}

// reloadMachine sends SIGHUPs while the settings name other seeds, or are cut off.
func reloadMachine(s *soak, random *rand.Rand, length time.Duration) {
	m := s.machine(random)
	m.editing.Lock()
	defer m.editing.Unlock()
	whole, err := os.ReadFile(m.settings)
	if err != nil {
		s.t.bad("soak: %v", err)
		return
	}
	s.note("reload %s", m.name)
	end := time.Now().Add(length)
	for time.Now().Before(end) {
		switch random.Intn(3) {
		case 0: // cut off, as an editor that writes in place leaves it for a moment
			m.cut.Store(time.Now().UnixNano())
			_ = os.WriteFile(m.settings, whole[:random.Intn(len(whole))], 0o644)
		case 1: // other machines are named
			_ = os.WriteFile(m.settings, otherSeeds(whole, s.machines[0].ip+controlPort, s.machines[3].ip+controlPort), 0o644)
		}
		m.current().signal(syscall.SIGHUP)
		time.Sleep(time.Duration(20+random.Intn(200)) * time.Millisecond)
		_ = os.WriteFile(m.settings, whole, 0o644)
		m.current().signal(syscall.SIGHUP)
		time.Sleep(time.Duration(20+random.Intn(200)) * time.Millisecond)
	}
}

// otherSeeds is a settings file in which one seed is another machine; all else stays, also
// where the machine's own address is that of the seed.
func otherSeeds(settings []byte, seed, other string) []byte {
	lines := strings.Split(string(settings), "\n")
	for i, line := range lines {
		if strings.HasPrefix(line, "SeedNodes=") {
			lines[i] = strings.ReplaceAll(line, seed, other)
		}
	}
	return []byte(strings.Join(lines, "\n"))
}

// restartMachine restarts machines one after the other: a process is killed and started
// again, or a second one is started beside it.
func restartMachine(s *soak, random *rand.Rand, length time.Duration) {
	for end := time.Now().Add(length); time.Now().Before(end); {
		m := s.machine(random)
		if random.Intn(3) == 0 {
			s.secondStart(m, random)
			continue
		}
		s.note("restart %s", m.name)
		s.kill(m)
		time.Sleep(time.Duration(random.Int63n(int64(length))))
		s.again(m)
	}
}

// secondStart starts a machine's program while its process is still there, with the same
// ports or with others. The second must end by itself, and the first must not notice.
func (s *soak) secondStart(m *machine, random *rand.Rand) {
	m.replacing.Lock()
	defer m.replacing.Unlock()
	first := m.current()
	if time.Since(first.began) < startupTime {
		first.expected.Store(true) // either may be the one that goes on
	}
	settings := m.settings
	args := serveArgs(m, settings)
	otherPorts := m.disk.Load() && random.Intn(2) == 0
	s.note("second start of %s, other ports %v", m.name, otherPorts)
	if otherPorts {
		raw, err := os.ReadFile(m.settings)
		if err != nil {
			s.t.bad("soak: %v", err)
			return
		}
		text := strings.NewReplacer("PortRange=7000,7009", "PortRange=7100,7109", frontPort, ":8181", readyPort, ":8182", "BindAddrs.Control="+m.ip+controlPort, "BindAddrs.Control="+m.ip+":8183").Replace(string(raw))
		settings = filepath.Join(s.dir, m.name+"-second.conf")
		if err := os.WriteFile(settings, []byte(text), 0o644); err != nil {
			s.t.bad("soak: %v", err)
			return
		}
		args = []string{"serve", "--settings", settings}
	}
	second, err := spawn(filepath.Join(s.bin, "fernlink"), args, filepath.Join(s.dir, m.name+"-second.log"))
	if err != nil {
		s.t.bad("soak: %v", err)
		return
	}
	if second.endsWithin(longestTrouble) {
		return
	}
	if !first.isOver() { // else the first is over, and the second may run
		s.t.bad("TWO: a second process of %s runs beside the first", m.name)
	}
	second.kill()
}

// changeConfiguration puts one configuration after the other.
func changeConfiguration(s *soak, random *rand.Rand, length time.Duration) {
	s.note("configurations")
	for end := time.Now().Add(length); time.Now().Before(end); {
		s.change(random)
		time.Sleep(time.Duration(random.Intn(300)) * time.Millisecond)
	}
}

// cutPeers cuts one machine off, one way or both, or the machines into halves.
func cutPeers(s *soak, random *rand.Rand, length time.Duration) {
	one, others := []string{}, []string{}
	lone := random.Intn(len(s.machines))
	halves := random.Intn(4) == 0
	for i, m := range s.machines {
		if i == lone || halves && i == (lone+1)%len(s.machines) {
			one = append(one, m.peer())
		} else {
			others = append(others, m.peer())
		}
	}
	way := random.Intn(3)
	s.note("cut %v off, way %d", one, way)
	if way != 1 {
		s.relays.Cut(one, others)
	}
	if way != 2 {
		s.relays.Cut(others, one)
	}
	time.Sleep(length)
	s.relays.Join()
}

// freezeMachine stops a process and lets it go on.
func freezeMachine(s *soak, random *rand.Rand, length time.Duration) {
	m := s.machine(random)
	p := m.current()
	s.note("freeze %s", m.name)
	p.signal(syscall.SIGSTOP)
	time.Sleep(length)
	m.frozen.Store(time.Now().UnixNano())
	p.signal(syscall.SIGCONT)
}

// Size of what a neighbour writes to the disk of all machines at once, in bytes.
const neighbourWrite = 16 << 20

// slowDisk writes and syncs large files on the disk that all machines share.
func slowDisk(s *soak, _ *rand.Rand, length time.Duration) {
	s.note("busy disk")
	name := filepath.Join(s.dir, "neighbour")
	defer os.Remove(name)
	chunk := make([]byte, neighbourWrite)
	for end := time.Now().Add(length); time.Now().Before(end); {
		file, err := os.Create(name)
		if err != nil {
			s.t.bad("soak: %v", err)
			return
		}
		_, _ = file.Write(chunk)
		_ = file.Sync()
		_ = file.Close()
	}
}

// troubleEngines has some engines misbehave for a while, or go for good.
func troubleEngines(s *soak, random *rand.Rand, length time.Duration) {
	s.mu.Lock()
	engines := append([]*engine(nil), s.engines...)
	s.mu.Unlock()
	victims := []*engine{engines[random.Intn(len(engines))], engines[random.Intn(len(engines))]}
	for _, e := range victims {
		switch variant := random.Intn(5); variant {
		case 0, 1, 2:
			s.note("engine %s misbehaves, variant %d", e.id, variant)
			e.set(variant == 0, variant == 1, map[bool]time.Duration{true: 400 * time.Millisecond}[variant == 2])
			defer e.set(false, false, 0)
		case 3:
			s.replaceEngine(e, func() {
				e.crash()
				time.Sleep(300 * time.Millisecond)
			})
		case 4:
			s.replaceEngine(e, e.drain)
		}
	}
	time.Sleep(length)
}

// set says how an engine misbehaves.
func (e *engine) set(rough, hung bool, delay time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rough, e.hung, e.delay = rough, hung, delay
}

// drain lists an engine as draining, and serves on until nothing may come any more.
func (e *engine) drain() {
	e.mu.Lock()
	e.draining, e.drained = true, time.Now()
	e.mu.Unlock()
}

// replaceEngine takes an engine away, and another comes for it.
func (s *soak) replaceEngine(e *engine, away func()) {
	s.note("engine %s goes", e.id)
	if _, err := s.add(e.pool, e.zone); err != nil {
		s.t.bad("%v", err)
		return
	}
	away()
	if e.listedAsDraining() {
		go func() { // off the list later; it still hears what comes
			time.Sleep(drainBound)
			s.remove(e)
		}()
		return
	}
	s.remove(e)
}

func (e *engine) listedAsDraining() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.draining
}

// troubleLog does not read what a process writes, or closes its end of the pipe.
func troubleLog(s *soak, random *rand.Rand, length time.Duration) {
	m := s.machine(random)
	log := m.current().log
	if random.Intn(3) == 0 {
		s.note("log of %s closed", m.name)
		_ = log.input.Close()
		time.Sleep(length)
		return
	}
	s.note("log of %s not read", m.name)
	log.pause(length)
}

// loseDisk takes one store's folder. As many may be lost at once as the fleet bears: one,
// and the next round begins once its successor votes.
func loseDisk(s *soak, random *rand.Rand, length time.Duration) {
	if s.diskLost.Swap(true) {
		return
	}
	m := pickOf(random, s.storeMachines())
	s.note("disk of %s lost", m.name)
	if err := s.blank(m); err != nil {
		s.t.bad("soak: %v", err)
	}
	time.Sleep(length / 4)
	s.again(m)
}

// note keeps what happens in a soak, with its time, beside the logs.
func (s *soak) note(format string, args ...any) {
	line := fmt.Sprintf("%s %s\n", time.Now().UTC().Format("2006-01-02T15:04:05.000Z"), fmt.Sprintf(format, args...))
	s.notesMu.Lock()
	defer s.notesMu.Unlock()
	s.notes = append(s.notes, line...)
}
