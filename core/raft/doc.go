// Package raft is fernlink's own replicated log (design 4): Raft with pre-vote,
// check-quorum, read-index reads, learners, leadership transfer and one change
// of membership at a time.
//
// The package owns one member's term, vote, log and configuration, and decides
// what is committed. It is a deterministic state machine: it touches no socket,
// file or clock. Its only callers are core/store, which carries messages and
// saves in and out, and core/raft/explore, which explores its states. A caller
//
//  1. hands in messages with Step, after setting the time with Now,
//  2. calls Advance, and gives Out.Saves to the disk before anything else,
//  3. names the batch of those saves with Mark, and Synced once it is on disk,
//  4. holds back Out.Messages until the saves given out before them are synced.
//
// Step 4 is what makes votes and acknowledgements durable before they are
// spoken (design 4.2). A Raft is not safe for concurrent use.
package raft
