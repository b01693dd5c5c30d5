package sim

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"fernlink/core/flow"
	"fernlink/core/raft"
)

// Storage gives the storage machines that are not removed. They run lots.
func (s *Site) Storage() []*Host { return s.w.By("reserve") }

// membership gives the membership that the store's leader has.
func (s *Site) membership() []raft.Member {
	leader := s.w.Leader()
	if leader == nil {
		return nil
	}
	return leader.Node.Stats(leader.clock()).Store.Members
}

// emptyPause is how often an operator asks how far a machine is.
const emptyPause = 500 * time.Millisecond

// Empty has an operator empty a storage machine, who removes it with its disk as
// soon as any node says that it is empty.
func (s *Site) Empty(h *Host) {
	s.w.Every(emptyPause, func() bool {
		hosts := s.up(s.Dispatchers())
		if h.Retired {
			return false
		}
		if len(hosts) == 0 {
			return true
		}
		at := hosts[s.w.Rand.Intn(len(hosts))]
		s.Listener(at, "control", "POST", "/retire/"+h.Config.Name, "", nil, []byte(`{"RampS":5}`), func(r flow.Reply) {
			s.Count[fmt.Sprint("retire ", r.Code)]++
			if r.Code == 200 && strings.Contains(string(r.Body), "complete") && !h.Retired {
				s.remove(h)
			}
		})
		return true
	})
}

// remove takes an emptied machine away with its disk.
func (s *Site) remove(h *Host) {
	s.Count["machines emptied"]++
	s.Touch(h)
	h.Lose(true)
	h.Retired = true
}

// Owners gives the storage machines that sent the newest items of open lots.
func (s *Site) Owners() []*Host {
	var owners []*Host
	for _, l := range s.lots {
		h := s.senders[l]
		if l.ended == 0 && h != nil && h.works() && h.Has("reserve") && !slices.Contains(owners, h) {
			owners = append(owners, h)
		}
	}
	return owners
}

// sentBy counts the items of machines by what they serve, and keeps which machine
// sent the newest item of each lot.
func (s *Site) sentBy(i *siteItem, h *Host) {
	from := "items from storage machines"
	if h.Has("dispatcher") {
		from = "items from machines that serve clients"
	}
	s.Count[from]++
	for _, l := range i.lots {
		s.senders[l] = h
	}
}
