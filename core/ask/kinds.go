package ask

import "fernlink/core/ledger"

// The asks that the store's leader answers itself, beside the ledger's commands and
// questions. Package store has a type for the body of each; the names stand in the
// lines between nodes and never change.
const (
	KindRenew         ledger.Kind = "renew"         // store.Renew
	KindCoordRenew    ledger.Kind = "coord.renew"   // store.CoordRenew
	KindCoordTake     ledger.Kind = "coord.take"    // store.TakeCoord
	KindCoordLeave    ledger.Kind = "coord.leave"   // store.LeaveCoord
	KindGone          ledger.Kind = "gone"          // store.Gone
	KindMembers       ledger.Kind = "store.list"    // store.ListMembers
	KindMemberAdd     ledger.Kind = "store.add"     // store.AddMember
	KindMemberPromote ledger.Kind = "store.promote" // store.PromoteMember
	KindMemberRemove  ledger.Kind = "store.remove"  // store.RemoveMember
	KindMemberStops   ledger.Kind = "store.stop"    // store.StopNotice
	KindHolding       ledger.Kind = "store.holding" // store.GetHolding
)

// ofLeases are the asks that go by lines of their own (LeaseLine).
var ofLeases = map[ledger.Kind]bool{KindRenew: true, KindCoordRenew: true, KindCoordTake: true}
