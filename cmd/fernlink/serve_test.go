package main

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"fernlink/cmd/fernlink/timeline"
	"fernlink/config"
	"fernlink/platform"
	"fernlink/shell/daemon"
	"fernlink/shell/logging"
)

// free gives so many ports that were free a moment ago, one after the other.
func free(t *testing.T, n int) []int {
	t.Helper()
	var out []int
	for range n {
		ear, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer ear.Close()
		out = append(out, ear.Addr().(*net.TCPAddr).Port)
	}
	return out
}

// freePair gives a port that is free together with the one after it: a node takes
// both from the start of its range.
func freePair(t *testing.T) int {
	t.Helper()
	const tries = 100
	for range tries {
		first, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		port := first.Addr().(*net.TCPAddr).Port
		second, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port+1))
		_ = first.Close()
		if err != nil {
			continue
		}
		_ = second.Close()
		return port
	}
	t.Fatal("no two ports in a row are free")
	return 0
}

// settings writes a settings file that is good but for the given changes, each
// "key=value" or "-key".
func settings(t *testing.T, changes ...string) string {
	t.Helper()
	p, pair := free(t, 5), freePair(t)
	lines := map[string]string{"NodeName": "edge-1", "Serves": "edge,control_plane", "Ip": "127.0.0.1", "Zone": "north",
		"PortRange": fmt.Sprintf("%d,%d", pair, pair+9), "SeedNodes": fmt.Sprintf("127.0.0.1:%d", p[3]), "Bootstrap": "true", "DataDir": filepath.Join(t.TempDir(), "data"),
		"BindAddrs.Front": fmt.Sprintf("127.0.0.1:%d", p[1]), "BindAddrs.Readiness": fmt.Sprintf("127.0.0.1:%d", p[2]), "BindAddrs.Control": fmt.Sprintf("127.0.0.1:%d", p[3]),
		"CloudApi.Address": fmt.Sprintf("127.0.0.1:%d", p[4])}
	for _, c := range changes {
		if k, v, ok := strings.Cut(c, "="); ok {
			lines[k] = v
		} else {
			delete(lines, strings.TrimPrefix(c, "-"))
		}
	}
	var b strings.Builder
	for k, v := range lines {
		b.WriteString(k + "=" + v + "\n")
	}
	file := filepath.Join(t.TempDir(), "boot.conf")
	if err := os.WriteFile(file, []byte(b.String()), 0o644); err != nil {
		t.Fatal(err)
	}
	return file
}

// Given settings that are wrong in each way that a new user may get them wrong,
// when they are read, then each fault is told with its key, and nothing starts.
func TestServeSaysWhatIsWrong(t *testing.T) {
	for _, x := range []struct {
		v    serveFlags
		want []string
	}{
		{serveFlags{}, []string{"name the settings file with --settings or in $" + platform.SettingsEnv}},
		{serveFlags{settings: filepath.Join(t.TempDir(), "none")}, []string{"no such file or directory"}},
		{serveFlags{settings: t.TempDir()}, []string{"is a directory"}},
		{serveFlags{settings: settings(t, "-NodeName", "Ip=ten", "Zone=a b", "PortRange=9", "BindAddrs.Front=banana", "Serves=edge,moon", "Bootstrap=perhaps")},
			[]string{"settings BindAddrs.Front: not an IP number and port", "settings Bootstrap: neither true nor false", "settings Ip: not an IPv4 number", "settings NodeName: is missing",
				"settings PortRange: not two ports", `settings Serves: nothing here serves "moon"`, "settings Zone: not a name"}},
		{serveFlags{settings: settings(t, "NodeName=\xff")}, []string{"boot.conf: not text in UTF-8"}},
		{serveFlags{settings: settings(t), level: "loud"}, []string{`--log-level is error, warn, info or debug, not "loud"`}},
	} {
		var b bytes.Buffer
		if _, ok := x.v.read(&b); ok {
			t.Errorf("%+v is taken", x.v)
		}
		lines := strings.Split(strings.TrimSpace(b.String()), "\n")
		if len(lines) != len(x.want) {
			t.Errorf("%+v: %q", x.v, lines)
			continue
		}
		for i, w := range x.want {
			if !strings.HasPrefix(lines[i], "fernlink: ") || !strings.Contains(lines[i], w) {
				t.Errorf("%q, want %q", lines[i], w)
			}
		}
	}
	if p, ok := (&serveFlags{settings: settings(t)}).read(os.Stderr); !ok || p.LogLevel != "warn" {
		t.Errorf("good ones: %+v", p)
	}
}

