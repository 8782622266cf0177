package daemon

import (
	"fmt"
	"log/slog"
	"os"
	"time"

	"chalkrack/internal/body"
	"chalkrack/internal/core"
	"chalkrack/internal/front"
	"chalkrack/internal/keep"
	"chalkrack/internal/spool"
	"chalkrack/internal/upstream"
)

// spoolFiles are the descriptors that a folder of bodies needs beside its files: its
// lock, and the file of a trial.
const spoolFiles = 2

func filesOf(c *Config) int {
	if c.Features.Bodies.Folder == "" {
		return 0
	}
	return c.Features.Bodies.Files + spoolFiles
}

// newStore is where request bodies are kept, nil if that is off.
func newStore(c *Config) (*body.Store, error) {
	b := &c.Features.Bodies
	if !b.Enabled {
		return nil, nil
	}
	cfg := body.Config{
		Limits: keep.Limits{
			Memory:     int64(b.MemoryKB(c.MemoryMB)-b.OnTheWayKB()) << 10,
			MemoryMost: int64(b.MemoryLongestKB) << 10,
			MoveLeast:  spool.PieceMost,
			Disk:       int64(b.DiskMB) << 20,
			FileMost:   int64(b.FileLongestMB) << 20,
			Files:      int64(b.Files),
			Streams:    int64(b.Streams),
			Lend:       b.Lend, High: b.High, Low: b.Low,
			Tenants: len(c.Settings.Config.Tenants),
		},
		Disk: keep.DiskLimits{
			SlowAfter: time.Duration(b.SlowAfter), RestLeast: time.Duration(b.RestLeast),
			RestMost: time.Duration(b.RestMost), Proof: b.Proof,
		},
		Window:  int64(b.WindowKB) << 10,
		Classes: c.Settings.Names(),
	}
	for _, name := range cfg.Classes {
		cfg.Limits.Shares = append(cfg.Limits.Shares, b.Shares[name])
	}
	if b.Folder == "" {
		// Without files nothing longer than memory holds is kept.
		cfg.Limits.FileMost = cfg.Limits.MemoryMost
	} else {
		var err error
		cfg.Spool, err = spool.New(spool.Config{
			Folder: b.Folder, Workers: b.Workers, Queue: b.Queue, Classes: len(cfg.Classes),
			Wait: time.Duration(b.CallWait), Compress: b.Compress, FS: c.Disk,
		})
		if err != nil {
			return nil, err
		}
		if inMemory, err := spool.InMemory(b.Folder); err == nil && inMemory {
			slog.Warn("the folder of bodies lies in memory: its files count as such", "folder", b.Folder, "disk_mb", b.DiskMB)
		}
	}
	store, err := body.New(cfg)
	if err != nil {
		return nil, fmt.Errorf("features: bodies: %w", err)
	}
	return store, nil
}

func frontBodies(c *Config, store *body.Store) *front.Bodies {
	if store == nil {
		return nil
	}
	b := &c.Features.Bodies
	return &front.Bodies{
		Store:  store,
		Class:  func(name string) int { return c.Settings.Class([]byte(name)) },
		Tenant: func(name string) int { return c.Settings.Tenant([]byte(name)) },

		Longest: int64(b.LongestMB) << 20, Rate: int64(b.RateKB) << 10, Within: time.Duration(b.Within),
		ProxyStatus: b.ProxyStatus,
	}
}

// Long bodies, where [bodies] is off: up to longKept each is kept in memory as far as
// there is room, and the call may be tried again; what is longer goes on to one server as
// it comes, for its transfer there takes as long as from the client. Of the memory for
// bodies a quarter is for short ones, a quarter for those kept here, and half for those
// on their way.
const (
	longKept      = 256 << 10
	longWindow    = 64 << 10
	maxLongBodies = 32 << 20
	longRate      = 32 << 10
	longWithin    = 10 * time.Minute
	streamsMax    = 512
)

// longStreams is how many bodies may be on their way at once: each has its window, and a
// piece that is read.
func longStreams(c *Config) int64 {
	return min(streamsMax, maxBodies(c)/2/(longWindow+body.StreamPiece))
}

func newLong(c *Config) (*body.Store, error) {
	classes := c.Settings.Names()
	kept := maxBodies(c) / 4
	cfg := body.Config{
		Limits: keep.Limits{
			Memory: kept, MemoryMost: min(longKept, kept), MoveLeast: spool.PieceMost, FileMost: min(longKept, kept),
			Streams: longStreams(c), Lend: 1, High: 1, Low: 0.9, Shares: make([]float64, len(classes)),
		},
		Window: longWindow, Classes: classes,
	}
	return body.New(cfg)
}

func frontLong(c *Config, store *body.Store) *front.Bodies {
	if store == nil {
		return nil
	}
	return &front.Bodies{
		Store: store, Longest: maxLongBodies, Rate: longRate, Within: longWithin,
		Class:  func(name string) int { return c.Settings.Class([]byte(name)) },
		Tenant: func(name string) int { return c.Settings.Tenant([]byte(name)) },
	}
}

// Status is what operators see of a daemon.
type Status struct {
	PID        int          `json:"pid"`
	Listen     string       `json:"listen"`
	Ready      bool         `json:"ready"`
	Since      time.Time    `json:"since"`
	Calls      int          `json:"calls"`              // held now
	Clients    int          `json:"client_connections"` // open now
	Servers    int          `json:"server_connections"` // open now
	MemoryMB   int          `json:"memory_mb_limit"`    // of the platform
	Sockets    int          `json:"sockets_limit"`      // of the platform
	Bodies     bool         `json:"bodies"`             // kept as [bodies] says
	DiskState  string       `json:"disk_state,omitempty"`
	MemoryUsed *body.Amount `json:"bodies_memory_bytes,omitempty"`
}

// pages are what the operators' socket shows.
func pages(c *Config, host *core.Host, srv *front.Server, pool *upstream.Pool, store *body.Store) map[string]func() any {
	since := time.Now()
	all := map[string]func() any{
		"status": func() any {
			s := Status{PID: os.Getpid(), Listen: c.Listen, Ready: host.Ready(), Since: since, Calls: host.Held(),
				Clients: srv.Conns(), Servers: pool.Conns(), MemoryMB: c.MemoryMB, Sockets: c.Sockets, Bodies: store != nil}
			if store != nil {
				v := store.View()
				s.DiskState, s.MemoryUsed = v.DiskState, &v.Memory
			}
			return s
		},
	}
	if store != nil {
		all["bodies"] = func() any { return store.View() }
	}
	return all
}
