package raft

import (
	"math/rand"

	"github.com/go-json-experiment/json/v1"
	"github.com/pkg/errors"

	"fernlink/core/flow"
	"fernlink/core/invariant"
)

// Role is what a member does in its term.
type Role string

// Roles of a member.
const (
	Follower     Role = "follower"
	PreCandidate Role = "pre"
	Candidate    Role = "candidate"
	Leader       Role = "leader"
)

// Kinds of entries.
const (
	EntryNoop    = "noop" // a new leader's first entry
	EntryConf    = "conf" // a membership
	EntryCommand = "cmd"  // a command to the ledger
)

// Failures of this layer.
var (
	ErrNotLeader = errors.New("raft: not the leader")
	ErrBusy      = errors.New("raft: a change of membership is under way")
	ErrEarly     = errors.New("raft: the leader has not yet committed an entry of its own term")
)

// batchMark says that a batch of saves holds the log up to an index.
type batchMark struct{ batch, last uint64 }

// Raft is one member.
type Raft struct {
	id                string
	invariants        *invariant.Monitor
	random            *rand.Rand
	heartbeatInterval flow.Time
	electionTimeout   flow.Time
	messageEntries    int

	hard         flow.Hard
	savedVote    ballot     // as it was given out to be saved last
	base         flow.Entry // index and term of the entry before the log's first
	snapshot     *flow.Snapshot
	log          []flow.Entry
	conf         Conf
	confIndex    uint64
	confsByIndex map[uint64]Conf // configurations still in the log

	role         Role
	leader       string
	commit       uint64
	applied      uint64
	appliedBytes int         // since the last snapshot
	stable       uint64      // the log's end on this member's own disk
	unsynced     []batchMark // batches that are on their way to the disk

	votes           map[string]bool
	uncertainVoters map[string]bool // voters that may have lost acknowledged entries
	progress        map[string]*progress
	leaderSeen      bool // a leader was heard since the start
	round           uint64
	reads           []pendingRead

	now           flow.Time
	electionDue   flow.Time
	heartbeatDue  flow.Time
	heartbeatSent flow.Time
	leaderHeard   flow.Time
	quorumHeard   flow.Time
	leaderSince   flow.Time
	heardAt       map[string]flow.Time // when each member was last heard
	election      Election

	out Out
}

// New starts a member from what its disk holds.
func New(now flow.Time, config Config) *Raft {
	node := &Raft{
		id:                config.ID,
		invariants:        config.Invariants,
		savedVote:         ballot{config.Hard.Term, config.Hard.Vote},
		random:            config.Rand,
		heartbeatInterval: config.HeartbeatInterval,
		electionTimeout:   config.ElectionTimeout,
		messageEntries:    maxMessageEntries,
		hard:              config.Hard,
		now:               now,
		leaderHeard:       now,
		role:              Follower,
		confsByIndex:      map[uint64]Conf{},
		progress:          map[string]*progress{},
		heardAt:           map[string]flow.Time{},
	}
	if config.MaxMessageEntries > 0 {
		node.messageEntries = config.MaxMessageEntries
	}
	if config.Snapshot != nil {
		node.setSnapshot(config.Snapshot)
	}
	for _, entry := range config.Entries {
		if entry.Index == node.lastIndex()+1 {
			node.appendEntry(entry)
		}
	}
	node.stable = node.lastIndex()
	// What was known to be committed is applied at once, and not when the first
	// leader speaks: then others wait for it.
	node.commit = max(node.commit, min(config.Hard.Commit, node.lastIndex()))
	node.resetElectionTimer()
	return node
}

func (r *Raft) appendEntry(entry flow.Entry) {
	r.log = append(r.log, entry)
	if entry.Kind != EntryConf {
		return
	}
	if conf, ok := decodeConf(entry.Data); ok {
		r.confsByIndex[entry.Index] = conf
		r.useNewestConf()
	}
}

func (r *Raft) lastIndex() uint64 { return r.base.Index + uint64(len(r.log)) }

