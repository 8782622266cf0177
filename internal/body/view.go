package body

import (
	"time"

	"chalkrack/internal/bodypolicy"
)

// ClassView holds the totals of the bodies of a class as shown to operators.
type ClassView struct {
	Class         string `json:"class"`
	Memory        int64  `json:"kept_in_memory"`
	File          int64  `json:"kept_in_file"`
	NotKept       int64  `json:"not_kept"`
	Refused       int64  `json:"no_room"`
	Moved         int64  `json:"moved_to_file"`
	RetriedMemory int64  `json:"retried_from_memory"`
	RetriedFile   int64  `json:"retried_from_file"`
	UnkeptRefused int64  `json:"refused_for_not_kept"`
	UnkeptFailed  int64  `json:"failed_for_not_kept"`
	Bytes         int64  `json:"bytes_in_memory"`
	DiskBytes     int64  `json:"bytes_on_disk"`
}

// Amount describes the use of a limited amount, in bytes or items: now, the maximum so far, and
// the limit.
type Amount struct {
	Now   int64 `json:"now"`
	Max   int64 `json:"most"`
	Limit int64 `json:"limit"`
}

// View is the state of a Store as shown to operators.
type View struct {
	Classes     []ClassView `json:"classes"`
	Memory      Amount      `json:"memory_bytes"`
	Disk        Amount      `json:"disk_bytes"`
	Files       Amount      `json:"files"`
	Streams     Amount      `json:"streams"`
	Tight       bool        `json:"memory_tight"`
	DiskState   string      `json:"disk_state"` // off: files are not used
	DiskSince   time.Time   `json:"disk_since"`
	DiskChanges int         `json:"disk_changes"`
}

// View returns the current state.
func (s *Store) View() View {
	s.mu.Lock()
	defer s.mu.Unlock()
	u := s.keeper.Usage()
	v := View{Memory: Amount(u.Memory), Disk: Amount(u.Disk), Files: Amount(u.Files), Streams: Amount(u.Streams),
		Tight: s.keeper.IsTight(), DiskState: "off", DiskSince: s.diskSince, DiskChanges: s.disk.Changes()}
	if s.cfg.Spool != nil {
		state, _ := s.disk.State()
		v.DiskState = state.String()
	}
	for n, name := range s.cfg.Classes {
		v.Classes = append(v.Classes, classView(name, s.keeper.Count(n)))
	}
	return v
}

func classView(name string, c bodypolicy.Count) ClassView {
	return ClassView{name, c.Memory, c.File, c.NotKept, c.Refused, c.Moved, c.RetriedMemory, c.RetriedFile, c.UnkeptRefused, c.UnkeptFailed, c.Bytes, c.DiskBytes}
}
