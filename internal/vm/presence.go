package vm

import (
	"context"

	"rhubarbrudder/internal/batch"
	"rhubarbrudder/internal/pool"
	"rhubarbrudder/internal/roster"
)

// presence tells the roster which other VMs are running.
type presence struct {
	stewards *pool.Stewards
	caller   pool.Caller
}

// Present returns the VMs that use this one as a steward.
func (p presence) Present() map[pool.VMName]bool {
	return p.stewards.VMs()
}

// Answers reports whether the listed process of a VM answers a call.
func (p presence) Answers(ctx context.Context, vm roster.VM) bool {
	var reply batch.HoldsReply
	err := p.caller.Call(ctx, vm.Address, batch.MethodHolds, batch.HoldsArgs{}, &reply)
	return err == nil && reply.Incarnation == vm.Incarnation
}
