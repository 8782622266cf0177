package council

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"go.etcd.io/raft/v3/raftpb"
)

// ErrMember is of a change of members that can't be.
var ErrMember = errors.New("this change of the members can't be made")

// Change adds or removes a member, through the log. It returns once it is proposed to the
// others: the status shows when it holds.
func (m *Member) Change(ctx context.Context, id uint64, p Peer, remove bool) error {
	return m.await(ctx, func(told chan error) error {
		_, there := m.content.Members[id]
		switch {
		case id == 0:
			return fmt.Errorf("id 0: %w", ErrMember)
		case remove != there:
			return fmt.Errorf("id %d, there: %v: %w", id, there, ErrMember)
		case !remove && len(m.content.Members) >= MembersMost:
			return fmt.Errorf("%d members at most: %w", MembersMost, ErrMember)
		}
		if !remove {
			for _, x := range m.content.Members {
				if x.Name == p.Name || m.post.where(x) == p.Addr || p.Name == "" || p.Addr == "" {
					return fmt.Errorf("%s at %s: the name or the address is another's or empty: %w", p.Name, p.Addr, ErrMember)
				}
			}
		}
		text, err := json.Marshal(p)
		if err != nil {
			return err
		}
		kind := raftpb.ConfChangeAddNode
		if remove {
			kind = raftpb.ConfChangeRemoveNode
		}
		if err := m.node.ProposeConfChange(&raftpb.ConfChange{Type: &kind, NodeId: &id, Context: text}); err != nil {
			return err
		}
		told <- nil
		return nil
	})
}
