package document

// recentChanges holds the latest changes that led to the view in force, to be sent to peers that are a few revisions
// behind.
type recentChanges struct {
	last    Revision
	changes []Change
	bytes   int
}

const (
	// maxRecentChanges and maxRecentBytes limit the number and the size of the stored changes.
	maxRecentChanges = 1000
	maxRecentBytes   = 4 << 20
)

// add appends the changes that lead to the revision. If changes is empty or does not continue the stored changes, the
// stored ones are dropped first, because they do not lead to the revision.
func (r *recentChanges) add(revision Revision, changes []Change) {
	if len(changes) == 0 || changes[0].Revision != r.last+1 {
		r.changes, r.bytes = nil, 0
	}
	r.last = revision
	for _, change := range changes {
		// Before serves only to undo a change, which peers never do.
		change.Before = nil
		r.changes = append(r.changes, change)
		r.bytes += change.size()
	}
	for len(r.changes) > maxRecentChanges || r.bytes > maxRecentBytes {
		r.bytes -= r.changes[0].size()
		r.changes = r.changes[1:]
	}
}

// after returns the changes after the revision, as many as fit into the limit in bytes but at least one. It returns
// none if a change after the revision is no longer stored.
func (r *recentChanges) after(revision Revision, limit int) []Change {
	if revision >= r.last || len(r.changes) == 0 || r.changes[0].Revision > revision+1 {
		return nil
	}
	found := r.changes[revision+1-r.changes[0].Revision:]
	bytes := 0
	for i, change := range found {
		bytes += change.size()
		if bytes > limit && i > 0 {
			return found[:i:i]
		}
	}
	return found[:len(found):len(found)]
}

// size returns the approximate size of the change in bytes.
func (c Change) size() int {
	const fixed = 200
	bytes := fixed + len(c.ID)
	for name, entry := range c.Set {
		bytes += len(name) + len(entry)
	}
	for _, name := range c.Remove {
		bytes += len(name)
	}
	return bytes
}
