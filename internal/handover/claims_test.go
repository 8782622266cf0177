package handover

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
)

func openClaims(t *testing.T, dir string) *Claims {
	t.Helper()
	claims, err := OpenClaims(dir)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { claims.Close() })
	return claims
}

// An ID that one process has claimed is refused to another until it is given up, also after the first
// has ended.
func TestClaimsOfTwoProcesses(t *testing.T) {
	dir := t.TempDir()
	first, second := openClaims(t, dir), openClaims(t, dir)
	if !first.Claim("a") || !second.Claim("b") {
		t.Error("a new id is refused")
	}
	if !first.Claim("a") {
		t.Error("an id is refused to the process that has claimed it")
	}
	if second.Claim("a") || first.Claim("b") {
		t.Error("an id is granted to two processes")
	}
	first.Forget("a")
	if !second.Claim("a") {
		t.Error("an id that was given up is refused")
	}
	first.Forget("a")
	if first.Claim("a") {
		t.Error("a process gave up the claim of another")
	}
	second.Close()
	if openClaims(t, dir).Claim("a") {
		t.Error("the claim ended with its process")
	}
}

// Of two processes that claim the same ids at the same time, at most one is granted each.
func TestClaimsAtTheSameTime(t *testing.T) {
	dir := t.TempDir()
	const ids = 400
	var granted [ids]atomic.Int32
	var wg sync.WaitGroup
	for range 4 {
		claims := openClaims(t, dir)
		wg.Go(func() {
			for n := range ids {
				if claims.Claim(fmt.Sprint(n)) {
					granted[n].Add(1)
				}
			}
		})
	}
	wg.Wait()
	for n := range granted {
		if granted[n].Load() > 1 {
			t.Errorf("id %d was granted to %d processes", n, granted[n].Load())
		}
	}
}

// A claim is remembered for claimTTL; a full bucket gives up its oldest claim.
func TestClaimsExpireAndAreBounded(t *testing.T) {
	old := newClaim(1, 2, 100)
	if old.isFree(100+claimTTL) || !old.isFree(101+claimTTL) || !old.isFree(99) {
		t.Error("a claim is not remembered for claimTTL, or the clock of a start before counts")
	}
	var full bucket
	for slot := range full {
		full[slot] = newClaim(uint32(slot), uint64(slot%maxProcesses), uint64(100+(slot+9)%bucketSlots))
	}
	for owner := range uint64(maxProcesses) {
		slot := full.oldest(owner, 140)
		if full[slot].owner() != owner || full[slot].stamp() >= 100+maxProcesses {
			t.Errorf("the claim of process %d of second %d gives way to one of process %d", full[slot].owner(), full[slot].stamp(), owner)
		}
	}
	dir := t.TempDir()
	claims := openClaims(t, dir)
	for n := range claimBuckets * bucketSlots {
		if !claims.Claim(fmt.Sprint(n)) {
			t.Fatalf("new id %d is refused", n)
		}
	}
	info, err := os.Stat(filepath.Join(dir, claimsFile))
	if err != nil || info.Size() != headerBytes+claimBuckets*bucketBytes {
		t.Errorf("the file has %d bytes, %v", info.Size(), err)
	}
}

// A damaged file is replaced at the next start, and one that can't be used any more refuses nothing.
func TestDamagedClaims(t *testing.T) {
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, claimsFile), []byte("noise"), 0o600); err != nil {
		t.Fatal(err)
	}
	first, second := openClaims(t, dir), openClaims(t, dir)
	if !first.Claim("a") || second.Claim("a") {
		t.Error("the table of a damaged file does not work")
	}
	first.file.Truncate(0)
	if !second.Claim("a") {
		t.Error("an id is refused although nothing can be read")
	}
	second.Forget("a")
}
