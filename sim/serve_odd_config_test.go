package sim

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"fernlink/core/flow"
)

// deepestField is how deep an operator's field may be nested so that its document can still
// be read: the reader takes 10,000 levels, of which the document itself is one.
const deepestField = 9_999

// nested is a list that is nested so deep.
func nested(levels int) string {
	return strings.Repeat("[", levels) + strings.Repeat("]", levels)
}

// newestOf gives the version that the next change is made from.
func (s *Site) newestOf(t *testing.T) int {
	t.Helper()
	c := s.Newest()
	if c == nil {
		t.Fatal("no configuration was taken")
	}
	return c.Rev
}

// tell sends an operator's document to one machine after the other until an answer is clear,
// and gives that answer.
func (s *Site) tell(t *testing.T, verb string, base int, document string) int {
	t.Helper()
	code := 0
	for try := 0; try < 8 && (code == 0 || code/100 == 5); try++ {
		hosts := s.w.By("dispatcher")
		done := false
		s.Listener(hosts[try%len(hosts)], "control", verb, "/config", "", []flow.Field{{Name: "If-Match", Value: strconv.Itoa(base)}}, []byte(document), func(r flow.Reply) {
			code, done = r.Code, true
		})
		s.w.Until(time.Second, func() bool { return done })
	}
	return code
}

// readConfig asks all dispatchers for the configuration, and gives what each answered.
func (s *Site) readConfig(t *testing.T, limit time.Duration) map[string]string {
	t.Helper()
	got := map[string]string{}
	for _, h := range s.w.By("dispatcher") {
		for end := s.w.Now + limit; s.w.Now < end && got[h.Name] == ""; {
			done := false
			s.Listener(h, "control", "GET", "/config", "", nil, nil, func(r flow.Reply) {
				if done = true; r.Code == 200 {
					got[h.Name] = string(r.Body)
				}
			})
			s.w.Until(time.Second, func() bool { return done })
			s.w.Run(100 * time.Millisecond)
		}
	}
	return got
}

// withField puts a field before those of a document.
func withField(document []byte, field string) string {
	return "{" + field + "," + string(bytes.TrimSpace(document)[1:])
}

// Guards against an acknowledged configuration that no store can read back from its disk.
//
// Given a configuration that is nested as deep as can be read, and a change of named items
// that is, when all processes are killed, then they start again and both are read back.
func TestSiteADeepConfigurationOutlivesAKill(t *testing.T) {
	t.Parallel()
	for _, levels := range []int{10, 9_980, 9_992, 9_996, deepestField} {
		s := site(t, 31, LittleSite)
		base := s.newestOf(t)
		c := &siteConfig{Rev: base + 5, Routes: s.baseRoutes()}
		deep := withField(s.body(c), `"Notes":`+nested(levels))
		if code := s.tell(t, "PUT", base, deep); code != 200 {
			t.Fatalf("%d levels: answered %d", levels, code)
		}
		route := fmt.Sprintf(`{"Label":"added","Hostname":%q,"PathPrefix":"/added/","RouteKind":"idempotent","LimitMs":2000,"Backend":"app","Notes":%s}`, siteName, nested(max(levels-4, 1)))
		change := fmt.Sprintf(`{"Revision":%d,"Upsert":{"RouteTable":[%s]}}`, base+7, route)
		if code := s.tell(t, "PATCH", base+5, change); code != 200 {
			t.Fatalf("%d levels: the change was answered %d", levels, code)
		}
		s.w.Run(2 * time.Second)
		for _, h := range s.w.Hosts {
			h.Kill()
		}
		for _, h := range s.w.Hosts {
			h.Start()
		}
		s.w.Run(5 * time.Second)
		got := s.readConfig(t, 12*time.Second)
		for _, h := range s.w.By("dispatcher") {
			text := got[h.Name]
			if !strings.Contains(text, `"Notes":`+nested(levels)) || !strings.Contains(text, route) || !strings.Contains(text, fmt.Sprintf(`"Revision":%d`, base+7)) {
				t.Fatalf("%d levels: %s reads back %d bytes, %.80s; its log: %q", levels, h.Name, len(text), text, h.Notes)
			}
		}
	}
}

// Guards against a change that is acknowledged and after which the configuration is read back
// without its services and all other routes.
//
// Given a configuration in which names stand twice and a text holds half a pair, when named
// items of it are changed, then all of it is read back but for what was changed.
func TestSiteAnOddConfigurationIsChanged(t *testing.T) {
	t.Parallel()
	s := site(t, 32, LittleSite)
	base := s.newestOf(t)
	c := &siteConfig{Rev: base + 5, Routes: s.baseRoutes()}
	odd := `"Notes":1,"Notes":"\ud800","Notes":{"a":1,"a":2}`
	if code := s.tell(t, "PUT", base, withField(s.body(c), odd)); code != 200 {
		t.Fatalf("answered %d", code)
	}
	const route = `{"Label":"added","Hostname":"` + siteName + `","PathPrefix":"/added/","RouteKind":"idempotent","LimitMs":2000,"Backend":"app","Notes":1,"Notes":2}`
	change := fmt.Sprintf(`{"Revision":%d,"Upsert":{"RouteTable":[%s]},"upsert":{"RouteTable":[]}}`, base+7, route)
	if code := s.tell(t, "PATCH", base+5, change); code != 200 {
		t.Fatalf("the change was answered %d", code)
	}
	for name, text := range s.readConfig(t, 5*time.Second) {
		for _, want := range []string{odd, route, `"Label":"book"`, `"Label":"sync"`, `"Backends":[`, `"Limits":{`, fmt.Sprintf(`"Revision":%d`, base+7)} {
			if !strings.Contains(text, want) {
				t.Errorf("%s reads back without %s:\n%.300s", name, want, text)
			}
		}
	}
}
