// Package explore explores the states of the real core/raft code exhaustively,
// up to a stated bound (design 4.11).
//
// A state is a small cluster: each member's Raft, its disk, the saves that are
// not synced yet, what waits for them, the messages in flight and the facts that
// the invariants speak of (what was committed, who led, which reads are open). An
// action delivers, overtakes or doubles a message, lets a timer run out, syncs a
// disk, crashes or wipes a member, and so on. A message that is lost is one that
// is never delivered. Run visits each reachable state once, breadth first, by the
// hash of its canonical encoding, and checks the invariants in each.
//
// A Scenario says where the exploration starts, which actions it has and how
// often each may happen; this, the depth and the number of messages in flight
// are its bound. All of a scenario's states are visited unless Result.Truncated.
package explore
