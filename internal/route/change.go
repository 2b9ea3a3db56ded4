package route

import "log/slog"

// organisationChange counts how the organisations of two configurations differ.
type organisationChange struct {
	added   int
	removed int
	// rotated is the number of organisations whose keys differ, keysAdded and keysRemoved the number of their keys that do.
	rotated     int
	keysAdded   int
	keysRemoved int
	// limits and ranks are the numbers of organisations with another limit or rank.
	limits int
	ranks  int
}

// changeOfOrganisations compares the organisations of two configurations; old is nil before the first one.
func changeOfOrganisations(old, next *Config) organisationChange {
	if old == nil {
		old = &Config{}
	}
	var change organisationChange
	before, after := old.organisations(), next.organisations()
	for id, o := range after.byID {
		was := before.byID[id]
		if was == nil {
			change.added++
			continue
		}
		change.compareKeys(was, o, before, after)
		if was.Allowance != o.Allowance {
			change.limits++
		}
		if was.Rank != o.Rank {
			change.ranks++
		}
	}
	for id := range before.byID {
		if after.byID[id] == nil {
			change.removed++
		}
	}
	return change
}

// compareKeys counts the keys of an organisation that only one configuration has.
func (c *organisationChange) compareKeys(was, o *Organisation, before, after *organisationIndex) {
	added, removed := 0, 0
	for _, key := range o.Keys {
		if holder := before.byKey[key]; holder == nil || holder.ID != o.ID {
			added++
		}
	}
	for _, key := range was.Keys {
		if holder := after.byKey[key]; holder == nil || holder.ID != was.ID {
			removed++
		}
	}
	if added+removed > 0 {
		c.rotated++
	}
	c.keysAdded += added
	c.keysRemoved += removed
}

// log logs the change in one line, unless nothing has changed.
func (c organisationChange) log(log *slog.Logger, next *Config) {
	if c == (organisationChange{}) {
		return
	}
	log.Info("organisations changed", "version", next.Version, "organisations", len(next.Organisations), "added", c.added, "removed", c.removed,
		"rotated", c.rotated, "keys_added", c.keysAdded, "keys_removed", c.keysRemoved, "limits", c.limits, "priorities", c.ranks)
}
