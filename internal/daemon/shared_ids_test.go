package daemon

import (
	"path/filepath"
	"testing"

	"chalkrack/internal/config/configtest"
)

// Guards against a table of claims in the working folder, where no other process looks for it: without
// a folder for temporary files there is none.
func TestNoSharedIDsWithoutTemporaryFolder(t *testing.T) {
	p := configtest.New(t)
	p.Write(t, 5, "")
	c := p.Load(t)
	c.InheritedFD = 9
	t.Chdir(t.TempDir())
	s := &sidecar{cfg: c}
	defer s.close()
	if ids := s.openSharedIDs(); ids != nil {
		t.Errorf("claims without a folder: %v", ids)
	}
	if left, err := filepath.Glob("*"); err != nil || len(left) > 0 {
		t.Errorf("left in the working folder: %v, %v", left, err)
	}
	dir := t.TempDir()
	c.Getenv = func(name string) string {
		return map[string]string{"TMPDIR": dir}[name]
	}
	if s.openSharedIDs() == nil {
		t.Error("no claims with a folder")
	}
}
