//go:build review

package main

import (
	"bytes"
	"io"
	"net"
	"sync"
	"time"
)

// carry takes connections for an engine and carries their bytes there and back.
func (e *engines) carry(path net.Listener, engine string) {
	for {
		near, err := path.Accept()
		if err != nil {
			return
		}
		go e.join(near, engine)
	}
}

// join carries one connection. An order is held for as long as the case says.
func (e *engines) join(near net.Conn, engine string) {
	defer near.Close()
	far, err := net.Dial("tcp", engine)
	if err != nil {
		return
	}
	defer far.Close()
	go e.carryBack(near, far)
	buffer := make([]byte, 64<<10)
	for {
		n, err := near.Read(buffer)
		if n > 0 {
			if e.hold != nil && bytes.HasPrefix(buffer[:n], []byte("POST /order ")) {
				time.Sleep(e.hold(buffer[:n]))
			}
			if _, err := far.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if err == io.EOF {
				_ = far.(*net.TCPConn).CloseWrite()
				time.Sleep(time.Second) // what was sent reaches the engine
			}
			return
		}
	}
}

// carryBack carries what an engine answers. An answer that the case names comes a second
// time, a while later, as an engine in trouble may send it.
func (e *engines) carryBack(near, far net.Conn) {
	var writes sync.Mutex
	answers := 0
	write := func(b []byte) int {
		writes.Lock()
		defer writes.Unlock()
		_, _ = near.Write(b)
		answers++
		return answers
	}
	// The copy stands where the next answer is expected, never inside one.
	writeCopy := func(b []byte, after int) {
		writes.Lock()
		defer writes.Unlock()
		if answers == after {
			_, _ = near.Write(b)
		}
	}
	buffer := make([]byte, 64<<10)
	for {
		n, err := far.Read(buffer)
		if n > 0 {
			count := write(buffer[:n])
			if again := e.again; again != nil {
				if late := again(buffer[:n]); late > 0 {
					copied := bytes.Clone(buffer[:n])
					time.AfterFunc(late, func() { writeCopy(copied, count) })
				}
			}
		}
		if err != nil {
			_ = near.(*net.TCPConn).CloseWrite()
			return
		}
	}
}
