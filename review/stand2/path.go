//go:build review

package main

import (
	"bytes"
	"io"
	"net"
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
	go func() {
		_, _ = io.Copy(near, far)
		_ = near.(*net.TCPConn).CloseWrite()
	}()
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
