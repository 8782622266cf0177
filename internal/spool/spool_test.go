package spool

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"

	"chalkrack/internal/standin"
)

const testTimeout = 20 * time.Second

func newTestSpool(tb testing.TB, cfg Config) *Spool {
	tb.Helper()
	if cfg.Folder == "" {
		cfg.Folder = tb.TempDir()
	}
	if cfg.Wait == 0 {
		cfg.Wait = testTimeout
	}
	cfg.Workers, cfg.Queue, cfg.Classes = max(2, cfg.Workers), max(8, cfg.Queue), 2
	s, err := New(cfg)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(s.Close)
	return s
}

func pieces(seed uint64, compressible bool, sizes ...int) (all [][]byte) {
	rng := rand.New(rand.NewPCG(seed, 1))
	for _, n := range sizes {
		p := make([]byte, n)
		for i := range p {
			if p[i] = byte(rng.Uint32()); compressible {
				p[i] = "3174050290"[p[i]%10]
			}
		}
		all = append(all, p)
	}
	return all
}

func appendAll(t *testing.T, f *File, all [][]byte) {
	t.Helper()
	for _, p := range all {
		if err := f.Append(p); err != nil {
			t.Fatal(err)
		}
	}
}

func readAll(f *File, all [][]byte) error {
	at := int64(0)
	for n, want := range all {
		got, err := f.ReadAt(make([]byte, MaxPieceBytes), n, at)
		if err != nil {
			return err
		}
		if !bytes.Equal(got, want) {
			return errors.New("piece differs from what was written")
		}
		at = f.Next(n, at)
	}
	return nil
}

func eventually(t *testing.T, failure string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(failure)
		}
	}
}

// Pieces are read back as written, repeatedly, whether sealed, compressed or plain, and the
// descriptor is closed with the file.
func TestPiecesAreReadBackUnchanged(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	for name, cfg := range map[string]Config{"sealed": {}, "compressed": {Compress: true}, "plain": {Plain: true}} {
		for _, compressible := range []bool{true, false} {
			func() {
				cfg.Folder = t.TempDir()
				s, err := New(Config{Folder: cfg.Folder, Compress: cfg.Compress, Plain: cfg.Plain, Workers: 2, Queue: 4, Classes: 1, Wait: testTimeout})
				if err != nil {
					t.Fatal(err)
				}
				defer s.Close()
				f := s.File(0)
				all := pieces(7, compressible, 1, MaxPieceBytes, 5000, MaxPieceBytes, 17)
				appendAll(t, f, all)
				for range 2 {
					if err := readAll(f, all); err != nil {
						t.Errorf("%s: %v", name, err)
					}
				}
				if n := s.OpenFiles(); n != 1 {
					t.Errorf("%s: %d files open, want 1", name, n)
				}
				if small := f.endOffset < 2*MaxPieceBytes; small != (cfg.Compress && compressible) {
					t.Errorf("%s, compressible %v: file of %d bytes, want it compressed only if configured and compressible", name, compressible, f.endOffset)
				}
				f.Close()
				f.Close()
				eventually(t, "the file stays open", func() bool { return s.OpenFiles() == 0 })
				if err := f.Append(all[0]); !errors.Is(err, ErrClosed) {
					t.Errorf("%s: append after Close: %v, want ErrClosed", name, err)
				}
			}()
		}
	}
}

// A piece that was truncated, swapped with another one or altered at any place is rejected, and
// the file does not contain the plain text.
func TestAlteredPiecesAreRejected(t *testing.T) {
	disk := standin.NewDisk()
	for name, cfg := range map[string]Config{"sealed": {FS: disk}, "compressed": {FS: disk, Compress: true}} {
		s := newTestSpool(t, cfg)
		all := pieces(3, true, 4000, 4000)
		a, b := s.File(0), s.File(0)
		appendAll(t, a, all)
		appendAll(t, b, all)
		rng := rand.New(rand.NewPCG(11, 1))
		for range 200 {
			where, bit := rng.IntN(1<<20), byte(1)<<rng.IntN(8)
			disk.Corrupt(func(_ int64, p []byte) { p[where%len(p)] ^= bit })
			if err := readAll(a, all); !errors.Is(err, ErrAltered) {
				t.Fatalf("%s: altered piece: error %v, want ErrAltered", name, err)
			}
		}
		raw, other := a.handle.(interface {
			ReadAt([]byte, int64) (int, error)
		}), b.handle
		disk.Corrupt(func(at int64, p []byte) {
			if bytes.Contains(p, all[0][:32]) {
				t.Error("the file contains the plain text")
			}
		})
		if err := readAll(a, all); err != nil {
			t.Fatal(err)
		}
		disk.Corrupt(nil)
		// Replace the piece by one of another file, then by another one of the same file.
		buf := make([]byte, a.sizes[0])
		a.handle, _ = other, raw
		if err := readAll(a, all); !errors.Is(err, ErrAltered) {
			t.Errorf("%s: piece of another file: error %v, want ErrAltered", name, err)
		}
		a.handle = raw.(Handle)
		if a.sizes[0] == a.sizes[1] {
			raw.ReadAt(buf, int64(a.sizes[0]))
			a.handle.WriteAt(buf, 0)
			if _, err := a.ReadAt(make([]byte, MaxPieceBytes), 0, 0); !errors.Is(err, ErrAltered) {
				t.Errorf("%s: other piece of the same file: error %v, want ErrAltered", name, err)
			}
		}
		b.handle.(interface{ Close() error }).Close() // a file that was closed by others
		if err := readAll(b, all); err == nil {
			t.Errorf("%s: reading from a closed file returned no error", name)
		}
		b.handle = nil
		a.Close()
		b.Close()
	}
	s := newTestSpool(t, Config{FS: disk})
	f := s.File(0)
	appendAll(t, f, pieces(1, true, 100))
	f.endOffset = 0
	f.sizes[0] += 50 // more than the file has, as if it was truncated
	if _, err := f.ReadAt(make([]byte, MaxPieceBytes), 0, 0); !errors.Is(err, ErrAltered) {
		t.Errorf("truncated piece: error %v, want ErrAltered", err)
	}
	f.sizes[0] -= 50
	f.Close()
}

