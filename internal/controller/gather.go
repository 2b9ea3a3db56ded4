package controller

import (
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"rhubarbrudder/internal/fleet"
)

const (
	// gatherTimeout bounds how long a report waits for the members' answers.
	gatherTimeout = 2 * time.Second
	// maxGatherCalls bounds how many members are called concurrently.
	maxGatherCalls = 64
)

// gatherFrom calls query for every member, for several members concurrently, and returns the role and VM of each member
// for which query failed.
func gatherFrom(ctx context.Context, members []fleet.Member, query func(ctx context.Context, member fleet.Member) error) []string {
	ctx, cancel := context.WithTimeout(ctx, gatherTimeout)
	defer cancel()
	var mu sync.Mutex
	var silent []string
	group := &errgroup.Group{}
	group.SetLimit(maxGatherCalls)
	for _, member := range members {
		group.Go(func() error {
			if err := query(ctx, member); err != nil {
				mu.Lock()
				silent = append(silent, string(member.Role)+"/"+string(member.VM))
				mu.Unlock()
			}
			return nil
		})
	}
	_ = group.Wait()
	slices.Sort(silent)
	return silent
}

// expectedMembers returns the processes of the roles that are alive, and those that should run on the listed VMs. Each
// address occurs once.
func (c *Controller) expectedMembers(roles ...fleet.Role) []fleet.Member {
	var members []fleet.Member
	known := map[string]bool{}
	add := func(member fleet.Member) {
		if slices.Contains(roles, member.Role) && !known[member.Address] {
			known[member.Address] = true
			members = append(members, member)
		}
	}
	for _, role := range roles {
		for _, member := range c.members.Alive(role) {
			add(member)
		}
	}
	for _, member := range c.members.Listed() {
		add(member)
	}
	return members
}
