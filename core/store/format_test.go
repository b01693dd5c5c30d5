package store

import (
	"testing"

	"fernlink/core/gossip"
	"fernlink/core/ledger"
	"fernlink/core/raft"
)

// Guards against members of two builds that come to different states during an upgrade.
//
// Given members, when one that is heard applies an older format of the log, then what needs
// the newer one is refused as unknown, so that whoever asks goes the old way.
func TestPartsWaitUntilAllMembersKnowThem(t *testing.T) {
	l := newLone(t)
	conf := l.store.raft.Conf().With(raft.Member{ID: "x", Addr: "x:1"})
	if _, _, err := l.store.raft.Change(conf); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		live []gossip.Entry
		want bool
	}{
		{nil, true},
		{[]gossip.Entry{{ID: "x", Format: ledger.FormatLotParts}}, true},
		{[]gossip.Entry{{ID: "x"}}, false},
		{[]gossip.Entry{{ID: "stranger"}}, true},
	} {
		l.store.live = c.live
		if got := l.store.membersApply(formats[ledger.KindLotPart]); got != c.want {
			t.Errorf("%+v: %v", c.live, got)
		}
		if !l.store.membersApply(formats[ledger.KindLotPut]) {
			t.Error("what earlier builds know is refused")
		}
	}
}
