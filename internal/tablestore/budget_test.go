package tablestore

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

func txnOf(class Class, writes int) Txn {
	return Txn{
		Class:  class,
		Writes: make([]Write, writes),
	}
}

// TestBudgetServesUrgentClassesFirst exhausts the budget and then starts one transaction of each class, the most urgent
// last. A lower class is a more urgent one.
func TestBudgetServesUrgentClassesFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget := NewBudget(MaxWrites, 1)
		ctx := context.Background()
		// The budget accumulates burstSeconds of writes, so it takes two transactions to exhaust it.
		assert.NilError(t, budget.waitWrite(ctx, txnOf(ClassSession, MaxWrites)))
		assert.NilError(t, budget.waitWrite(ctx, txnOf(ClassSession, MaxWrites)))
		var mu sync.Mutex
		var order []Class
		var group sync.WaitGroup
		for _, class := range []Class{ClassReport, ClassClaim, ClassCommit, ClassSession} {
			group.Go(func() {
				assert.Check(t, budget.waitWrite(ctx, txnOf(class, MaxWrites)) == nil)
				mu.Lock()
				defer mu.Unlock()
				order = append(order, class)
			})
			synctest.Wait()
		}
		group.Wait()
		assert.DeepEqual(t, order, []Class{ClassSession, ClassCommit, ClassClaim, ClassReport})
	})
}

func TestBudgetExhaustedBeyondDeadlineIsUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget := NewBudget(1, 1)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		assert.NilError(t, budget.waitWrite(ctx, txnOf(ClassCommit, MaxWrites)))
		err := budget.waitWrite(ctx, txnOf(ClassCommit, MaxWrites))
		assert.Assert(t, errors.Is(err, ErrUnavailable), "got %v", err)
	})
}
