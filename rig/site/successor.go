package site

import (
	"math/rand"
	"os"
	"sync"
	"time"
)

// A store machine is gone for good, and an empty one at another address takes its place.
// Once that counts, as many disks are lost as may be, and every process is killed.

// syncTime is how long after its start, or after the last trouble, a machine counts as
// there again: the least that deployments give (Bounds.SyncS).
const syncTime = 4200 * time.Millisecond

// storeMachines gives the machines that have a disk.
func (s *site) storeMachines() []*machine { return s.machinesWith(true) }

// machinesWith gives the machines that have a disk, or those that have none.
func (s *site) machinesWith(disk bool) []*machine {
	var some []*machine
	for _, m := range s.machines {
		if m.disk.Load() == disk {
			some = append(some, m)
		}
	}
	return some
}

// replaceStore takes a store machine away with its disk. A machine that had none starts
// with an empty one, at its own address. The other comes back without a disk, once a further
// store was lost.
func replaceStore(s *soak, random *rand.Rand, length time.Duration) {
	if s.diskLost.Swap(true) {
		return
	}
	lost, successor := pickOf(random, s.storeMachines()), pickOf(random, s.machinesWith(false))
	s.note("%s is replaced by %s", lost.name, successor.name)
	for _, m := range []*machine{lost, successor} {
		m.editing.Lock()
		defer m.editing.Unlock()
		m.replacing.Lock() // nothing starts on the folder meanwhile
		m.current().kill()
	}
	err := os.RemoveAll(s.folder(lost))
	lost.disk.Store(false)
	lost.gone.Store(true)
	successor.disk.Store(true)
	for _, m := range []*machine{lost, successor} {
		if err == nil {
			err = s.write(m, false)
		}
		m.replacing.Unlock()
	}
	if err != nil {
		s.t.bad("soak: %v", err)
	}
	time.Sleep(length / 4)
	s.again(successor)
}

func pickOf(random *rand.Rand, from []*machine) *machine { return from[random.Intn(len(from))] }

// loseOnceItCounts takes the disk of a store and kills every process, where a store is gone
// and once its successor counts: syncTime after the last trouble. Then nobody is gone.
func (s *soak) loseOnceItCounts() {
	var gone []*machine
	for _, m := range s.machines {
		if m.gone.Load() {
			gone = append(gone, m)
		}
		s.again(m)
	}
	if len(gone) == 0 {
		return
	}
	time.Sleep(syncTime)
	stores := s.storeMachines()
	wiped := stores[int(s.report.Seed)%len(stores)]
	s.note("disk of %s lost, and all are killed", wiped.name)
	s.killAll()
	if err := s.blank(wiped); err != nil {
		s.t.bad("soak: %v", err)
	}
	for _, m := range gone {
		m.gone.Store(false)
	}
	for _, m := range s.machines {
		s.again(m)
	}
}

// killAll ends all processes at once.
func (s *soak) killAll() {
	var all sync.WaitGroup
	for _, m := range s.machines {
		all.Add(1)
		go func() {
			defer all.Done()
			s.kill(m)
		}()
	}
	all.Wait()
}

// blank ends a machine's process and empties its folder.
func (s *site) blank(m *machine) error {
	m.replacing.Lock() // nothing starts on the folder meanwhile
	defer m.replacing.Unlock()
	m.current().kill()
	if err := os.RemoveAll(s.folder(m)); err != nil {
		return err
	}
	return os.MkdirAll(s.folder(m), 0o755)
}
