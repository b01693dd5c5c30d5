package serve

import (
	"fmt"
	"testing"
	"time"

	"fernlink/core/flow"
	"fernlink/core/gossip"
	"fernlink/core/ledger"
)

// Guards against lots that take their owner over its memory, several at once.
//
// Given workers of a known memory, when large lots of one pool come and stay open, then each
// goes to one that has room for it, the one beyond all of them is refused with a time to come
// back, and there is room again once one has ended.
func TestOpenLotsStayWithinTheirOwnersMemory(t *testing.T) {
	w := two(t)
	for _, id := range []string{"w1", "w2"} {
		w.others = append(w.others, gossip.Entry{ID: id, Addr: id, Roles: []string{"worker"}, Cpu: 1000, Memory: 20})
	}
	w.turn(10 * time.Millisecond)
	doc := bulky(40) // 1.6 MB of the 5 MB that each worker has for lots
	owners := map[string]int{}
	refused := ""
	for n := 0; n < 20 && refused == ""; n++ {
		lot := fmt.Sprint("lot", n)
		call := w.handInDoc(lot, doc)
		w.pass(100 * time.Millisecond)
		if r := w.reply(call); r.Code != 202 {
			w.want(r.Code == 503 && r.Head["Retry-After"] != "", "lot %d: %d %s", n, r.Code, r.Body)
			refused = lot
			break
		}
		owners[w.led.Lots[lot].Doc.Owner]++
		w.renew(nil)
	}
	w.want(refused != "" && len(owners) == 2 && owners["w1.0"] == owners["w2.0"] && owners["w1.0"] >= 2, "owners %v, refused %q", owners, refused)
	w.call("lot.end", flow.Call{Vars: map[string]string{"id": "lot0"}})
	w.pass(100 * time.Millisecond)
	w.renew(nil)
	call := w.handInDoc(refused, doc)
	w.pass(100 * time.Millisecond)
	w.want(w.reply(call).Code == 202, "once one has ended: %d", w.reply(call).Code)
}

// Given a lot of many small headers, when its items are counted, then they count for what
// they take in memory, which is far more than their bytes.
func TestSmallHeadersCountForTheirMemory(t *testing.T) {
	w := two(t)
	w.others = []gossip.Entry{{ID: "w1", Addr: "w1", Roles: []string{"worker"}, Cpu: 1000, Memory: 16}}
	w.turn(10 * time.Millisecond)
	doc := ledger.LotDoc{Model: "m", Items: []ledger.LotItem{{ID: "i", Path: "/l/i"}}}
	for n := range 80_000 {
		doc.Items[0].Fields = append(doc.Items[0].Fields, flow.Field{Name: fmt.Sprint("X", n)})
	}
	call := w.handInDoc("odd", doc)
	w.pass(100 * time.Millisecond)
	w.want(w.reply(call).Code == 503, "it is taken: %d", w.reply(call).Code)
}
