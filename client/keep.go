package client

import (
	"errors"
	"fmt"
	"time"

	"chalkrack/internal/body"
	"chalkrack/internal/keep"
	"chalkrack/internal/spool"
)

// Keep says how bodies are kept for further attempts: a short one in memory, a longer
// one in a file, and what is longer still, or finds no room, not at all. Such a call
// has one attempt, which reads the request's body as it sends it.
type Keep struct {
	Memory        int64 // bytes in memory, of all calls; 0: Keep is off
	MemoryLongest int64 // bytes, of one body; 0: a quarter of Memory
	// Folder has the files; empty: there are none. Several processes may share it.
	Folder      string
	Disk        int64 // bytes in files; 0: 256 MiB
	FileLongest int64 // bytes, of one body; 0: a quarter of Disk
	Files       int64 // open at once; 0: 32
	Streams     int64 // bodies at once that are not kept; 0: 32
	Compress    bool
	Within      time.Duration // how long a body that is not kept may take; 0: a minute
}

const keepWindow = 64 << 10

// store is where bodies are kept, nil if that is off. Errors name the field.
func (p *plan) store() (*body.Store, error) {
	k := &p.Keep
	for name, v := range map[string]int64{"Memory": k.Memory, "MemoryLongest": k.MemoryLongest, "Disk": k.Disk, "FileLongest": k.FileLongest,
		"Files": k.Files, "Streams": k.Streams, "Within": int64(k.Within)} {
		if v < 0 {
			return nil, fmt.Errorf("client: Keep.%s must be 0 or more", name)
		}
	}
	if k.Memory == 0 {
		if *k != (Keep{}) {
			return nil, errors.New("client: Keep.Memory is not set")
		}
		return nil, nil
	}
	k.MemoryLongest = or(k.MemoryLongest, max(1, k.Memory/4))
	k.Disk = or(k.Disk, 256<<20)
	k.FileLongest = or(k.FileLongest, max(k.MemoryLongest, k.Disk/4))
	k.Files, k.Streams, k.Within = or(k.Files, 32), or(k.Streams, 32), or(k.Within, time.Minute)
	names := p.set.Names()
	cfg := body.Config{
		Limits: keep.Limits{Memory: k.Memory, MemoryMost: k.MemoryLongest, MoveLeast: spool.PieceMost, FileMost: k.MemoryLongest,
			Streams: k.Streams, Shares: make([]float64, len(names)), High: 0.8, Low: 0.6, Tenants: len(p.set.Config.Tenants)},
		Disk:    keep.DiskLimits{SlowAfter: 100 * time.Millisecond, RestLeast: time.Second, RestMost: 30 * time.Second, Proof: 3},
		Classes: names, Window: keepWindow, Log: p.Log,
	}
	for n := range names { // each class is sure of a part: half of all is shared out evenly
		cfg.Limits.Shares[n] = 0.5 / float64(len(names))
	}
	cfg.Limits.Lend = 0.5
	if err := cfg.Limits.Check(); err != nil {
		return nil, fmt.Errorf("client: Keep: %w", err)
	}
	if k.Folder != "" {
		cfg.Limits.Disk, cfg.Limits.FileMost, cfg.Limits.Files = k.Disk, k.FileLongest, k.Files
		if err := cfg.Limits.Check(); err != nil {
			return nil, fmt.Errorf("client: Keep: %w", err)
		}
		var err error
		cfg.Spool, err = spool.New(spool.Config{Folder: k.Folder, Workers: 4, Queue: 64, Classes: len(names), Wait: 500 * time.Millisecond, Compress: k.Compress})
		if err != nil {
			return nil, fmt.Errorf("client: Keep.Folder: %w", err)
		}
	}
	s, err := body.New(cfg)
	if err != nil {
		return nil, fmt.Errorf("client: Keep: %w", err)
	}
	return s, nil
}

// BodiesView is where bodies are kept and what became of them, by class.
type BodiesView = body.View

// Bodies is the state of what Config.Keep set up; false where it is off.
func (t *Transport) Bodies() (v BodiesView, ok bool) {
	if t.store == nil {
		return v, false
	}
	return t.store.View(), true
}

// keep takes the request's body as far as it is kept, and returns its length, -1 where
// it goes on in chunks.
func (c *call) keep(info Info) (size int64, err error) {
	t := c.t
	in := body.Incoming{Class: t.plan.set.Class([]byte(info.Class)), Tenant: t.plan.set.Tenant([]byte(info.Tenant)), Length: -1, Body: c.r.Body}
	if c.r.ContentLength > 0 {
		in.Length = c.r.ContentLength
	}
	c.kept, err = t.store.Receive(in)
	switch {
	case errors.Is(err, body.ErrNoRoom):
		return 0, fmt.Errorf("%w: no room to keep it or to pass it on", ErrBodyTooLarge)
	case err != nil:
		return 0, fmt.Errorf("client: reading the body: %w", err)
	}
	if pieces := c.kept.Pieces(); pieces != nil {
		c.msg.Body, c.msg.Again = pieces, c.kept.Retried
		size = 0
		for _, p := range pieces {
			size += int64(len(p))
		}
		return size, nil
	}
	size = c.kept.Length()
	c.msg.Source, c.msg.Chunked = c.kept, size < 0
	return size, nil
}

// forward passes on the rest of a body that is not kept, beside the attempt that reads
// it. forwarded is closed when it has ended.
func (c *call) forward() {
	if !c.unkept() {
		return
	}
	c.forwarded = make(chan struct{})
	go func() { // Close does not wait for it: a body whose Close ends no read would hang it
		defer close(c.forwarded)
		defer c.closeBody()
		c.forwardErr = c.kept.Forward()
	}()
}

// drop ends the body. Attempts that still read it end.
func (c *call) drop() {
	if c.kept != nil {
		c.kept.Break()
		c.kept.Drop()
	}
	if c.unkept() { // guards against a caller that waits for its body to be taken
		c.closeBody()
	}
}

func (c *call) closeBody() { c.closing.Do(func() { closeBody(c.r) }) }

// unkept says that the body goes on to one server, or the daemon, and can't again.
func (c *call) unkept() bool { return c.kept != nil && c.kept.Coming() }
