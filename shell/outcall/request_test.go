package outcall

import (
	"fmt"
	"strings"
	"testing"

	"fernlink/core/flow"
)

// Given paths, queries and headers as a caller wrote them, when they are sent,
// then the server reads the same bytes.
func TestExactRequest(t *testing.T) {
	lines := make(chan []string, 1)
	peer := serve(t, func(_ int64, c *talk) {
		var got []string
		for {
			l, err := c.r.ReadString('\n')
			if err != nil || l == "\r\n" {
				break
			}
			got = append(got, strings.TrimSuffix(l, "\r\n"))
		}
		lines <- got
		c.say(ok2)
	})
	host := strings.TrimPrefix(peer.url, "http://")
	client := caller(t)
	for path, want := range map[string]string{
		"": "/", "/": "/", "/a%2Fb/c%20d": "/a%2Fb/c%20d", "/%41/../x//y/.": "/%41/../x//y/.", "/a?": "/a?", "?x=1": "/?x=1",
		"/a?b=c%26d&&e=+f?g/%zz;h": "/a?b=c%26d&&e=+f?g/%zz;h", `/a|b^"<>{}`: `/a|b^"<>{}`, "/ü?ü": "/ü?ü", "//x/y": "//x/y",
	} {
		if b, _ := client.do(flow.Send{URL: peer.url + path}); b.Err != "" {
			t.Errorf("%s: %+v", path, b)
			continue
		}
		if got := wait(t, lines); got[0] != "GET "+want+" HTTP/1.1" || got[1] != "Host: "+host || got[2] != "Content-Length: 0" || got[3] != "Connection: close" || len(got) != 4 {
			t.Errorf("%s: %q", path, got)
		}
	}
	b, _ := client.do(flow.Send{Verb: "POST", URL: peer.url, Keep: true, Host: "app.example", Body: []byte("{}"), Head: map[string]string{"A": "1"},
		Fields: []flow.Field{{Name: "b-C", Value: "2"}, {Name: "B", Value: ""}, {Name: "b-C", Value: "3; \t é"}, {Name: "content-length", Value: "99"}, {Name: "Host", Value: "x"}}})
	want := "POST / HTTP/1.1|Host: app.example|Content-Length: 2|A: 1|b-C: 2|B: |b-C: 3; \t é"
	if got := strings.Join(wait(t, lines), "|"); got != want || b.Err != "" {
		t.Errorf("got  %s\nwant %s\n%+v", got, want, b)
	}
	for _, s := range []flow.Send{{URL: "ftp://x/"}, {URL: "http:///x"}, {URL: peer.url + "/a b"}, {URL: peer.url + "/a\r\nX: y"}, {URL: peer.url + "/a#b"}, {URL: "http://a@b/"},
		{URL: peer.url, Verb: "GET /"}, {URL: peer.url, Host: "a\r\nb"}, {URL: peer.url, Fields: []flow.Field{{Name: "a b", Value: ""}}}, {URL: peer.url, Fields: []flow.Field{{Name: "a", Value: "1\r\nb: 2"}}}} {
		if b, _ := client.do(s); b.Err == "" || b.Failure != flow.Unsent {
			t.Errorf("%+v: %+v", s, b)
		}
	}
}

// Given an answer with headers of all kinds, when it is told, then those that
// concern the connection are left out and the others stand as they came.
func TestAnswerFields(t *testing.T) {
	p := serve(t, func(_ int64, c *talk) {
		c.ask()
		c.say("HTTP/1.1 503 Busy\r\nset-cookie: a=1\r\nSet-Cookie: b=2\r\nConnection: keep-alive, X-Hop\r\nX-Hop: 1\r\nKeep-Alive: timeout=5\r\nProxy-Status: x\r\nTe: x\r\nTrailer: y\r\nUpgrade: z\r\n" +
			"retry-after:  3 \r\nContent-Length: 2\r\nX-Empty:\r\n\r\nno")
	})
	b, before := caller(t).do(flow.Send{URL: p.url, Raw: true})
	want := []flow.Field{{Name: "Set-Cookie", Value: "a=1"}, {Name: "Set-Cookie", Value: "b=2"}, {Name: "Retry-After", Value: "3"}, {Name: "X-Empty", Value: ""}}
	if fmt.Sprint(b.Fields) != fmt.Sprint(want) || b.Code != 503 || string(b.Body) != "no" || b.Head["Retry-After"] != "3" || len(before) != 0 {
		t.Errorf("%+v", b)
	}
}
