package features

import (
	"os"
	"time"

	"chalkrack/internal/duration"
)

// Bodies is the section [bodies]: how request bodies are buffered so that a call can be
// attempted again. It has no effect unless Enabled is set. The suffix of a field's name
// gives its unit: KB is 1,024 bytes, MB is 1,024 KB.
type Bodies struct {
	Enabled bool `toml:"enabled"`
	// MemoryMB limits the memory for buffered bodies and for bodies in transfer; 0 means
	// three eighths of the platform's memory_mb.
	MemoryMB        int `toml:"memory_mb"`
	MaxBodyMemoryKB int `toml:"memory_longest_kb"` // largest single body kept in memory
	// Folder holds the files of buffered bodies; if empty, bodies are not written to disk.
	Folder        string `toml:"folder"`
	DiskMB        int    `toml:"disk_mb"`
	MaxBodyFileMB int    `toml:"file_longest_mb"` // largest single body kept on disk; larger ones are not buffered
	MaxOpenFiles  int    `toml:"files"`           // maximum number of open files
	MaxStreams    int    `toml:"streams"`         // maximum number of concurrent unbuffered bodies
	WindowKB      int    `toml:"window_kb"`       // part of an unbuffered body that may wait for its server
	MaxBodyMB     int    `toml:"longest_mb"`      // largest body accepted; larger ones are answered with 413
	// Shares is the fraction of each limit that is reserved for a class.
	Shares map[string]float64 `toml:"shares"`
	Lend   float64            `toml:"lend"` // fraction of an unused share that other classes may borrow
	High   float64            `toml:"high"`
	Low    float64            `toml:"low"`

	Compress          bool              `toml:"compress"`
	Workers           int               `toml:"workers"` // maximum number of concurrent file operations
	MaxQueuedPerClass int               `toml:"queue"`   // maximum number of operations of one class that wait for a worker
	FileCallTimeout   duration.Duration `toml:"call_wait"`
	SlowAfter         duration.Duration `toml:"slow_after"`
	MinTrialDelay     duration.Duration `toml:"rest_least"`
	MaxTrialDelay     duration.Duration `toml:"rest_most"`
	RequiredTrials    int               `toml:"proof"` // consecutive successful trials before the disk is used again

	MinRateKBPerSecond int               `toml:"rate_kb"` // minimum rate per second at which a client has to send a long body
	ReceiveTimeout     duration.Duration `toml:"within"`  // maximum time to receive a body
	ProxyStatus        bool              `toml:"proxy_status"`
}

func defaultBodies() Bodies {
	return Bodies{
		MaxBodyMemoryKB: 1 << 10, DiskMB: 256, MaxBodyFileMB: 64, MaxOpenFiles: 32, MaxStreams: 32, WindowKB: 64, MaxBodyMB: 1 << 10,
		Lend: 0.5, High: 0.8, Low: 0.6,
		Workers: 4, MaxQueuedPerClass: 64, FileCallTimeout: duration.Duration(500 * time.Millisecond), SlowAfter: duration.Duration(100 * time.Millisecond),
		MinTrialDelay: duration.Duration(time.Second), MaxTrialDelay: duration.Duration(30 * time.Second), RequiredTrials: 3,
		MinRateKBPerSecond: 64, ReceiveTimeout: duration.Duration(time.Minute),
	}
}

// chunkKB is the size of the buffer that each file being written, each file being read
// and each unbuffered body needs. An unbuffered body needs its window in addition.
const chunkKB = 64

// TransferKB returns the memory reserved for bodies in transfer, in KB: two chunks for
// each file, one for writing and one for reading, and a window and a chunk for each
// unbuffered body.
func (b *Bodies) TransferKB() int {
	files := b.MaxOpenFiles
	if b.Folder == "" {
		files = 0
	}
	return files*2*chunkKB + b.MaxStreams*(b.WindowKB+chunkKB)
}

