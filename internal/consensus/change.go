package consensus

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"go.etcd.io/raft/v3/raftpb"
)

// ErrMemberChange is wrapped by the errors of ProposeMemberChange for invalid membership changes.
var ErrMemberChange = errors.New("this change of the members can't be made")

// ProposeMemberChange proposes to add or remove a member. Only the leader can do so. It returns
// once the change is proposed; Status shows when it has been applied. info is ignored if remove is
// set.
func (m *Member) ProposeMemberChange(ctx context.Context, id uint64, endpoint Endpoint, remove bool) error {
	return m.awaitAsLeader(ctx, func(result chan error) error {
		_, isMember := m.content.Members[id]
		switch {
		case id == 0:
			return fmt.Errorf("id 0: %w", ErrMemberChange)
		case remove != isMember:
			return fmt.Errorf("id %d, is a member: %v: %w", id, isMember, ErrMemberChange)
		case !remove && len(m.content.Members) >= MaxMembers:
			return fmt.Errorf("%d members at most: %w", MaxMembers, ErrMemberChange)
		}
		if !remove {
			for _, x := range m.content.Members {
				if x.Name == endpoint.Name || m.transport.addrOf(x) == endpoint.Addr || endpoint.Name == "" || endpoint.Addr == "" {
					return fmt.Errorf("%s at %s: the name or the address is another's or empty: %w", endpoint.Name, endpoint.Addr, ErrMemberChange)
				}
			}
		}
		text, err := json.Marshal(endpoint)
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
		result <- nil
		return nil
	})
}
