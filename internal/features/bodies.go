package features

import (
	"os"
	"time"

	"chalkrack/internal/duration"
)

// Bodies is the section [bodies]: how request bodies are kept for another attempt. It
// does nothing unless Enabled. Sizes are in the unit that the field's name ends with,
// of 1,024 and its square.
type Bodies struct {
	Enabled bool `toml:"enabled"`
	// MemoryMB is for kept bodies, and for all that is on its way; 0: three eighths of
	// the platform's memory_mb.
	MemoryMB        int `toml:"memory_mb"`
	MemoryLongestKB int `toml:"memory_longest_kb"` // of one body
	// Folder has the files of bodies; empty: none are made.
	Folder        string `toml:"folder"`
	DiskMB        int    `toml:"disk_mb"`
	FileLongestMB int    `toml:"file_longest_mb"` // of one body: a longer one is not kept
	Files         int    `toml:"files"`           // open at once
	Streams       int    `toml:"streams"`         // bodies at once that are not kept
	WindowKB      int    `toml:"window_kb"`       // of such a body, waiting for its server
	LongestMB     int    `toml:"longest_mb"`      // of any body: a longer one is answered 413
	// Shares has the part of each amount that a class is sure of.
	Shares map[string]float64 `toml:"shares"`
	Lend   float64            `toml:"lend"` // the part of an unused share that others may borrow
	High   float64            `toml:"high"`
	Low    float64            `toml:"low"`

	Compress  bool              `toml:"compress"`
	Workers   int               `toml:"workers"` // file calls at once
	Queue     int               `toml:"queue"`   // calls of a class that wait for a worker
	CallWait  duration.Duration `toml:"call_wait"`
	SlowAfter duration.Duration `toml:"slow_after"`
	RestLeast duration.Duration `toml:"rest_least"`
	RestMost  duration.Duration `toml:"rest_most"`
	Proof     int               `toml:"proof"` // good trials in a row

	RateKB      int               `toml:"rate_kb"` // a second, that a client sends of a long body at least
	Within      duration.Duration `toml:"within"`  // how long a body may take
	ProxyStatus bool              `toml:"proxy_status"`
}

func bodiesDefault() Bodies {
	return Bodies{
		MemoryLongestKB: 1 << 10, DiskMB: 256, FileLongestMB: 64, Files: 32, Streams: 32, WindowKB: 64, LongestMB: 1 << 10,
		Lend: 0.5, High: 0.8, Low: 0.6,
		Workers: 4, Queue: 64, CallWait: duration.Duration(500 * time.Millisecond), SlowAfter: duration.Duration(100 * time.Millisecond),
		RestLeast: duration.Duration(time.Second), RestMost: duration.Duration(30 * time.Second), Proof: 3,
		RateKB: 64, Within: duration.Duration(time.Minute),
	}
}

// pieceKB is how much of a body is at hand for each file that is written, for each
// reading of one, and for each body that is not kept, beside its window.
const pieceKB = 64

// OnTheWayKB is what is set aside of the memory for bodies on their way: for each file
// a piece that is written and one that is read, for each body that is not kept its
// window and a piece.
func (b *Bodies) OnTheWayKB() int {
	files := b.Files
	if b.Folder == "" {
		files = 0
	}
	return files*2*pieceKB + b.Streams*(b.WindowKB+pieceKB)
}

