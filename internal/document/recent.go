package document

// recentChanges are the changes that led to the view in force, for peers that are a little behind.
type recentChanges struct {
	last    Revision
	changes []Change
	bytes   int
}

const (
	// recentKept and recentBytes bound the changes kept.
	recentKept  = 1000
	recentBytes = 4 << 20
)

// add appends the changes up to the revision; without them, what is kept does not lead there and is dropped.
func (r *recentChanges) add(revision Revision, changes []Change) {
	if len(changes) == 0 || changes[0].Revision != r.last+1 {
		r.changes, r.bytes = nil, 0
	}
	r.last = revision
	for _, change := range changes {
		// Peers apply changes and never undo them.
		change.Before = nil
		r.changes = append(r.changes, change)
		r.bytes += change.size()
	}
	for len(r.changes) > recentKept || r.bytes > recentBytes {
		r.bytes -= r.changes[0].size()
		r.changes = r.changes[1:]
	}
}

// after returns the changes after the revision, up to the limit of bytes, or none if they are not all kept.
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

// size returns about how many bytes the change takes.
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
