//go:build review

package main

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// record is what was sent, answered and run.
var record = struct {
	sync.Mutex
	file  *os.File
	began time.Time
}{began: time.Now()}

// note writes a line into the record.
func note(format string, args ...any) {
	record.Lock()
	defer record.Unlock()
	line := fmt.Sprintf("%8.3f s  %s\n", time.Since(record.began).Seconds(), fmt.Sprintf(format, args...))
	if record.file != nil {
		_, _ = record.file.WriteString(line)
	}
	if os.Getenv("STAND2_DEBUG") != "" {
		fmt.Print(line)
	}
}

// call makes one call on a new connection; its code is 0 where no whole answer came.
func call(verb, url, host string, head map[string]string, body []byte, most time.Duration) (int, []byte, http.Header) {
	client := http.Client{Timeout: most, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	req, err := http.NewRequest(verb, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, nil
	}
	if host != "" {
		req.Host = host
	}
	for k, v := range head {
		req.Header.Set(k, v)
	}
	res, err := client.Do(req)
	if err != nil {
		return 0, nil, nil
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, nil, nil
	}
	return res.StatusCode, b, res.Header
}

// route is a route of the operator's configuration.
type route map[string]any

func lotRoute(label, prefix string) route {
	return route{"Label": label, "Hostname": siteHost, "PathPrefix": prefix, "RouteKind": "sampling", "LimitMs": 6000, "TargetMs": 500, "Rank": 1, "Backend": llmPool,
		"MaxTries": 3, "MaxWaitS": 40.0, "DueMs": 4000, "OnPolicy": true, "Sticky": true, "Resumable": true}
}

func appRoute(label, prefix, kind string) route {
	return route{"Label": label, "Hostname": siteHost, "PathPrefix": prefix, "RouteKind": kind, "LimitMs": 1500, "TargetMs": 150, "Rank": 2, "Backend": appPool, "MaxTries": 2}
}

// lastCall is when a case is so old that the operator sends nothing more: it has 120 s.
const lastCall = 90 * time.Second

// putConfig sends a configuration until it is acknowledged.
func (f *fleet) putConfig(read, version int, routes ...route) bool {
	doc := map[string]any{"Revision": version, "RouteTable": routes, "Backends": []any{
		map[string]any{"Label": llmPool, "HealthPath": "/health", "MaxConns": 160, "Protocol": "h1", "Tls": false,
			"Engine": map[string]any{"Capacity": 8, "KvCapacity": 75742, "KvBytes": 18432, "LinkMbps": 2200000.0, "Stride": 48, "Models": []any{map[string]any{"Label": model}}}},
		map[string]any{"Label": appPool, "HealthPath": "/health", "MaxConns": 130, "Protocol": "h1", "Tls": false},
	}, "Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 33554432, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}}
	body, _ := json.Marshal(doc)
	for n := 0; n < 200 && time.Since(record.began) < lastCall; n++ {
		m := f.edges()[n%len(f.edges())]
		code, told, _ := call("PUT", m.control()+"/config", "", map[string]string{"If-Match": fmt.Sprint(read), "Content-Type": "application/json"}, body, time.Second+time.Duration(len(body)/250)*time.Millisecond)
		if code == 200 {
			note("configuration %d acknowledged by %s", version, m.name)
			return true
		}
		if code/100 == 4 && code != 408 && code != 429 {
			note("configuration %d refused by %s: %d %s", version, m.name, code, told)
			return false
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// namedVersion names a version of the weights until that is acknowledged.
func (f *fleet) nameVersion(version int) bool {
	f.engines.mu.Lock()
	f.engines.named = version
	f.engines.mu.Unlock()
	body, _ := json.Marshal(map[string]any{"Model": model, "Revision": version})
	for n := range 100 {
		m := f.edges()[n%len(f.edges())]
		code, _, _ := call("POST", m.control()+"/version-put", "", nil, body, time.Second)
		if code/100 == 2 {
			note("version %d acknowledged by %s", version, m.name)
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// lot is a lot as a trainer hands it in.
type lot struct {
	id, prefix string
	items      []string
	body       []byte
}

// newLot makes a lot of groups of items, each with a body of so many bytes.
func newLot(prefix string, step, least, groups, each, bodyBytes int) *lot {
	l := &lot{id: newID(), prefix: prefix}
	requests := []any{}
	for g := range groups {
		group, part := newID()[:6], newID()[:6]
		for range each {
			id := newID()
			l.items = append(l.items, id)
			requests = append(requests, map[string]any{
				"InstanceId": id, "Path": prefix + "1/" + id[:4], "Tokens": 1256, "GroupId": group,
				"Headers": map[string]string{"Model": model, "Token-Counts": "1016,240", "Prompt-Prefix": part + ":1000," + id[:6] + ":16"},
				"Body":    base64.StdEncoding.EncodeToString([]byte(strings.Repeat(id, max(1, bodyBytes/16)))),
			})
		}
		_ = g
	}
	l.body, _ = json.Marshal(map[string]any{"TrainStep": step, "Model": model, "MinVersion": least, "Desired": groups, "Requests": requests})
	return l
}

// send hands a lot in once.
func (l *lot) send(m *machine, most time.Duration) int {
	code, _, _ := call("POST", m.front()+l.prefix+l.id, siteHost, map[string]string{"Attempt-Id": l.id, "Content-Type": "application/json"}, l.body, most)
	note("lot %s of %d items, %d bytes, handed in at %s: %d", l.id, len(l.items), len(l.body), m.name, code)
	return code
}

// output is one result.
type output struct {
	InstanceId, State, Message string
	WeightVersions             []int
}

// read reads a lot from a position on.
func (l *lot) read(m *machine, from int) (code int, total, next int, outputs []output) {
	code, body, _ := call("GET", fmt.Sprintf("%s/lots/%s?SinceToken=%d", m.front(), l.id, from), siteHost, map[string]string{"Wait-Ms": "500"}, nil, 3*time.Second)
	var page struct {
		Total, NextToken int
		Outputs          []output
	}
	if code == 200 && json.Unmarshal(body, &page) != nil {
		return 0, 0, 0, nil
	}
	return code, page.Total, page.NextToken, page.Outputs
}

// readAll reads until all items are listed or a time is over.
func (l *lot) readAll(m *machine, most time.Duration) []output {
	var all []output
	for end := time.Now().Add(most); time.Now().Before(end) && len(all) < len(l.items); {
		code, _, _, outputs := l.read(m, len(all))
		if code != 200 {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		all = append(all, outputs...)
		if len(outputs) == 0 {
			time.Sleep(50 * time.Millisecond)
		}
	}
	return all
}

// end ends a lot.
func (l *lot) end(m *machine) int {
	code, _, _ := call("DELETE", m.front()+"/lots/"+l.id, siteHost, nil, nil, 2*time.Second)
	note("end of lot %s at %s: %d", l.id, m.name, code)
	return code
}
