package sim

import (
	"fmt"
	"strings"
	"time"

	"github.com/go-json-experiment/json/v1"

	"fernlink/core/flow"
	"fernlink/core/sorted"
)

// The platform's list of a site's engines.

// show puts the list as it is now where all read it, after its lag.
func (s *Site) show() {
	list := append([]listing(nil), s.next...)
	put := func() {
		s.shown = list
		on := map[*SiteEngine]bool{}
		for _, l := range list {
			on[l.e] = l.state == "ready"
		}
		for _, e := range s.Engines {
			_, listed := on[e]
			e.listed = e.listed || listed
			if e.listed && !on[e] && e.gone == 0 {
				e.gone = s.w.Now
			}
		}
	}
	if s.w.Now == 0 {
		put()
		return
	}
	s.w.After(s.ListLag, put)
}

// relist changes one engine's entry; "" takes it off.
func (s *Site) relist(e *SiteEngine, state string) {
	var next []listing
	found := false
	for _, l := range s.next {
		if l.e == e {
			found = true
			l.state = state
			if state == "" {
				continue
			}
		}
		next = append(next, l)
	}
	if !found && state != "" {
		next = append(next, listing{e, state})
	}
	s.next = next
	s.show()
}

// pageSize is how many engines are on one page of the list.
const pageSize = 5

func (s *Site) list(h *Host, life int, x flow.Send) {
	s.Calls++
	sec := int64(s.w.Now / time.Second)
	s.listed[sec]++
	if s.Dark {
		return
	}
	answer := func(code int, body any) {
		b, _ := json.Marshal(body)
		s.w.Out.back("platform", h, life, flow.Back{ID: x.ID, End: true, Code: code, Body: b})
	}
	if s.listed[sec] > s.Rate {
		s.Count["list refusals"]++
		answer(429, struct{}{})
		return
	}
	from := 0
	if _, q, ok := strings.Cut(x.URL, "PageToken=p-"); ok {
		_, _ = fmt.Sscanf(q, "%d", &from)
	}
	page := map[string]any{"NextToken": nil}
	rows := []any{}
	for i := from; i < min(from+pageSize, len(s.shown)); i++ {
		e := s.shown[i].e
		models := []any{}
		for _, m := range sorted.Keys(e.Models) {
			models = append(models, map[string]any{"Label": m, "Revision": e.Models[m], "Loras": []any{}})
		}
		rows = append(rows, map[string]any{"InstanceId": e.ID, "Backend": e.Pool, "Address": e.Addr, "Zone": e.Zone, "Revision": "v1", "Capacity": e.Slots,
			"State": s.shown[i].state, "WarmupLeftMs": max(0, (e.warm - s.w.Now).Milliseconds()), "Phase": "mixed", "Models": models})
	}
	if from+pageSize < len(s.shown) {
		page["NextToken"] = fmt.Sprintf("p-%d", from+pageSize)
	}
	page["Instances"] = rows
	answer(200, page)
}
