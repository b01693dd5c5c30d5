// Package daemon builds one node's process from its config as fx modules (design 1): the
// data folder, the cores, the loop and its shells. cmd/fernlink and platform start it.
package daemon

import (
	"cmp"
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"net"
	"slices"
	"time"

	"github.com/go-json-experiment/json/v1"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"
	"go.uber.org/fx"

	"fernlink/config"
	"fernlink/core/coord"
	"fernlink/core/dialect"
	"fernlink/core/flow"
	"fernlink/core/gossip"
	"fernlink/core/invariant"
	"fernlink/core/listener"
	"fernlink/core/node"
	"fernlink/core/serve/policy"
	"fernlink/core/store"
	"fernlink/shell/clock"
	"fernlink/shell/disk"
	"fernlink/shell/link"
	"fernlink/shell/logging"
	"fernlink/shell/outcall"
	"fernlink/shell/room"
	"fernlink/shell/run"
	"fernlink/shell/web"
)

// Folder is what the data folder gave at the start.
type Folder struct {
	FS         disk.FS
	Log        *disk.Log
	Disk       store.Disk
	Identity   disk.Identity
	Checkpoint []byte
	Known      gossip.Known
	close      func() error // lets another process have it
}

func randomID() string {
	var id [8]byte
	if _, err := rand.Read(id[:]); err != nil {
		panic(err)
	}
	return hex.EncodeToString(id[:])
}

// processID is a new identity for a process. One that keeps nothing is named by its
// address, so that a later start is known for one (design 8.7). One that votes is never
// named so, for a blank voter is somebody new (design 4.4).
func processID(settings config.Config) string {
	votes := slices.Contains(settings.Roles, "store") || slices.Contains(settings.Roles, "coordinator")
	if settings.Data != "" || settings.Addr == "" || votes {
		return randomID()
	}
	hash := sha256.Sum256([]byte(settings.Addr))
	return hex.EncodeToString(hash[:8])
}

// peerAddress is where peers are listened for.
func peerAddress(settings config.Config) string { return cmp.Or(settings.Listen, settings.Addr) }

// addresses are all that a process listens at.
func addresses(settings config.Config, platform Platform) []string {
	all := []string{peerAddress(settings), settings.Web}
	for _, listener := range platform.Listeners {
		all = append(all, listener.Addr)
	}
	return all
}

// checkAddresses fails if anybody listens at one of the addresses. Nothing is held: the
// listeners are opened once the data folder is read, so that callers of a process that is
// not ready yet are turned away at once.
func checkAddresses(addresses []string) error {
	for _, address := range addresses {
		socket, err := net.Listen("tcp", address)
		if err != nil {
			return errors.Wrap(err, "daemon: start")
		}
		_ = socket.Close()
	}
	return nil
}

// openFolder opens the data folder, if there is one. While its disk has no room the
// process waits there, with its addresses free, until there is some or it is to stop.
func openFolder(settings config.Config, platform Platform, process Process, logger log.Logger) (Folder, error) {
	folder := Folder{Identity: disk.Identity{ID: processID(settings), Inc: clock.Wall()}, close: func() error { return nil }}
	if settings.Data == "" {
		return folder, nil
	}
	// What was there before may still be at work on the folder. Where file systems have no
	// locks its addresses tell.
	if err := checkAddresses(addresses(settings, platform)); err != nil {
		return folder, err
	}
	dir, err := disk.OpenFolder(settings.Data)
	if err != nil {
		return folder, err
	}
	folder.FS, folder.close = dir, dir.Close
	if err := keepCrashes(settings.Data, logger); err != nil {
		_ = level.Warn(logger).Log("part", "daemon", "msg", "crashes are not kept", "failure", err)
	}
	room := waitForRoom{stop: process.Signals.Stop, logger: logger}
	if err := room.retry(func() error { return folder.read(dir, settings) }); err != nil {
		_ = dir.Close()
		return folder, err
	}
	_ = level.Info(logger).Log("part", "daemon", "msg", "data folder opened", "id", folder.Identity.ID, "entries", len(folder.Disk.Entries))
	return folder, nil
}

// read takes what is in the data folder, and makes the process's identity and its log
// ready there. It may be called again where it failed for want of room.
func (f *Folder) read(dir disk.FS, settings config.Config) error {
	identity, err := disk.Identify(dir, f.Identity.ID, f.Identity.Inc)
	if err != nil {
		return err
	}
	f.Identity = identity
	if slices.Contains(settings.Roles, "store") {
		if f.Log, f.Disk, err = disk.Open(dir); err != nil {
			return err
		}
	}
	// Both files are advice: what does not read is as good as absent.
	f.Checkpoint, _ = dir.Read(coord.File)
	if known, err := dir.Read(run.KnownFile); err == nil && json.Unmarshal(known, &f.Known) != nil {
		f.Known = gossip.Known{}
	}
	return nil
}

// Platform is how the platform speaks, where this node serves one.
type Platform struct {
	Codec     *dialect.Codec
	Listeners []listener.Listener
	Policies  policy.Set // for measurements: mechanisms that are left out
}