func (r *Raft) lastTerm() uint64 {
	term, _ := r.termAt(r.lastIndex())
	return term
}

// termAt gives the term of the entry at an index, if it is still known.
func (r *Raft) termAt(index uint64) (uint64, bool) {
	if index == r.base.Index {
		return r.base.Term, true
	}
	if index < r.base.Index || index > r.lastIndex() {
		return 0, false
	}
	return r.entryAt(index).Term, true
}

// entryAt gives an entry of the log, which must hold the index.
func (r *Raft) entryAt(index uint64) flow.Entry { return r.log[index-r.base.Index-1] }

// Role is what the member does now.
func (r *Raft) Role() Role { return r.role }

// Term is the newest term that the member knows.
func (r *Raft) Term() uint64 { return r.hard.Term }

// Cluster is the id of the member's cluster, empty while it is blank.
func (r *Raft) Cluster() string { return r.hard.Cluster }

// Conf is the membership in force here.
func (r *Raft) Conf() Conf { return r.conf }

// Applied is the index of the last entry handed to the ledger.
func (r *Raft) Applied() uint64 { return r.applied }

// Commit is the highest index known to be committed.
func (r *Raft) Commit() uint64 { return r.commit }

// Since is when this member became the leader.
func (r *Raft) Since() flow.Time { return r.leaderSince }

// Blank says that the member belongs to no cluster yet.
func (r *Raft) Blank() bool { return r.hard.Cluster == "" }

// LogLen is how many entries are in memory.
func (r *Raft) LogLen() int { return len(r.log) }

// LeaderID is the leader of this term as far as it is known.
func (r *Raft) LeaderID() string { return r.leader }

// Unsure says that entries which the member acknowledged may be gone (design 4.6).
func (r *Raft) Unsure() bool { return r.hard.Unsure }

// Match is the highest index that a leader knows a member to hold.
func (r *Raft) Match(id string) uint64 {
	if peer := r.progress[id]; peer != nil {
		return peer.match
	}
	return 0
}

// LeaderAddr gives where the leader is thought to be.
func (r *Raft) LeaderAddr() string {
	if i := r.conf.Find(r.leader); i >= 0 {
		return r.conf.Members[i].Addr
	}
	return ""
}

// Ready says that the leader has committed in its own term (design 4.3).
func (r *Raft) Ready() bool {
	term, ok := r.termAt(r.commit)
	return r.role == Leader && ok && term == r.hard.Term
}

func (r *Raft) hardState() *flow.Hard {
	hard := r.hard
	hard.Commit = r.commit
	return &hard
}

func (r *Raft) save(s flow.Save) { r.out.Saves = append(r.out.Saves, s) }

func (r *Raft) saveHardState() {
	r.checkVote()
	r.save(flow.Save{Hard: r.hardState()})
}

// ballot is a vote with its term.
type ballot struct {
	term uint64
	vote string
}

// checkVote finds a term that went back, and a vote that changed within its term.
func (r *Raft) checkVote() {
	now, was := ballot{r.hard.Term, r.hard.Vote}, r.savedVote
	if now.term < was.term || now.term == was.term && was.vote != "" && now.vote != was.vote {
		r.invariants.Violated(invariant.VoteChanged, "term", now.term, "vote", now.vote, "earlier_term", was.term, "earlier_vote", was.vote)
	}
	r.savedVote = now
}

// Propose appends a command and gives its index and term. What followers or a later start
// could not read is not appended: every later entry would wait behind it for good.
func (r *Raft) Propose(kind string, data json.RawMessage) (uint64, uint64, error) {
	if r.role != Leader {
		return 0, 0, ErrNotLeader
	}
	if err := flow.CheckCarried(data); err != nil {
		return 0, 0, err
	}
	entry := flow.Entry{Index: r.lastIndex() + 1, Term: r.hard.Term, Kind: kind, Data: data}
	r.appendEntry(entry)
	r.save(flow.Save{Hard: r.hardState(), Add: []flow.Entry{entry}})
	for _, member := range r.conf.Members {
		r.replicate(member.ID)
	}
	return entry.Index, entry.Term, nil
}

