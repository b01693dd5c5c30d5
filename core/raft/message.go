package raft

import "fernlink/core/flow"

// MessageKind says what a message asks or answers. The values are the wire
// format and are shared with members that run an older build.
type MessageKind string

// The kinds of messages.
const (
	MessagePreVote         MessageKind = "pre"
	MessagePreVoteResponse MessageKind = "prer"
	MessageVote            MessageKind = "vote"
	MessageVoteResponse    MessageKind = "voter"
	MessageAppend          MessageKind = "app"
	MessageAppendResponse  MessageKind = "appr"
	MessageSnapshotOffer   MessageKind = "dig"
	MessageTimeoutNow      MessageKind = "now"
)

// isVoteRequest says whether the message asks for a vote or a pre-vote.
func (k MessageKind) isVoteRequest() bool {
	return k == MessagePreVote || k == MessageVote
}

// voteResponse is the kind that answers a vote request.
func (k MessageKind) voteResponse() MessageKind {
	if k == MessagePreVote {
		return MessagePreVoteResponse
	}
	return MessageVoteResponse
}

// isFromLeader says whether only the leader of the message's term sends it.
func (k MessageKind) isFromLeader() bool {
	return k == MessageAppend || k == MessageSnapshotOffer
}

// Message is one Raft message. ToID fences a machine that came back blank: its
// new identity is never the old voter.
type Message struct {
	Kind           MessageKind  `json:"k"`
	From           string       `json:"f"`
	ToID           string       `json:"to"`
	Term           uint64       `json:"t"`
	Index          uint64       `json:"i,omitempty"`
	LogTerm        uint64       `json:"lt,omitempty"`
	Commit         uint64       `json:"c,omitempty"`
	Round          uint64       `json:"r,omitempty"` // heartbeat round that is asked or confirmed
	OK             bool         `json:"ok,omitempty"`
	Hint           uint64       `json:"h,omitempty"` // where a refused append may be tried again
	Entries        []flow.Entry `json:"e,omitempty"`
	UncertainTail  bool         `json:"u,omitempty"`  // the sender may have lost entries that it acknowledged
	LeaderTransfer bool         `json:"mv,omitempty"` // the leader asked for this election
	Refusal        Refusal      `json:"w,omitempty"`  // why a vote was refused
}

// Envelope is a message and the address it goes to. An empty address stands for
// the one that the receiver last spoke from.
type Envelope struct {
	Addr    string
	Message Message
}
