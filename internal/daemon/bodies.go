package daemon

import (
	"fmt"
	"log/slog"
	"os"
	"time"

	"chalkrack/internal/body"
	"chalkrack/internal/bodypolicy"
	"chalkrack/internal/core"
	"chalkrack/internal/front"
	"chalkrack/internal/spool"
	"chalkrack/internal/upstream"
)

// reservedSpoolFiles is the number of descriptors that a spool folder needs besides its body
// files: the lock file and the file of a trial write.
const reservedSpoolFiles = 2

// bodyFileDescriptors returns the descriptors that the files of bodies need.
func bodyFileDescriptors(c *Config) int {
	if c.Features.Bodies.Folder == "" {
		return 0
	}
	return c.Features.Bodies.MaxOpenFiles + reservedSpoolFiles
}

// newBodyStore returns the store of request bodies, or nil if [bodies] is off.
func newBodyStore(c *Config) (*body.Store, error) {
	settings := &c.Features.Bodies
	if !settings.Enabled {
		return nil, nil
	}
	cfg := body.Config{
		Limits: bodypolicy.Limits{
			Memory:     int64(settings.MemoryKB(c.MemoryMB)-settings.TransferKB()) << 10,
			MemoryMost: int64(settings.MaxBodyMemoryKB) << 10,
			MoveLeast:  spool.MaxPieceBytes,
			Disk:       int64(settings.DiskMB) << 20,
			FileMost:   int64(settings.MaxBodyFileMB) << 20,
			Files:      int64(settings.MaxOpenFiles),
			Streams:    int64(settings.MaxStreams),
			Lend:       settings.Lend, High: settings.High, Low: settings.Low,
			Tenants: len(c.Settings.Config.Tenants),
		},
		Disk: bodypolicy.DiskLimits{
			SlowAfter: time.Duration(settings.SlowAfter), MinTrialDelay: time.Duration(settings.MinTrialDelay),
			MaxTrialDelay: time.Duration(settings.MaxTrialDelay), RequiredTrials: settings.RequiredTrials,
		},
		Window:  int64(settings.WindowKB) << 10,
		Classes: c.Settings.ClassNames(),
	}
	for _, name := range cfg.Classes {
		cfg.Limits.Shares = append(cfg.Limits.Shares, settings.Shares[name])
	}
	if settings.Folder == "" {
		// Without files, no body longer than the memory bound is stored.
		cfg.Limits.FileMost = cfg.Limits.MemoryMost
	} else {
		var err error
		cfg.Spool, err = spool.New(spool.Config{
			Folder: settings.Folder, Workers: settings.Workers, Queue: settings.MaxQueuedPerClass, Classes: len(cfg.Classes),
			Wait: time.Duration(settings.FileCallTimeout), Compress: settings.Compress, FS: c.BodyFS,
		})
		if err != nil {
			return nil, err
		}
		if inMemory, err := spool.InMemory(settings.Folder); err == nil && inMemory {
			slog.Warn("the body folder is on a memory file system: its files use memory", "folder", settings.Folder, "disk_mb", settings.DiskMB)
		}
	}
	store, err := body.New(cfg)
	if err != nil {
		return nil, fmt.Errorf("features: bodies: %w", err)
	}
	return store, nil
}

// frontBodies returns the front's settings for bodies in store, or nil if store is nil.
func frontBodies(c *Config, store *body.Store) *front.Bodies {
	if store == nil {
		return nil
	}
	settings := &c.Features.Bodies
	return &front.Bodies{
		Store:       store,
		ClassIndex:  func(name string) int { return c.Settings.ClassIndex([]byte(name)) },
		TenantIndex: func(name string) int { return c.Settings.TenantIndex([]byte(name)) },

		MaxBytes: int64(settings.MaxBodyMB) << 20, MinRate: int64(settings.MinRateKBPerSecond) << 10, Timeout: time.Duration(settings.ReceiveTimeout),
		ProxyStatus: settings.ProxyStatus,
	}
}