// Errors of the disk are returned and classified by NoRoom, and pieces written before can still
// be read.
func TestDiskErrorsAreClassified(t *testing.T) {
	for name, c := range map[string]struct {
		set    func(*standin.Disk)
		noRoom bool
	}{
		"no room":         {func(d *standin.Disk) { d.SetFreeBytes(100) }, true},
		"no descriptors":  {func(d *standin.Disk) { d.FailCreates(syscall.EMFILE) }, true},
		"short write":     {func(d *standin.Disk) { d.SetShortWrites(true) }, false},
		"read-only":       {func(d *standin.Disk) { d.FailCreates(syscall.EROFS) }, false},
		"quota":           {func(d *standin.Disk) { d.FailCreates(syscall.EDQUOT) }, true},
		"input or output": {func(d *standin.Disk) { d.FailCreates(syscall.EIO) }, false},
	} {
		disk := standin.NewDisk()
		s := newTestSpool(t, Config{FS: disk})
		good := s.File(0)
		all := pieces(5, false, 3000)
		appendAll(t, good, all)
		c.set(disk)
		bad := s.File(0)
		err := bad.Append(all[0])
		if err == nil || NoRoom(err) != c.noRoom {
			t.Errorf("%s: error %v, want one that NoRoom classifies correctly", name, err)
		}
		if err := readAll(good, all); err != nil {
			t.Errorf("%s: reading a file written before: %v", name, err)
		}
		if err := s.TestDisk(); err == nil {
			t.Errorf("%s: Try succeeded, want an error", name)
		}
		bad.Close()
		good.Close()
		eventually(t, name+": a file stays open", func() bool { return disk.OpenFiles() == 0 })
	}
	if _, err := os.Stat("/dev/full"); err == nil {
		s := newTestSpool(t, Config{FS: devFull{}})
		f := s.File(0)
		if err := f.Append(make([]byte, 10)); !errors.Is(err, syscall.ENOSPC) || !NoRoom(err) {
			t.Errorf("/dev/full: error %v, want ENOSPC", err)
		}
		f.Close()
	}
}

type devFull struct{}

func (devFull) Create(string) (Handle, error) { return os.OpenFile("/dev/full", os.O_RDWR, 0) }

// A call that hangs blocks one worker while others continue. A file with a timed-out call accepts
// no more pieces, and its descriptor is closed when the call ends.
func TestHungCallBlocksOneWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hung, well := standin.NewDisk(), standin.NewDisk()
		s := newTestSpool(t, Config{FS: &twoDisks{first: hung, then: well}, Wait: 200 * time.Millisecond, Workers: 2})
		hung.Hang()
		a := s.File(0)
		if err := a.Append(make([]byte, 10)); !errors.Is(err, ErrTimeout) {
			t.Fatalf("append on a hung disk: %v, want ErrTimeout", err)
		}
		if err := a.Append(make([]byte, 10)); !errors.Is(err, ErrClosed) {
			t.Errorf("append after a timed-out call: %v, want ErrClosed", err)
		}
		all := pieces(1, false, 100)
		for range 20 {
			f := s.File(1)
			appendAll(t, f, all)
			if err := readAll(f, all); err != nil {
				t.Fatal(err)
			}
			f.Close()
		}
		a.Close()
		hung.Resume()
		eventually(t, "a descriptor is left", func() bool { return hung.OpenFiles() == 0 && well.OpenFiles() == 0 && s.OpenFiles() == 0 })
	})
}

type twoDisks struct{ first, then *standin.Disk }

func (d *twoDisks) Create(folder string) (Handle, error) {
	if d.first.CreatedFiles()+d.first.BlockedCalls() == 0 {
		return d.first.Create(folder)
	}
	return d.then.Create(folder)
}

