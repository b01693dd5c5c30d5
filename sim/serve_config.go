package sim

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-json-experiment/json/v1"

	"fernlink/core/flow"
)

// siteRoute is one route of a configuration.
type siteRoute struct {
	Name, Host, Path, Kind string
	Pools                  []string
	Resumable              bool
}

// What became of a configuration.
const (
	cfgOpen    = "open" // sent, or without a clear answer
	cfgTaken   = "taken"
	cfgRefused = "refused"
)

// siteConfig is one configuration that an operator sent.
type siteConfig struct {
	Rev, Base int
	Routes    []siteRoute
	Valid     bool
	body      []byte
	sent      time.Duration
	State     string
	Acked     time.Duration
	unclear   bool
	patch     bool // body is a change of the version that it was made from
}

// find gives the route with the longest prefix.
func (c *siteConfig) find(host, path string) *siteRoute {
	var best *siteRoute
	for i := range c.Routes {
		r := &c.Routes[i]
		if r.Host == host && strings.HasPrefix(path, r.Path) && (best == nil || len(r.Path) > len(best.Path)) {
			best = r
		}
	}
	return best
}

// allows says whether a configuration lets a pool run a path, or, without a
// pool, whether it has no route there.
func (c *siteConfig) allows(host, path, pool string) bool {
	r := c.find(host, path)
	if pool == "" {
		return r == nil
	}
	return r != nil && slices.Contains(r.Pools, pool)
}

const siteName = "rollouts.example"

// baseRoutes are those of the first configuration.
func (s *Site) baseRoutes() []siteRoute {
	return []siteRoute{
		{"book", siteName, "/book/", "idempotent", []string{"app"}, false},
		{"pay", siteName, "/pay/", "mutating", []string{"app"}, false},
		{"chat", siteName, "/chat/", "streaming", []string{"llm", "llm2"}, true},
		{"talk", siteName, "/talk/", "streaming", []string{"llm"}, false},
		{"sync", siteName, "/sync/", "sampling", []string{"llm", "llm2"}, true},
	}
}

func (s *Site) body(c *siteConfig) []byte {
	routes := []any{}
	for _, r := range c.Routes {
		x := map[string]any{"Label": r.Name, "Hostname": r.Host, "PathPrefix": r.Path, "RouteKind": r.Kind, "LimitMs": 2000, "TargetMs": 150, "Rank": len(r.Name) % 3, "MaxTries": siteTries}
		if len(r.Pools) == 1 {
			x["Backend"] = r.Pools[0]
		} else {
			split := []any{}
			for _, p := range r.Pools {
				split = append(split, map[string]any{"Backend": p, "Share": 50})
			}
			x["TrafficSplit"] = split
		}
		if strings.HasPrefix(r.Pools[0], "llm") {
			x["LimitMs"], x["TargetMs"], x["Sticky"], x["Resumable"] = 8000, 500, true, r.Resumable
		}
		if r.Kind == "sampling" {
			x["MaxWaitS"], x["DueMs"], x["OnPolicy"] = 40.0, 5000, s.Shape.Single
		}
		routes = append(routes, x)
	}
	pools := []any{}
	for _, p := range []string{"app", "other", "llm", "llm2"} {
		x := map[string]any{"Label": p, "HealthPath": "/health", "MaxConns": 160, "Protocol": "h1", "Tls": false}
		if strings.HasPrefix(p, "llm") {
			x["Engine"] = map[string]any{"Capacity": s.Shape.Slots, "KvCapacity": s.Shape.Memory, "Models": []any{map[string]any{"Label": siteModel}}}
		}
		pools = append(pools, x)
	}
	b, _ := json.Marshal(map[string]any{"Revision": c.Rev, "RouteTable": routes, "Backends": pools,
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 33554432, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}})
	return b
}

// Newest gives the newest configuration that was acknowledged.
func (s *Site) Newest() *siteConfig {
	var best *siteConfig
	for _, c := range s.Configs {
		if c.State == cfgTaken && (best == nil || c.Rev > best.Rev) {
			best = c
		}
	}
	return best
}

// Configure sends a configuration made by change on top of a version, and tries
// again until the answer is clear, for as long as most.
func (s *Site) Configure(base int, change func([]siteRoute) []siteRoute, most time.Duration, then func(*siteConfig)) *siteConfig {
	hosts := s.w.By("dispatcher")
	return s.configureAt(hosts[s.w.Rand.Intn(len(hosts))], base, change, most, then)
}