// Settings for long bodies if [bodies] is off. A body of up to maxStoredLongBodyBytes is stored in
// memory while there is room, and its call may be retried. A longer one is streamed to a single
// server as it arrives, because its transfer there takes as long as from the client. A quarter of
// the memory for bodies is for short ones, a quarter for stored long ones and half for streams.
const (
	maxStoredLongBodyBytes = 256 << 10
	longBodyWindowBytes    = 64 << 10
	maxLongBodyBytes       = 32 << 20
	minLongBodyRate        = 32 << 10
	longBodyTimeout        = 10 * time.Minute
	maxStreams             = 512
)

// maxLongBodyStreams returns the maximum number of bodies that are streamed at once: each needs
// its window and one piece for reading.
func maxLongBodyStreams(c *Config) int64 {
	return min(maxStreams, maxBodyBytes(c)/2/(longBodyWindowBytes+body.MaxStreamPieceBytes))
}

// newLongBodyStore returns the store of long bodies for a sidecar whose [bodies] is off.
func newLongBodyStore(c *Config) (*body.Store, error) {
	classes := c.Settings.ClassNames()
	storeBytes := maxBodyBytes(c) / 4
	cfg := body.Config{
		Limits: bodypolicy.Limits{
			Memory: storeBytes, MemoryMost: min(maxStoredLongBodyBytes, storeBytes), MoveLeast: spool.MaxPieceBytes, FileMost: min(maxStoredLongBodyBytes, storeBytes),
			Streams: maxLongBodyStreams(c), Lend: 1, High: 1, Low: 0.9, Shares: make([]float64, len(classes)),
		},
		Window: longBodyWindowBytes, Classes: classes,
	}
	return body.New(cfg)
}

// frontLongBodies returns the front's settings for long bodies in store, or nil if store is nil.
func frontLongBodies(c *Config, store *body.Store) *front.Bodies {
	if store == nil {
		return nil
	}
	return &front.Bodies{
		Store: store, MaxBytes: maxLongBodyBytes, MinRate: minLongBodyRate, Timeout: longBodyTimeout,
		ClassIndex:  func(name string) int { return c.Settings.ClassIndex([]byte(name)) },
		TenantIndex: func(name string) int { return c.Settings.TenantIndex([]byte(name)) },
	}
}

// Status is the status page of a daemon on the admin socket.
type Status struct {
	PID         int          `json:"pid"`
	Listen      string       `json:"listen"`
	Ready       bool         `json:"ready"`
	StartTime   time.Time    `json:"since"`
	HeldCalls   int          `json:"calls"`              // held at present
	ClientConns int          `json:"client_connections"` // open at present
	Servers     int          `json:"server_connections"` // open at present
	MemoryMB    int          `json:"memory_mb_limit"`    // set by the platform
	Sockets     int          `json:"sockets_limit"`      // set by the platform
	Bodies      bool         `json:"bodies"`             // whether [bodies] is on
	DiskState   string       `json:"disk_state,omitempty"`
	BodyMemory  *body.Amount `json:"bodies_memory_bytes,omitempty"`
}

// statusPages returns the pages of the admin socket that every sidecar has, and the page of bodies
// if store is not nil.
func statusPages(c *Config, host *core.Host, srv *front.Server, pool *upstream.Pool, store *body.Store) map[string]func() any {
	started := time.Now()
	pages := map[string]func() any{
		"status": func() any {
			status := Status{PID: os.Getpid(), Listen: c.Listen, Ready: host.Ready(), StartTime: started, HeldCalls: host.Held(),
				ClientConns: srv.Conns(), Servers: pool.Conns(), MemoryMB: c.MemoryMB, Sockets: c.Sockets, Bodies: store != nil}
			if store != nil {
				view := store.View()
				status.DiskState, status.BodyMemory = view.DiskState, &view.Memory
			}
			return status
		},
	}
	if store != nil {
		pages["bodies"] = func() any { return store.View() }
	}
	return pages
}
