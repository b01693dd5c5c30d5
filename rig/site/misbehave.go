package site

import (
	"fmt"
	"math/rand"
	"net"
	"strings"
	"sync"
	"time"
)

// misbehaviour is what one client does on a connection of its own.
type misbehaviour func(conn net.Conn, id string, length time.Duration)

var misbehaviours = []misbehaviour{halfHeader, halfBody, leaveAmidBody, leaveEarly, readSlowly, twoAtOnce, closeOneHalf, noHTTP}

// clientsAtOnce is how many clients misbehave at once.
const clientsAtOnce = 60

// troubleClients has clients misbehave in one of the ways, all at once or mixed.
func troubleClients(s *soak, random *rand.Rand, length time.Duration) {
	m := s.machine(random)
	s.note("clients misbehave at %s", m.name)
	var all sync.WaitGroup
	defer all.Wait()
	for n := range clientsAtOnce {
		act := misbehaviours[random.Intn(len(misbehaviours))]
		address := m.ip + []string{frontPort, frontPort, controlPort, adminPort}[n%4]
		id := s.id("c")
		all.Add(1)
		go func() {
			defer all.Done()
			conn, err := net.DialTimeout("tcp", address, time.Second)
			if err != nil {
				return
			}
			defer conn.Close()
			_ = conn.SetDeadline(time.Now().Add(length))
			act(conn, id, length)
		}()
	}
}

// requestHead is a booking's head with a body of a size.
func requestHead(id string, size int) string {
	return fmt.Sprintf("POST /book/x?q=%s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nTime-Left-Ms: 2000\r\nContent-Length: %d\r\n\r\n", id, host, id, size)
}

func write(conn net.Conn, text string) { _, _ = conn.Write([]byte(text)) }

func halfHeader(conn net.Conn, id string, length time.Duration) {
	head := requestHead(id, 0)
	write(conn, head[:len(head)/2])
	time.Sleep(length)
}

func halfBody(conn net.Conn, id string, length time.Duration) {
	write(conn, requestHead(id, 100)+"half")
	time.Sleep(length)
}

func leaveAmidBody(conn net.Conn, id string, _ time.Duration) {
	write(conn, requestHead(id, 1<<20)+strings.Repeat("x", 1<<10))
}

func leaveEarly(conn net.Conn, id string, _ time.Duration) {
	write(conn, requestHead(id, 0))
	time.Sleep(5 * time.Millisecond)
}

func readSlowly(conn net.Conn, id string, length time.Duration) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(1)
	}
	write(conn, requestHead(id, 0))
	one := make([]byte, 1)
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if _, err := conn.Read(one); err != nil {
			return
		}
	}
}

func twoAtOnce(conn net.Conn, id string, length time.Duration) {
	write(conn, requestHead(id+"a", 0)+requestHead(id+"b", 0))
	time.Sleep(length / 2)
}

func closeOneHalf(conn net.Conn, id string, length time.Duration) {
	write(conn, requestHead(id, 0))
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	time.Sleep(length / 2)
}

func noHTTP(conn net.Conn, id string, length time.Duration) {
	write(conn, "\x00\x01"+id+"\r\n\r\n\r\n")
	time.Sleep(length / 4)
}