// Process is what a node has of its process.
type Process struct {
	Signals Signals
	Log     *logging.Sink
	Reread  SettingsReader // nil where the settings can't be read again
}

// carries gives the width of the link and the size of the disk by which the store
// judges where the state belongs. A machine that does not count may go at any time
// with its disk, beside as many of the others as may be lost: it is given no state
// for its width.
func carries(settings config.Config) (linkMbps, diskMB int) {
	if settings.CoreLosses > 0 && !settings.Counted {
		return 0, 0
	}
	return int(settings.LinkMbps), settings.DiskMB
}

func makeNode(settings config.Config, folder Folder, platform Platform) (*node.Node, error) {
	var seed [8]byte
	if _, err := rand.Read(seed[:]); err != nil {
		return nil, errors.Wrap(err, "daemon: seed")
	}
	list := settings.Platform
	if platform.Codec != nil {
		list = "" // the serving side reads it
	}
	var lotKeep flow.Time
	if settings.Times != nil {
		lotKeep = flow.Time(settings.Times.Report) * time.Millisecond
	}
	link, disk := carries(settings)
	return node.New(clock.Now(), node.Config{
		ID: folder.Identity.ID, Inc: folder.Identity.Inc, Name: settings.Name,
		Addr: settings.Addr, Web: settings.Web, Zone: settings.Zone, Roles: settings.Roles,
		Cpu: int(1000 * settings.CPUShare), LinkMbps: link, DiskMB: disk, MemoryMB: settings.MemoryMB, Seeds: settings.Seeds, Form: settings.Form,
		First: settings.FirstStart, Want: 2*settings.CoreLosses + 1,
		Platform: list, Codec: platform.Codec, LotKeep: lotKeep,
		Seed: int64(binary.LittleEndian.Uint64(seed[:]) >> 8),
		Keep: settings.Keep, Bounds: settings.Bounds(), BlocksMost: settings.Blocks,
		Off: settings.Off, Stop: time.Duration(settings.Stop) * time.Second, Debug: settings.LogLevel == "debug",
		Data: folder.FS != nil, Disk: folder.Disk, Checkpoint: folder.Checkpoint, Known: folder.Known,
		Invariants: invariant.NewMonitor(), Policies: platform.Policies,
	})
}

// The part of the process's memory that large answers may take, and the bytes where it is
// not known.
const (
	answersPart  = 8
	answersUsual = 64 << 20
)

// answersOf is the room for large answers, in bytes.
func answersOf(memoryMB int) int64 {
	if memoryMB == 0 {
		return answersUsual
	}
	return int64(memoryMB) << 20 / answersPart
}

func makeLoop(settings config.Config, folder Folder, platform Platform, process Process, core *node.Node, logger log.Logger) (*run.Loop, error) {
	loop := run.New(logger)
	loop.Node, loop.Log, loop.FS = core, folder.Log, folder.FS
	loop.Least, loop.Unlogged = run.Levels[settings.LogLevel], process.Log.Dropped
	var err error
	if loop.Link, err = link.Open(peerAddress(settings), logger, loop.Offer); err != nil {
		return nil, err
	}
	answers := room.New(answersOf(settings.MemoryMB))
	if loop.Web, err = web.OpenListeners(web.Options{Addr: settings.Web, In: loop.Offer, Listeners: platform.Listeners, Files: settings.Files, Memory: int64(settings.MemoryMB) << 20, Answers: answers, Logger: logger}); err != nil {
		loop.Link.Close()
		return nil, err
	}
	loop.Caller = outcall.New(func(event flow.Event) { loop.Put(event) })
	loop.Caller.Answers = answers
	return loop, nil
}

// Module is the daemon.
func Module(settings config.Config, platform Platform, process Process) fx.Option {
	return fx.Module("fernlink",
		fx.Supply(settings, platform, process),
		fx.Provide(func() log.Logger { return logging.New(process.Log, settings.LogLevel) }, openFolder, makeNode, makeLoop),
		fx.Invoke(func(life fx.Lifecycle, quit fx.Shutdowner, folder Folder, loop *run.Loop, logger log.Logger) {
			watch, end := context.WithCancel(context.Background())
			life.Append(fx.Hook{
				OnStart: func(context.Context) error {
					loop.Start()
					if process.Reread != nil {
						r := reloader{started: settings, began: clock.Now(), process: process, loop: loop, logger: logger, quit: quit}
						go r.run(watch)
					}
					go func() {
						if err, ok := <-loop.Halted; ok {
							_ = level.Error(logger).Log("part", "daemon", "msg", "stopped by a failure", "failure", err)
							_ = quit.Shutdown(fx.ExitCode(3))
						}
					}()
					_ = level.Info(logger).Log("part", "daemon", "msg", "started", "addr", settings.Addr, "web", settings.Web, "zone", settings.Zone)
					return nil
				},
				OnStop: func(ctx context.Context) error {
					end()
					loop.Stop(ctx)
					if err := folder.close(); err != nil {
						_ = level.Warn(logger).Log("part", "daemon", "msg", "the data folder was not closed", "failure", err)
					}
					_ = level.Info(logger).Log("part", "daemon", "msg", "stopped")
					return nil
				},
			})
		}),
	)
}
