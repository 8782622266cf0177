package features

import (
	"fmt"
	"strings"
	"testing"
)

// Every error about [bodies] names its field, and the limits that depend on the platform
// are checked against it.
func TestBodiesErrorNamesField(t *testing.T) {
	dir := t.TempDir()
	for text, want := range map[string]string{
		"memory_mb = -1":        "bodies.memory_mb",
		"memory_longest_kb = 1": "bodies.memory_longest_kb",
		"disk_mb = 0":           "bodies.disk_mb",
		"file_longest_mb = 2\nmemory_longest_kb = 4096": "bodies.file_longest_mb",
		"folder = \"" + dir + "\"\ndisk_mb = 8":         "bodies.file_longest_mb",
		"files = 0":                                     "bodies.files",
		"streams = -1":                                  "bodies.streams",
		"window_kb = 1":                                 "bodies.window_kb",
		"longest_mb = 0":                                "bodies.longest_mb",
		"lend = 1.5":                                    "bodies.lend",
		"high = 0.5\nlow = 0.5":                         "bodies.low",
		"workers = 0":                                   "bodies.workers",
		"queue = 0":                                     "bodies.queue",
		"call_wait = \"1ms\"\nslow_after = \"1ms\"":     "bodies.call_wait",
		"slow_after = \"1s\"":                           "bodies.slow_after",
		"rest_least = \"40s\"":                          "bodies.rest_most",
		"proof = 0":                                     "bodies.proof",
		"rate_kb = 0":                                   "bodies.rate_kb",
		"within = \"1s\"":                               "bodies.within",
		"enabled = true\nfolder = \"/does/not/exist\"": "bodies.folder",
		"[bodies.shares]\na = 0.6\nb = 0.5":            "bodies.shares",
		"[bodies.shares]\na = 1.5":                     "bodies.shares.a",
		"colour = 1":                                   "bodies.colour",
	} {
		if _, err := Parse("f", []byte("version = 1\n[bodies]\n"+text+"\n")); err == nil || !strings.Contains(err.Error(), want+": ") {
			t.Errorf("Parse(%q) = %v, want an error about %s", text, err, want)
		}
	}
	for text, c := range map[string]struct {
		memory, sockets int
		inMemory        bool
		want            string // substring of the error; empty if the file is valid
	}{
		"":                                 {192, 1024, false, ""},
		"enabled = false\nmemory_mb = 999": {192, 1024, false, ""},
		"memory_mb = 193":                  {192, 1024, false, "bodies.memory_mb"},
		"memory_mb = 4":                    {192, 1024, false, "bodies.memory_longest_kb"},
		"streams = 2000":                   {192, 1024, false, "bodies.memory_longest_kb"},
		"files = 17":                       {192, 64, false, "bodies.files"},
		"disk_mb = 100":                    {192, 1024, true, "bodies.disk_mb"},
		"disk_mb = 70":                     {192, 1024, true, ""},
		"memory_longest_kb = 64\nfile_longest_mb = 1\ndisk_mb = 8\nfiles = 4\nstreams = 4": {32, 64, false, ""},
	} {
		head := fmt.Sprintf("version = 1\n[bodies]\nfolder = %q\n", dir)
		if !strings.Contains(text, "enabled") {
			head += "enabled = true\n"
		}
		f, err := Parse("f", []byte(head+text+"\n"))
		if err != nil {
			t.Errorf("Parse(%q): %v", text, err)
			continue
		}
		err = f.CheckPlatform(c.memory, c.sockets, c.inMemory)
		if c.want == "" && err != nil || c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want)) {
			t.Errorf("CheckPlatform of %q with %d MB and %d sockets = %v, want %q", text, c.memory, c.sockets, err, c.want)
		}
	}
	f, err := Parse("f", []byte("version = 1\n[bodies.shares]\nnobody = 0.1\n"))
	if err != nil {
		t.Fatal(err)
	}
	if err := f.CheckClasses(func(string) bool { return false }); err == nil || !strings.Contains(err.Error(), "bodies.shares.nobody") {
		t.Errorf("CheckClasses with an unknown class = %v, want an error about bodies.shares.nobody", err)
	}
}