// Mark notes that all that was given out to be saved so far is in the batch of
// this number.
func (r *Raft) Mark(batch uint64) {
	r.unsynced = append(r.unsynced, batchMark{batch, r.lastIndex()})
}

// Synced says that the batches up to a number are on disk.
func (r *Raft) Synced(batch uint64) {
	for len(r.unsynced) > 0 && r.unsynced[0].batch <= batch {
		r.stable = max(r.stable, r.unsynced[0].last)
		r.unsynced = r.unsynced[1:]
	}
}

// handlers take the messages of each kind.
var handlers = map[MessageKind]func(*Raft, Message){
	MessagePreVote:         (*Raft).handlePreVote,
	MessagePreVoteResponse: (*Raft).handlePreVoteResponse,
	MessageVote:            (*Raft).handleVote,
	MessageVoteResponse:    (*Raft).handleVoteResponse,
	MessageAppend:          (*Raft).handleAppend,
	MessageAppendResponse:  (*Raft).handleAppendResponse,
	MessageSnapshotOffer:   (*Raft).handleSnapshotOffer,
	MessageTimeoutNow:      (*Raft).handleTimeoutNow,
}

// Step takes one message. Now must have been called for the time it came at.
func (r *Raft) Step(message Message) {
	if message.ToID != r.id {
		return
	}
	handle, known := handlers[message.Kind]
	if !known {
		return
	}
	r.noteMessage(message)
	if r.ignoresVoteRequest(message) {
		r.respond(message, Message{Kind: message.Kind.voteResponse(), Refusal: RefusalHearsLeader})
		return
	}
	r.observeTerm(message)
	handle(r, message)
}

// observeTerm follows a newer term. A pre-vote names a term that nobody is in
// yet, and so does the answer that grants it.
func (r *Raft) observeTerm(message Message) {
	if message.Term <= r.hard.Term || message.Kind == MessagePreVote {
		return
	}
	if message.Kind == MessagePreVoteResponse && message.OK {
		return
	}
	leader := ""
	if message.Kind.isFromLeader() {
		leader = message.From
	}
	r.becomeFollower(message.Term, leader)
}

func (r *Raft) becomeFollower(term uint64, leader string) {
	if r.role == Leader {
		r.out.Lost = true
		r.reads = nil
	}
	r.role, r.leader = Follower, leader
	if term > r.hard.Term {
		r.hard.Term, r.hard.Vote = term, ""
		r.saveHardState()
	}
	r.resetElectionTimer()
}

// Advance does what is due at a time and gives what the caller is to do.
func (r *Raft) Advance(now flow.Time) Out {
	r.now = now
	if r.role == Leader {
		r.lead()
	} else if now >= r.electionDue {
		r.preCampaign()
	}
	r.applyCommitted()
	out := r.out
	r.out = Out{}
	return out
}

// Now sets the time that messages stepped from here on are taken at.
func (r *Raft) Now(now flow.Time) { r.now = now }

func (r *Raft) applyCommitted() {
	for r.applied < r.commit && r.applied < r.lastIndex() {
		r.applied++
		entry := r.entryAt(r.applied)
		r.appliedBytes += len(entry.Data)
		r.out.Applied = append(r.out.Applied, Applied{Entry: entry})
	}
}

// send sends to a member of the configuration in force.
func (r *Raft) send(id string, message Message) {
	i := r.conf.Find(id)
	if i < 0 {
		return
	}
	message.From, message.ToID = r.id, id
	r.out.Messages = append(r.out.Messages, Envelope{r.conf.Members[i].Addr, message})
}

// respond answers a member that this one's own configuration may not know yet.
func (r *Raft) respond(request, response Message) {
	response.From, response.ToID = r.id, request.From
	r.out.Messages = append(r.out.Messages, Envelope{Message: response})
}