// configureAt does so and sends the first call to one machine.
func (s *Site) configureAt(h *Host, base int, change func([]siteRoute) []siteRoute, most time.Duration, then func(*siteConfig)) *siteConfig {
	var routes []siteRoute
	for _, c := range s.Configs {
		if c.Valid && c.Rev == base && c.State != cfgRefused {
			routes = slices.Clone(c.Routes)
		}
	}
	rev := base + 1 + s.w.Rand.Intn(3)
	for slices.ContainsFunc(s.Configs, func(c *siteConfig) bool { return c.Rev == rev }) {
		rev++ // a number stands for one content, so that what is read back can be told
	}
	c := &siteConfig{Rev: rev, Base: base, Routes: change(routes), Valid: true, State: cfgOpen, sent: s.w.Now}
	c.body = s.body(c)
	if c.patch = base > 0 && s.w.Rand.Intn(2) == 0; c.patch {
		c.body = s.patchBody(routes, c)
	}
	s.Configs = append(s.Configs, c)
	s.putAt(h, c, s.w.Now+most, 100*time.Millisecond, then)
	return c
}

// Invalid sends a configuration that must be refused.
func (s *Site) Invalid(spoil func(map[string]any)) *siteConfig {
	base := 0
	if n := s.Newest(); n != nil {
		base = n.Rev
	}
	c := &siteConfig{Rev: base + 50, Base: base, Routes: []siteRoute{{"bad", siteName, "/bad/", "idempotent", []string{"app"}, false}}, State: cfgOpen, sent: s.w.Now}
	var doc map[string]any
	_ = json.Unmarshal(s.body(c), &doc)
	spoil(doc)
	if n, ok := doc["Revision"].(int); ok {
		c.Rev = n
	}
	c.body, _ = json.Marshal(doc)
	s.Configs = append(s.Configs, c)
	s.put(c, s.w.Now+s.Bounds.Ack, 100*time.Millisecond, nil)
	return c
}

// anotherThan gives the machine that an operator goes on to after one that failed it:
// any other, as the platform's callers do.
func (s *Site) anotherThan(failed *Host) *Host {
	hosts := slices.DeleteFunc(s.w.By("dispatcher"), func(h *Host) bool { return h == failed })
	if len(hosts) == 0 {
		return failed
	}
	return hosts[s.w.Rand.Intn(len(hosts))]
}

func (s *Site) put(c *siteConfig, limit, pause time.Duration, then func(*siteConfig)) {
	hosts := s.w.By("dispatcher")
	s.putAt(hosts[s.w.Rand.Intn(len(hosts))], c, limit, pause, then)
}

func (s *Site) putAt(h *Host, c *siteConfig, limit, pause time.Duration, then func(*siteConfig)) {
	done := false
	end := func(code int) {
		if done {
			return
		}
		done = true
		s.Count[fmt.Sprint("configs ", code)]++
		switch {
		case code == 200:
			if !c.Valid {
				s.wrong("CONFIG", "the invalid configuration %d was acknowledged", c.Rev)
			}
			c.State, c.Acked = cfgTaken, s.w.Now
		case code == 400 || code == 409 || code == 412 || code == 413 || code == 422:
			if c.unclear {
				break // an earlier call may have been taken, and its version passed since
			}
			c.State = cfgRefused
		case s.w.Now < limit:
			c.unclear = c.unclear || code != 429 && code != 503 && code != 408
			s.w.After(pause, func() { s.putAt(s.anotherThan(h), c, limit, min(2*pause, time.Second), then) })
			return
		default:
			c.unclear = true
			if c.Valid && max(s.coreBad+s.Bounds.Contact, s.linkBad) < c.sent {
				s.wrong("ACK", "the configuration %d, sent at %v, has no answer while the core is settled", c.Rev, c.sent)
			}
		}
		if then != nil {
			then(c)
		}
	}
	s.Listener(h, "control", c.verb(), "/config", "", []flow.Field{{Name: "If-Match", Value: strconv.Itoa(c.Base)}}, c.body, func(r flow.Reply) {
		if r.Code == 200 && !strings.HasPrefix(string(c.body), "{") {
			return
		}
		end(r.Code)
	})
	s.w.After(patienceFor(c.body), func() { end(0) })
}

