//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strings"
	"time"
)

// Names of the small deployment that the cases use.
const (
	appPool   = "wuno96b"
	llmPool   = "huvo11a"
	hostName  = "ficu95.example"
	appPath   = "/lohu930/"
	oncePath  = "/mapo217/"
	chatPath  = "/sita402/"
	lotPath   = "/pufi791/"
	otherPath = "/kero555/"
)

// configuration is a configuration in the shape of a small deployment's, with a route of
// each kind that the pages name.
func configuration() map[string]any {
	route := func(label, prefix, kind, pool string, more map[string]any) map[string]any {
		r := map[string]any{"Label": label, "Hostname": hostName, "PathPrefix": prefix, "RouteKind": kind, "LimitMs": 2000, "TargetMs": 150, "Rank": 2, "Backend": pool, "MaxTries": 2}
		for k, v := range more {
			r[k] = v
		}
		return r
	}
	return map[string]any{
		"RouteTable": []any{
			route("r-app", appPath, "idempotent", appPool, nil),
			route("r-once", oncePath, "mutating", appPool, nil),
			route("r-chat", chatPath, "streaming", llmPool, map[string]any{"LimitMs": 20000, "TargetMs": 500, "MaxTries": 3, "Sticky": true}),
			route("r-lot", lotPath, "sampling", llmPool, map[string]any{"LimitMs": 6000, "TargetMs": 500, "Rank": 1, "MaxTries": 3, "MaxWaitS": 40.0, "DueMs": 4000, "OnPolicy": true, "Sticky": true, "Resumable": true}),
		},
		"Backends": []any{
			map[string]any{"Label": appPool, "HealthPath": "/health", "MaxConns": 130, "Protocol": "h1", "Tls": false},
			map[string]any{"Label": llmPool, "HealthPath": "/health", "MaxConns": 160, "Protocol": "h1", "Tls": false,
				"Engine": map[string]any{"Capacity": 8, "KvCapacity": 75742, "KvBytes": 18432, "LinkMbps": 2200000.0, "Stride": 48, "Models": []any{map[string]any{"Label": modelName}}}},
		},
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 33554432, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	}
}

// kept is a client's connection.
type kept struct {
	net.Conn
	r *bufio.Reader
}

func newConn(c net.Conn) *kept { return &kept{c, bufio.NewReader(c)} }

func dial(addr string) (*kept, error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return newConn(c), nil
}

// send writes a request.
func send(c *kept, verb, path, host string, head map[string]string, body string, closes bool) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", verb, path, host)
	names := make([]string, 0, len(head))
	for name := range head {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		fmt.Fprintf(&b, "%s: %s\r\n", name, head[name])
	}
	if closes {
		b.WriteString("Connection: close\r\n")
	}
	if body != "" || verb == "POST" || verb == "PUT" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n")
	b.WriteString(body)
	_, err := io.WriteString(c, b.String())
	return err
}

// exchange sends a request and reads its whole answer.
func exchange(c *kept, verb, path, host string, head map[string]string, body string, most time.Duration, closes bool) (int, http.Header, string, error) {
	_ = c.SetDeadline(time.Now().Add(most))
	if err := send(c, verb, path, host, head, body, closes); err != nil {
		return 0, nil, "", err
	}
	return receive(c, verb)
}

// receive reads one whole answer.
func receive(c *kept, verb string) (int, http.Header, string, error) {
	answer, err := http.ReadResponse(c.r, &http.Request{Method: verb})
	if err != nil {
		return 0, nil, "", err
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	return answer.StatusCode, answer.Header, string(text), err
}
