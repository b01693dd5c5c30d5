package site

import (
	"encoding/base64"
	"fmt"
	"math/rand"
	"strings"
	"sync"
	"time"

	"github.com/go-json-experiment/json/v1"
)

// What clients and operators may send within the limits that the pages give them, and seldom
// do: large lots and requests, several at once, and configurations that are deep or odd.

// Bounds of what is sent, in bytes. maxBodyBytes is that of the site's configuration.
const (
	maxBodyBytes   = 33554432
	largestLot     = maxBodyBytes - 1<<20
	smallestLot    = 3 << 20
	largestRequest = 4 << 20
)

// oversize sends lots or requests that are large, several at once.
func oversize(s *soak, random *rand.Rand, length time.Duration) {
	var all sync.WaitGroup
	defer all.Wait()
	for range 1 + random.Intn(3) {
		own := rand.New(rand.NewSource(random.Int63()))
		lot := random.Intn(2) == 0
		all.Add(1)
		go func() {
			defer all.Done()
			if lot {
				s.largeLot(own, length)
				return
			}
			for end := time.Now().Add(length); time.Now().Before(end); {
				s.largeRequest(own)
			}
		}()
	}
}

// largeItems are the requests of a large lot, by their ids.
type largeItems struct {
	document []byte
	bodies   map[string]string
}

// largeDocument makes a lot of about so many bytes: of a few large items or many small ones,
// some of them with many headers.
func (s *soak) largeDocument(random *rand.Rand, bytes int) largeItems {
	items := []int{3, 40, 400, 4000}[random.Intn(4)]
	headers := []int{0, 12, 60}[random.Intn(3)]
	size := max(bytes/items-200-headers*24, 16) * 3 / 4
	made := largeItems{bodies: map[string]string{}}
	requests := []any{}
	text := strings.Repeat("0123456789abcdef", size/16+1)
	for n := range items {
		id := s.id("g")
		body := fmt.Sprint(id, " ", text[:max(size-len(id)-1, 1)])
		made.bodies[id] = body
		head := map[string]string{"Model": model, "Token-Counts": "480,6", "Prompt-Prefix": fmt.Sprintf("7a:300,%d:180", n/4)}
		for k := range headers {
			head[fmt.Sprint("X-Of-The-Trainer-", k)] = "v"
		}
		requests = append(requests, map[string]any{"InstanceId": id, "Path": "/sync/large/" + id, "Body": base64.StdEncoding.EncodeToString([]byte(body)),
			"Tokens": 486, "GroupId": fmt.Sprint("large", n/4), "Headers": head})
	}
	made.document, _ = json.Marshal(map[string]any{"TrainStep": 1, "Model": model, "MinVersion": 1, "Desired": 1, "Requests": requests})
	return made
}

// largeLot hands a large lot in, at one machine after the other, reads of it what may be read,
// and ends it.
func (s *soak) largeLot(random *rand.Rand, length time.Duration) {
	made := s.largeDocument(random, smallestLot+random.Intn(largestLot-smallestLot))
	if len(made.document) > maxBodyBytes {
		return // its headers came to more than was reckoned
	}
	id := s.id("big")
	s.note("lot %s of %d items and %d bytes", id, len(made.bodies), len(made.document))
	head := map[string]string{"Attempt-Id": id, "Content-Type": "application/json"}
	front := func() string { return s.machines[random.Intn(len(s.machines))].front() }
	taken := false
	for end := time.Now().Add(length + 4*time.Second); !taken && time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		code, _, answer, _ := s.ask("POST", front()+"/sync/"+id, host, head, made.document, 5*time.Second)
		if code/100 == 4 && code != 429 {
			s.t.bad("DENIED: the lot %s of %d bytes got %d %.200s", id, len(made.document), code, answer)
			return
		}
		taken = code == 202
	}
	s.note("lot %s is taken: %v", id, taken)
	if !taken {
		return
	}
	time.Sleep(2 * time.Second) // the longest that a node may be behind the hand-in
	s.readLarge(id, made, front)
	for end := time.Now().Add(2 * recoverBound); ; time.Sleep(50 * time.Millisecond) {
		if code, _, _, _ := s.ask("DELETE", front()+"/lots/"+id, host, nil, nil, 1500*time.Millisecond); code == 200 {
			break
		}
		if time.Now().After(end) {
			s.t.bad("LOST: the end of the lot %s was never acknowledged", id)
			return
		}
	}
	now := time.Now()
	s.t.mu.Lock()
	defer s.t.mu.Unlock()
	for item := range made.bodies {
		s.t.ended[item] = now
	}
}

