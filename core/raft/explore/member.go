package explore

import (
	"math/rand"
	"slices"
	"time"

	"fernlink/core/flow"
	"fernlink/core/raft"
)

// The timers of each member. Its clock only moves when an action moves it.
const (
	heartbeatInterval = 100 * time.Millisecond
	electionTimeout   = 800 * time.Millisecond
)

// latest draws the longest election time-out always: then a member forgets its
// leader before it stands for election itself, and both are actions.
type latest struct{}

func (latest) Int63() int64 { return int64(electionTimeout) - 1 }
func (latest) Seed(int64)   {}

// batch is a turn's saves that are not synced yet, and the messages that wait
// for them (design 4.2).
type batch struct {
	number   uint64
	saves    []flow.Save
	messages []raft.Envelope
}

// member is one machine: its Raft, its disk and what is between them.
type member struct {
	id       string
	raft     *raft.Raft
	clock    flow.Time
	disk     disk
	unsynced []batch
	given    uint64 // number of the newest batch
	offer    *raft.Offer
	hash     uint64 // of all this; zero when it must be taken anew
	durable  *raft.LogView
}

func newMember(id string, onDisk disk) *member {
	m := &member{id: id, disk: onDisk}
	m.start()
	return m
}

// start runs a new process over the disk.
func (m *member) start() {
	m.raft = raft.New(m.clock, raft.Config{
		ID:                m.id,
		Rand:              rand.New(latest{}),
		HeartbeatInterval: heartbeatInterval,
		ElectionTimeout:   electionTimeout,
		MaxMessageEntries: 1, // entries come one by one
		Hard:              m.disk.hard,
		Snapshot:          m.disk.snapshot,
		Entries:           m.disk.entries,
	})
	m.unsynced, m.given, m.offer = nil, 0, nil
}

func (m *member) clone() *member {
	c := *m
	c.raft = m.raft.Clone()
	c.unsynced = slices.Clone(m.unsynced)
	return &c
}

// durableLog is the log that the member would have after a crash now.
func (m *member) durableLog() raft.LogView {
	if m.durable == nil {
		view := m.disk.logView()
		m.durable = &view
	}
	return *m.durable
}

// holdsDurably says whether the disk has an entry of a term at an index.
func (m *member) holdsDurably(index, term uint64) bool {
	view := m.durableLog()
	if index <= view.BaseIndex {
		return true
	}
	entry, ok := view.Entry(index)
	return ok && entry.Term == term
}

// sync writes the oldest batch and gives the messages that waited for it.
func (m *member) sync() []raft.Envelope {
	oldest := m.unsynced[0]
	m.unsynced = m.unsynced[1:]
	m.disk = m.disk.write(oldest.saves)
	m.durable = nil
	m.raft.Synced(oldest.number)
	return oldest.messages
}

// hold keeps a turn's saves, and its messages until they are synced. It gives
// the messages back when nothing has to be waited for.
func (m *member) hold(out raft.Out) []raft.Envelope {
	if len(out.Saves) > 0 {
		m.given++
		m.raft.Mark(m.given)
		m.unsynced = append(m.unsynced, batch{m.given, out.Saves, out.Messages})
		return nil
	}
	if len(m.unsynced) > 0 {
		newest := &m.unsynced[len(m.unsynced)-1]
		newest.messages = append(slices.Clip(newest.messages), out.Messages...)
		return nil
	}
	return out.Messages
}