func (b *Bodies) check(c *checker) {
	at := func(name string) string { return "bodies." + name }
	between := func(name string, v, least, most int) {
		c.need(v >= least && v <= most, at(name), "must be within %d and %d", least, most)
	}
	within := func(name string, v duration.Duration, least, most time.Duration) {
		c.need(time.Duration(v) >= least && time.Duration(v) <= most, at(name), "must be within %v and %v", least, most)
	}
	const mb = 1 << 10
	between("memory_mb", b.MemoryMB, 0, 1<<20)
	between("memory_longest_kb", b.MemoryLongestKB, 64, 1<<20)
	between("disk_mb", b.DiskMB, 1, 1<<22)
	between("file_longest_mb", b.FileLongestMB, 1, 1<<14)
	c.need(b.FileLongestMB*mb >= b.MemoryLongestKB, at("file_longest_mb"), "must be no less than memory_longest_kb")
	c.need(b.Folder == "" || b.FileLongestMB <= b.DiskMB, at("file_longest_mb"), "must be no more than disk_mb")
	between("files", b.Files, 1, 1<<12)
	between("streams", b.Streams, 0, 1<<12)
	between("window_kb", b.WindowKB, pieceKB, 1<<14)
	between("longest_mb", b.LongestMB, 1, 1<<20)
	c.need(b.LongestMB*mb >= b.MemoryLongestKB, at("longest_mb"), "must be no less than memory_longest_kb")
	sum := 0.0
	for _, name := range sorted(b.Shares) {
		s := b.Shares[name]
		c.need(s >= 0 && s <= 1, at("shares."+name), "must be within 0 and 1")
		sum += s
	}
	c.need(sum <= 1+1e-9 || len(b.Shares) == 1, at("shares"), "must be 1 in all at most, not %v", sum)
	c.need(b.Lend >= 0 && b.Lend <= 1, at("lend"), "must be within 0 and 1")
	c.need(b.High > 0 && b.High <= 1, at("high"), "must be above 0, 1 at most")
	c.need(b.Low > 0 && b.Low < b.High, at("low"), "must be above 0 and under high")
	between("workers", b.Workers, 1, 64)
	between("queue", b.Queue, 1, 1<<12)
	within("call_wait", b.CallWait, 10*time.Millisecond, 30*time.Second)
	within("slow_after", b.SlowAfter, time.Millisecond, time.Duration(b.CallWait))
	within("rest_least", b.RestLeast, 10*time.Millisecond, time.Hour)
	within("rest_most", b.RestMost, time.Duration(b.RestLeast), 24*time.Hour)
	between("proof", b.Proof, 1, 100)
	between("rate_kb", b.RateKB, 1, 1<<20)
	within("within", b.Within, 6*time.Second, time.Hour)
	if b.Enabled && b.Folder != "" { // its first use would be too late to notice
		info, err := os.Stat(b.Folder)
		c.need(err == nil && info.IsDir(), at("folder"), "is not there")
	}
}

// checkPlatform holds the section against the platform's limits. inMemory says that the
// folder lies in memory, so that its files count as such.
func (b *Bodies) checkPlatform(c *checker, memoryMB, sockets int, inMemory bool) {
	if !b.Enabled {
		return
	}
	c.need(b.MemoryMB <= memoryMB, "bodies.memory_mb", "must be no more than the platform's memory_mb, %d", memoryMB)
	kb := b.MemoryKB(memoryMB)
	c.need(b.OnTheWayKB()+b.MemoryLongestKB <= kb, "bodies.memory_longest_kb",
		"and what files and streams hold on their way (%d KB) must fit the memory for bodies, %d KB", b.OnTheWayKB(), kb)
	files := b.Files
	if b.Folder == "" {
		files = 0
	}
	c.need(files <= sockets/4, "bodies.files", "must be a quarter of the platform's sockets at most, %d", sockets/4)
	if inMemory {
		c.need(b.DiskMB<<10+kb <= memoryMB<<10*3/4, "bodies.disk_mb",
			"the folder lies in memory: with memory_mb it must be three quarters of the platform's memory_mb at most, %d", memoryMB*3/4)
	}
}

// MemoryKB is the memory for bodies under a platform's limit.
func (b *Bodies) MemoryKB(memoryMB int) int {
	if b.MemoryMB > 0 {
		return b.MemoryMB << 10
	}
	return memoryMB << 10 * 3 / 8
}

// Admin is the section [admin]: the operators' Unix socket. It is off while Socket is
// empty.
type Admin struct {
	Socket string `toml:"socket"`
}