// While all workers hang, the queue of a class is bounded, and a full queue does not affect other
// classes.
func TestQueueIsBoundedByClass(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		disk := standin.NewDisk()
		s := newTestSpool(t, Config{FS: disk, Wait: 50 * time.Millisecond, Workers: 2, Queue: 8})
		disk.Hang()
		defer disk.Resume()
		var files []*File
		append1 := func(class int) error {
			f := s.File(class)
			files = append(files, f)
			return f.Append(make([]byte, 10))
		}
		busy := false
		for range 2 + 8 + 1 {
			busy = errors.Is(append1(0), ErrBusy)
		}
		if !busy {
			t.Error("the call after a full queue did not return ErrBusy")
		}
		if err := append1(1); !errors.Is(err, ErrTimeout) {
			t.Errorf("call of another class: %v, want ErrTimeout, as it must be queued", err)
		}
		disk.Resume()
		for _, f := range files {
			f.Close()
		}
		eventually(t, "a descriptor is left", func() bool { return disk.OpenFiles() == 0 })
	})
}

// A starting instance removes the folders of dead instances and keeps those of running ones, and
// files have no names in the folder. A child process is killed to leave a folder behind.
func TestStartRemovesFoldersOfDeadInstances(t *testing.T) {
	if dir := os.Getenv("SPOOL_CHILD"); dir != "" { // see below
		s, err := New(Config{Folder: dir, Workers: 1, Queue: 1, Classes: 1, Wait: testTimeout})
		if err != nil {
			t.Fatal(err)
		}
		s.File(0).Append([]byte("x"))
		os.WriteFile(filepath.Join(s.Folder(), "body-left"), []byte("x"), 0o600)
		os.Stdout.WriteString("at " + s.Folder() + "\n")
		time.Sleep(testTimeout)
		return
	}
	dir := t.TempDir()
	neighbour := newTestSpool(t, Config{Folder: dir})
	f := neighbour.File(0)
	all := pieces(1, false, 1000)
	appendAll(t, f, all)
	defer f.Close()

	cmd := exec.Command(os.Args[0], "-test.run=^TestStartRemovesFoldersOfDeadInstances$")
	cmd.Env = append(os.Environ(), "SPOOL_CHILD="+dir)
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	line := make([]byte, 500)
	n, err := out.Read(line)
	cmd.Process.Kill() // SIGKILL with files in use
	cmd.Wait()
	left, ok := strings.CutPrefix(strings.TrimSpace(string(line[:n])), "at ")
	if err != nil || !ok {
		t.Fatalf("child process printed %q, error %v, want its folder", line[:n], err)
	}
	if _, err := os.Stat(filepath.Join(left, "body-left")); err != nil {
		t.Fatalf("file left by the child process: %v", err)
	}
	newTestSpool(t, Config{Folder: dir})
	if _, err := os.Stat(left); !os.IsNotExist(err) {
		t.Errorf("folder of the dead instance still exists: %v", err)
	}
	entries, err := os.ReadDir(neighbour.Folder())
	if err != nil || len(entries) != 1 || entries[0].Name() != lockName {
		t.Errorf("folder of the running instance has %v, error %v; want only the lock", entries, err)
	}
	if err := readAll(f, all); err != nil {
		t.Errorf("reading a file of the running instance: %v", err)
	}
}

// BenchmarkFile writes and reads a body of 64 MiB, plain, sealed and compressed, of random bytes
// and of compressible text:
//
//	go test ./internal/spool -run '^$' -bench File
func BenchmarkFile(b *testing.B) {
	for _, text := range []bool{false, true} {
		piece := pieces(1, text, MaxPieceBytes)[0]
		for name, cfg := range map[string]Config{"plain": {Plain: true}, "sealed": {}, "compressed": {Compress: true}} {
			b.Run(fmt.Sprintf("%s/text=%v", name, text), func(b *testing.B) {
				s := newTestSpool(b, cfg)
				b.SetBytes(64 << 20)
				p := make([]byte, MaxPieceBytes)
				for b.Loop() {
					f := s.File(0)
					for range 1024 {
						if err := f.Append(piece); err != nil {
							b.Fatal(err)
						}
					}
					at := int64(0)
					for n := range 1024 {
						if _, err := f.ReadAt(p, n, at); err != nil {
							b.Fatal(err)
						}
						at = f.Next(n, at)
					}
					f.Close()
				}
			})
		}
	}
}

// BenchmarkCoders measures the memory held by the compression coders after their first use.
func BenchmarkCoders(b *testing.B) {
	heap := func() uint64 {
		runtime.GC()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	for b.Loop() {
		before := heap()
		s := newTestSpool(b, Config{Compress: true, FS: standin.NewDisk()})
		f := s.File(0)
		if err := f.Append(pieces(1, true, MaxPieceBytes)[0]); err != nil {
			b.Fatal(err)
		}
		if _, err := f.ReadAt(make([]byte, MaxPieceBytes), 0, 0); err != nil {
			b.Fatal(err)
		}
		f.Close()
		b.ReportMetric(float64(heap()-before)/1024, "KiB")
		runtime.KeepAlive(s)
	}
}