func (b *Bodies) check(c *checker) {
	fieldName := func(name string) string { return "bodies." + name }
	requireInt := func(name string, v, lower, upper int) {
		c.require(v >= lower && v <= upper, fieldName(name), "must be within %d and %d", lower, upper)
	}
	requireDuration := func(name string, v duration.Duration, lower, upper time.Duration) {
		c.require(time.Duration(v) >= lower && time.Duration(v) <= upper, fieldName(name), "must be within %v and %v", lower, upper)
	}
	const mb = 1 << 10
	requireInt("memory_mb", b.MemoryMB, 0, 1<<20)
	requireInt("memory_longest_kb", b.MaxBodyMemoryKB, 64, 1<<20)
	requireInt("disk_mb", b.DiskMB, 1, 1<<22)
	requireInt("file_longest_mb", b.MaxBodyFileMB, 1, 1<<14)
	c.require(b.MaxBodyFileMB*mb >= b.MaxBodyMemoryKB, fieldName("file_longest_mb"), "must be no less than memory_longest_kb")
	c.require(b.Folder == "" || b.MaxBodyFileMB <= b.DiskMB, fieldName("file_longest_mb"), "must be no more than disk_mb")
	requireInt("files", b.MaxOpenFiles, 1, 1<<12)
	requireInt("streams", b.MaxStreams, 0, 1<<12)
	requireInt("window_kb", b.WindowKB, chunkKB, 1<<14)
	requireInt("longest_mb", b.MaxBodyMB, 1, 1<<20)
	c.require(b.MaxBodyMB*mb >= b.MaxBodyMemoryKB, fieldName("longest_mb"), "must be no less than memory_longest_kb")
	sum := 0.0
	for _, name := range sortedKeys(b.Shares) {
		s := b.Shares[name]
		c.require(s >= 0 && s <= 1, fieldName("shares."+name), "must be within 0 and 1")
		sum += s
	}
	c.require(sum <= 1+1e-9 || len(b.Shares) == 1, fieldName("shares"), "must be 1 in all at most, not %v", sum)
	c.require(b.Lend >= 0 && b.Lend <= 1, fieldName("lend"), "must be within 0 and 1")
	c.require(b.High > 0 && b.High <= 1, fieldName("high"), "must be above 0, 1 at most")
	c.require(b.Low > 0 && b.Low < b.High, fieldName("low"), "must be above 0 and under high")
	requireInt("workers", b.Workers, 1, 64)
	requireInt("queue", b.MaxQueuedPerClass, 1, 1<<12)
	requireDuration("call_wait", b.FileCallTimeout, 10*time.Millisecond, 30*time.Second)
	requireDuration("slow_after", b.SlowAfter, time.Millisecond, time.Duration(b.FileCallTimeout))
	requireDuration("rest_least", b.MinTrialDelay, 10*time.Millisecond, time.Hour)
	requireDuration("rest_most", b.MaxTrialDelay, time.Duration(b.MinTrialDelay), 24*time.Hour)
	requireInt("proof", b.RequiredTrials, 1, 100)
	requireInt("rate_kb", b.MinRateKBPerSecond, 1, 1<<20)
	requireDuration("within", b.ReceiveTimeout, 6*time.Second, time.Hour)
	if b.Enabled && b.Folder != "" { // report a missing folder at startup, not at its first use
		info, err := os.Stat(b.Folder)
		c.require(err == nil && info.IsDir(), fieldName("folder"), "is not there")
	}
}

// checkPlatform checks the section against the platform's limits. inMemory reports that
// the folder is on a memory-backed file system, so that its files count as memory.
func (b *Bodies) checkPlatform(c *checker, memoryMB, sockets int, inMemory bool) {
	if !b.Enabled {
		return
	}
	c.require(b.MemoryMB <= memoryMB, "bodies.memory_mb", "must be no more than the platform's memory_mb, %d", memoryMB)
	kb := b.MemoryKB(memoryMB)
	c.require(b.TransferKB()+b.MaxBodyMemoryKB <= kb, "bodies.memory_longest_kb",
		"and what files and streams hold on their way (%d KB) must fit the memory for bodies, %d KB", b.TransferKB(), kb)
	files := b.MaxOpenFiles
	if b.Folder == "" {
		files = 0
	}
	c.require(files <= sockets/4, "bodies.files", "must be a quarter of the platform's sockets at most, %d", sockets/4)
	if inMemory {
		c.require(b.DiskMB<<10+kb <= memoryMB<<10*3/4, "bodies.disk_mb",
			"the folder lies in memory: with memory_mb it must be three quarters of the platform's memory_mb at most, %d", memoryMB*3/4)
	}
}

// MemoryKB returns the memory for bodies in KB, given the platform's limit in MB.
func (b *Bodies) MemoryKB(memoryMB int) int {
	if b.MemoryMB > 0 {
		return b.MemoryMB << 10
	}
	return memoryMB << 10 * 3 / 8
}

// Admin is the section [admin]: the Unix socket for operators' commands. It is disabled
// if Socket is empty.
type Admin struct {
	Socket string `toml:"socket"`
}