// Again sends an acknowledged configuration once more, as it was first sent, to any
// machine.
func (s *Site) Again(c *siteConfig) {
	hosts := s.w.By("dispatcher")
	h := hosts[s.w.Rand.Intn(len(hosts))]
	fields := []flow.Field{{Name: "If-Match", Value: strconv.Itoa(c.Base)}}
	s.Listener(h, "control", c.verb(), "/config", "", fields, c.body, func(r flow.Reply) {
		s.Count[fmt.Sprint("configs again ", r.Code)]++
		if refusedClearly(r.Code) {
			s.wrong("CONFIG", "version %d was acknowledged, and is refused with %d when it is sent again to %s", c.Rev, r.Code, h.Name)
		}
	})
}

// refusedClearly says whether a caller would give an order up after this answer.
func refusedClearly(code int) bool {
	return code/100 == 4 && code != 408 && code != 421 && code != 429
}

// ReadBack asks for the configuration until one comes, and checks it.
func (s *Site) ReadBack(limit time.Duration) {
	hosts := s.w.By("dispatcher")
	got := false
	for try := 0; s.w.Now < limit; try++ {
		h := hosts[try%len(hosts)]
		done := false
		s.Listener(h, "control", "GET", "/config", "", nil, nil, func(r flow.Reply) {
			if done || r.Code != 200 {
				return
			}
			done, got = true, true
			var doc struct{ Revision int }
			_ = json.Unmarshal(r.Body, &doc)
			n := s.Newest()
			if n != nil && doc.Revision < n.Rev {
				s.wrong("CONFIG", "version %d is read at the end from %s, %d was acknowledged", doc.Revision, h.Name, n.Rev)
			}
			same := false
			for _, c := range s.Configs {
				if c.Rev == doc.Revision && c.State != cfgRefused {
					same = same || sameConfig(s.body(c), r.Body)
				}
			}
			if !same {
				s.wrong("CONFIG", "version %d is read back with other bytes than it was sent with", doc.Revision)
			}
		})
		s.w.Until(time.Second, func() bool { return done })
		if try >= 2*len(hosts) && got {
			return
		}
	}
	if !got {
		s.wrong("CONFIG", "no configuration could be read at the end")
	}
}

// proper says whether every configuration that may be in force for a request has
// a route for it.
func (s *Site) proper(t *siteTry) bool {
	least := 0
	for _, c := range s.Configs {
		if c.State == cfgTaken && c.Acked <= t.sent-s.Bounds.Apply {
			least = max(least, c.Rev)
		}
	}
	for _, c := range s.Configs {
		if c.State != cfgRefused && c.Rev >= least && c.find(t.host, t.path) == nil {
			return false
		}
	}
	return true
}

// handled checks what a machine did with a request against what may be in force.
// Without a pool, it said that there is no route.
func (s *Site) handled(t *siteTry, pool string) {
	any, ever := false, false
	least := 0 // the newest version that is surely in force for the request
	if s.InTouch(t.at, t.sent) {
		s.Count["handled in touch"]++
		for _, c := range s.Configs {
			if c.State == cfgTaken && c.Acked <= t.sent-s.Bounds.Apply {
				least = max(least, c.Rev)
			}
		}
	}
	floors := s.floors[t.life]
	back := 0
	for _, f := range floors {
		if t.sent > f.at+s.Bounds.Revert {
			back = max(back, f.rev)
		}
	}
	first := -1
	late, gone := true, true
	if pool == "" && least == 0 {
		any, ever, late, gone = true, true, false, false
	}
	for _, c := range s.Configs {
		if c.State == cfgRefused || c.sent > s.w.Now || !c.allows(t.host, t.path, pool) {
			if c.State == cfgRefused && c.allows(t.host, t.path, pool) {
				ever = true
			}
			continue
		}
		any, ever = true, true
		if first < 0 || c.Rev < first {
			first = c.Rev
		}
		late = late && c.Rev < least
		gone = gone && c.Rev < back
	}
	switch {
	case !any && pool == "":
		return // the count of refusals has it
	case !ever:
		s.wrong("ROUTE", "%s%s was run by %s, which no configuration allows", t.host, t.path, pool)
	case !any:
		s.wrong("CONFIG", "%s%s was handled by %s as only a refused configuration allows", t.host, t.path, t.at.Name)
	case late:
		s.wrong("CONFIG", "%s%s (%q) at %s, sent %v, as only versions under %d allow", t.host, t.path, pool, t.at.Name, t.sent, least)
	case gone:
		s.wrong("CONFIG", "%s went back: %s%s (%q) sent %v, as only versions under %d allow", t.at.Name, t.host, t.path, pool, t.sent, back)
	}
	if pool != "" && first > 0 && (len(floors) == 0 || first > floors[len(floors)-1].rev) {
		s.floors[t.life] = append(floors, floor{first, s.w.Now})
	}
}
