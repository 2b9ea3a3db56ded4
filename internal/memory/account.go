package memory

// Account is the memory held for one purpose of a holder, such as a request. It is safe for concurrent use. A nil account
// counts nothing and permits everything.
type Account struct {
	budget *Budget
	holder Holder
	// held and ahead are what the account holds for work and for answers read ahead, under the lock of the budget.
	held   Bytes
	ahead  Bytes
	closed bool
}

// Reserve takes memory for new work, and reports whether there is enough: all that is held stays within the bound, and the
// holder within its part of it. It takes nothing if there is not, or if the account is closed.
func (a *Account) Reserve(n Bytes) bool {
	if a == nil {
		return true
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.update()
	if a.closed {
		return false
	}
	if b.held+n > b.bound {
		b.refuse(n)
		return false
	}
	if b.isOverPart(a.holder, n) {
		return false
	}
	b.add(a.holder, n)
	a.held += n
	return true
}

// ReserveAhead takes memory for an answer that is read ahead, and reports whether there is enough. It leaves a part of the
// bound to new work.
func (a *Account) ReserveAhead(n Bytes) bool {
	if a == nil {
		return true
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.closed || b.exceeds(b.ahead+n, aheadPart) || b.exceeds(b.held+n, resumePart) || b.isOverPart(a.holder, n) {
		return false
	}
	b.ahead += n
	b.add(a.holder, n)
	a.ahead += n
	return true
}

// Add counts memory that is held whether or not there is enough, such as that of work that was taken before.
func (a *Account) Add(n Bytes) {
	if a == nil {
		return
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.closed {
		return
	}
	b.add(a.holder, n)
	a.held += n
}

// Release returns memory taken by Reserve or Add.
func (a *Account) Release(n Bytes) {
	if a == nil {
		return
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	n = min(n, a.held)
	a.held -= n
	b.add(a.holder, -n)
	b.update()
}

// ReleaseAhead returns memory taken by ReserveAhead.
func (a *Account) ReleaseAhead(n Bytes) {
	if a == nil {
		return
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	n = min(n, a.ahead)
	a.ahead -= n
	b.ahead -= n
	b.add(a.holder, -n)
	b.update()
}

// Close returns all memory of the account, which takes none afterwards.
func (a *Account) Close() {
	if a == nil {
		return
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ahead -= a.ahead
	b.add(a.holder, -a.held-a.ahead)
	a.held, a.ahead = 0, 0
	a.closed = true
	b.update()
}