// startLogged starts a node whose log goes to a buffer.
func startLogged(settings config.Config, platform daemon.Platform, log *bytes.Buffer) int {
	process := daemon.Process{Log: logging.Open(log)}
	defer process.Log.Close()
	return start(settings, platform, process, "")
}

// Given a port that is taken and a data folder that can't be made, when a node
// is to start, then it ends with 1 and says which.
func TestServeThatCanNotStart(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	file := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(file, nil, 0o644); err != nil {
		t.Fatal(err)
	}
	for change, want := range map[string]string{"BindAddrs.Front=" + taken.Addr().String(): taken.Addr().String() + ": bind: address already in use", "DataDir=" + file + "/data": file} {
		var buffer bytes.Buffer
		p, ok := (&serveFlags{settings: settings(t, change)}).read(&buffer)
		if !ok {
			t.Fatal(buffer.String())
		}
		p.LogLevel = "error"
		codec := platform.Codec(p.Platform)
		if code := startLogged(p, daemon.Platform{Codec: &codec, Listeners: platform.Listeners(p)}, &buffer); code != 1 || !strings.Contains(buffer.String(), want) {
			t.Errorf("%s: %d %q", change, code, buffer.String())
		}
	}
}

// Given a folder for profiles, when what is measured ends, then both files are
// there; without one nothing is done; one that can't be made is said.
func TestProfile(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "a", "b")
	end, err := profile(dir, "10.0.0.1:1")
	if err != nil {
		t.Fatal(err)
	}
	if err := end(); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"cpu-10.0.0.1-1.pprof", "heap-10.0.0.1-1.pprof"} {
		if s, err := os.Stat(filepath.Join(dir, name)); err != nil || s.Size() == 0 {
			t.Errorf("%s: %v", name, err)
		}
	}
	if end, err := profile("", "x"); err != nil || end() != nil {
		t.Errorf("without a folder: %v", err)
	}
	if _, err := profile(filepath.Join(dir, "cpu-10.0.0.1-1.pprof", "c"), "x"); err == nil {
		t.Error("a folder that can't be made")
	}
}

// Given a folder and logs, when the tools are run, then their exit codes say
// what came of it.
func TestToolsExitCodes(t *testing.T) {
	var buffer, failures bytes.Buffer
	none := filepath.Join(t.TempDir(), "none")
	if c := folder(&buffer, &failures, none, "text"); c != 2 || !strings.Contains(failures.String(), "can't be read") {
		t.Errorf("%d %q", c, failures.String())
	}
	if c := folder(&buffer, &failures, t.TempDir(), "text"); c != 1 || !strings.Contains(buffer.String(), "blank") {
		t.Errorf("%d %q", c, buffer.String())
	}
	if c := folder(&buffer, &failures, t.TempDir(), "xml"); c != 2 {
		t.Errorf("%d", c)
	}
	log := filepath.Join(t.TempDir(), "edge-1.log")
	if err := os.WriteFile(log, []byte("ts=2026-06-21T05:08:58Z level=debug part=lots msg=accepted lot=l1 items=2\n"), 0o644); err != nil {
		t.Fatal(err)
	}
	f := timeline.Filter{Lot: "l1"}
	for _, x := range []struct {
		logs []string
		in   string
		want int
	}{{[]string{log}, "", 0}, {nil, "ts=2026-06-21T05:08:58Z msg=x lot=l1\n", 0}, {nil, "words\n", 1}, {[]string{none}, "", 2}} {
		buffer.Reset()
		if c := lines(strings.NewReader(x.in), &buffer, &failures, x.logs, f); c != x.want {
			t.Errorf("%v: %d %q", x.logs, c, buffer.String())
		}
	}
}