// readLarge reads how many items a lot has, and bodies of items that are not listed.
func (s *soak) readLarge(id string, made largeItems, front func() string) {
	code, _, answer, _ := s.ask("GET", front()+"/lots/"+id+"?SinceToken=0", host, nil, nil, 1800*time.Millisecond)
	var page resultPage
	switch {
	case code == 404:
		s.t.bad("LOST: the lot %s got 404", id)
	case code == 200 && (json.Unmarshal(answer, &page) != nil || page.Total != len(made.bodies)):
		s.t.bad("MIXED: the lot %s of %d items reads %.200s", id, len(made.bodies), answer)
	}
	read := 0
	for item, body := range made.bodies {
		code, _, answer, _ := s.ask("GET", front()+"/items/"+id+"?InstanceId="+item, host, nil, nil, 4*time.Second)
		if code == 200 && string(answer) != body {
			s.t.bad("MIXED: the item %s of %s has a body of %d bytes, not its %d", item, id, len(answer), len(body))
		}
		if read++; read == 5 {
			return
		}
	}
}

// chunked is a body whose length is not told.
type chunked struct{ *strings.Reader }

// largeRequest sends a large request, with a length or in chunks.
func (s *soak) largeRequest(random *rand.Rand) {
	id := s.id("t")
	path := "/book/x?q=" + id
	body := id + strings.Repeat("large", random.Intn(largestRequest/5))
	head := map[string]string{"Attempt-Id": id, "Time-Left-Ms": "2000"}
	m := s.machines[random.Intn(len(s.machines))]
	code, _, answer, err := s.askWith("POST", m.front()+path, host, head, bodyOf(body, random.Intn(2) == 0), 2*time.Second)
	switch {
	case err == nil && code == 200 && string(answer) != fmt.Sprintf("%s at %s: %s", id, path, body):
		s.t.bad("MIXED: %s of %d bytes got %d bytes that are not its answer", id, len(body), len(answer))
	case err == nil && code/100 == 4 && code != 429 && code != 408 && code != 421:
		s.t.bad("DENIED: a request of %d bytes got %d %.200s", len(body), code, answer)
	}
}

// oddFields are fields that no page names, at the beginning of a configuration. Each must be
// taken, and read back as it is.
var oddFields = []string{
	"",
	`"Notes":` + strings.Repeat("[", 9_990) + strings.Repeat("]", 9_990),
	`"Notes":` + strings.Repeat(`{"a":`, 5_000) + "1" + strings.Repeat("}", 5_000),
	`"Notes":1,"Notes":2`,
	`"Notes":"\ud800","Other":1e999`,
	`"Notes":"` + strings.Repeat("long ", 40_000) + `"`,
}

// withOdd puts a field before those of a document.
func withOdd(document []byte, field string) []byte {
	if field == "" {
		return document
	}
	return []byte("{" + field + "," + string(document[1:]))
}

// Routes of a large configuration: in rounds of several troubles, and alone on machines of the
// usual memory.
const (
	manyRoutes = 3_000
	mostRoutes = 30_000
)

// largePlan has the configuration grow to thousands of routes, again and again, and shrink.
func largePlan(s *soak, random *rand.Rand, length time.Duration) {
	routes := 1 + random.Intn(manyRoutes)
	if s.alone && s.memoryMB >= usual.memoryMB {
		routes = mostRoutes
	}
	for end := time.Now().Add(length); time.Now().Before(end); {
		s.putMany(routes)
		routes++
	}
	s.putMany(0)
}

// putMany puts a configuration with so many routes more.
func (s *soak) putMany(routes int) {
	s.changing.Lock()
	defer s.changing.Unlock()
	s.note("a configuration of %d routes more", routes)
	s.many = routes
	if err := s.put(s.config+1, "app", 3*recoverBound); err != nil {
		s.t.bad("CONFIG: %v", err)
		return
	}
	s.acknowledge()
}
