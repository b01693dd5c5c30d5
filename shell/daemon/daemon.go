// Package daemon builds one node from its config as fx modules (design 1).
package daemon

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"os"
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
	"fernlink/core/listener"
	"fernlink/core/node"
	"fernlink/core/store"
	"fernlink/shell/clock"
	"fernlink/shell/disk"
	"fernlink/shell/link"
	"fernlink/shell/outcall"
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
}

func random() string {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		panic(err)
	}
	return hex.EncodeToString(b[:])
}

// unkept is the identity of a node that keeps nothing: its address names it, so
// that a later start is known for one (design 8.7). One that votes is never named
// so, for a blank voter is somebody new (design 4.4).
func unkept(p config.Config) string {
	if p.Data != "" || p.Addr == "" || slices.Contains(p.Roles, "store") || slices.Contains(p.Roles, "coordinator") {
		return random()
	}
	h := sha256.Sum256([]byte(p.Addr))
	return hex.EncodeToString(h[:8])
}

func openFolder(p config.Config, logger log.Logger) (Folder, error) {
	f := Folder{Identity: disk.Identity{ID: unkept(p), Inc: clock.Wall()}}
	if p.Data == "" {
		return f, nil
	}
	dir, err := disk.OpenFolder(p.Data)
	if err != nil {
		return f, err
	}
	f.FS = dir
	if err := keepCrashes(p.Data, logger); err != nil {
		_ = level.Warn(logger).Log("part", "daemon", "msg", "crashes are not kept", "failure", err)
	}
	if f.Identity, err = disk.Identify(dir, f.Identity.ID, f.Identity.Inc); err != nil {
		return f, err
	}
	if slices.Contains(p.Roles, "store") {
		if f.Log, f.Disk, err = disk.Open(dir); err != nil {
			return f, err
		}
	}
	// Both files are advice: what does not read is as good as absent.
	f.Checkpoint, _ = dir.Read(coord.File)
	if b, err := dir.Read(run.KnownFile); err == nil {
		if json.Unmarshal(b, &f.Known) != nil {
			f.Known = gossip.Known{}
		}
	}
	_ = level.Info(logger).Log("part", "daemon", "msg", "data folder opened", "id", f.Identity.ID, "entries", len(f.Disk.Entries))
	return f, nil
}

// Platform is how the platform speaks, where this node serves one.
type Platform struct {
	Codec     *dialect.Codec
	Listeners []listener.Listener
	Seeds     func() ([]string, bool) // the settings' seeds, where they changed since the last call
}

func makeNode(p config.Config, f Folder, x Platform) (*node.Node, error) {
	var seed [8]byte
	if _, err := rand.Read(seed[:]); err != nil {
		return nil, errors.Wrap(err, "daemon: seed")
	}
	list, keep := p.Platform, flow.Time(0)
	if x.Codec != nil {
		list = "" // the serving side reads it
	}
	if p.Times != nil {
		keep = flow.Time(p.Times.Report) * time.Millisecond
	}
	return node.New(clock.Now(), node.Config{Debug: p.LogLevel == "debug", Name: p.Name, Cpu: int(1000 * p.CPUShare), Codec: x.Codec, LotKeep: keep, First: p.FirstStart, Want: 2*p.CoreLosses + 1, ID: f.Identity.ID, Inc: f.Identity.Inc, Addr: p.Addr, Web: p.Web, Zone: p.Zone, Roles: p.Roles,
		Seeds: p.Seeds, Form: p.Form, Platform: list, Seed: int64(binary.LittleEndian.Uint64(seed[:]) >> 8), Keep: p.Keep, Bounds: p.Bounds(), BlocksMost: p.Blocks,
		Off: p.Off, Stop: time.Duration(p.Stop) * time.Second, Data: f.FS != nil, Disk: f.Disk, Checkpoint: f.Checkpoint, Known: f.Known})
}

func makeLoop(p config.Config, f Folder, x Platform, n *node.Node, logger log.Logger) (*run.Loop, error) {
	l := run.New(logger)
	l.Node, l.Log, l.FS, l.Least = n, f.Log, f.FS, run.Levels[p.LogLevel]
	listen := p.Listen
	if listen == "" {
		listen = p.Addr
	}
	var err error
	if l.Link, err = link.Open(listen, logger, l.Offer); err != nil {
		return nil, err
	}
	if l.Web, err = web.OpenListeners(web.Options{Addr: p.Web, In: l.Offer, Listeners: x.Listeners}); err != nil {
		l.Link.Close()
		return nil, err
	}
	l.Caller = outcall.New(func(e flow.Event) { l.Put(e) })
	return l, nil
}

// Module is the daemon.
func Module(p config.Config, x Platform) fx.Option {
	return fx.Module("fernlink",
		fx.Supply(p, x),
		fx.Provide(func() log.Logger { return run.Logger(os.Stderr, p.LogLevel) }, openFolder, makeNode, makeLoop),
		fx.Invoke(func(life fx.Lifecycle, quit fx.Shutdowner, l *run.Loop, logger log.Logger) {
			watch, end := context.WithCancel(context.Background())
			life.Append(fx.Hook{
				OnStart: func(context.Context) error {
					l.Start()
					if x.Seeds != nil {
						go reload(watch, x.Seeds, l, logger)
					}
					go func() {
						if err, ok := <-l.Halted; ok {
							_ = level.Error(logger).Log("part", "daemon", "msg", "stopped by a failure", "failure", err)
							_ = quit.Shutdown(fx.ExitCode(3))
						}
					}()
					_ = level.Info(logger).Log("part", "daemon", "msg", "started", "addr", p.Addr, "web", p.Web, "zone", p.Zone)
					return nil
				},
				OnStop: func(ctx context.Context) error {
					end()
					l.Stop(ctx)
					_ = level.Info(logger).Log("part", "daemon", "msg", "stopped")
					return nil
				},
			})
		}),
	)
}
