package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
)

// blockWords is the number of words in a block. Cached prefixes of prompts consist of whole blocks.
const blockWords = 16

// prefixCache holds the most recently used prefixes of prompts, each up to the end of a block.
type prefixCache struct {
	mu sync.Mutex
	// limit is the maximum number of prefixes.
	limit    int
	prefixes []string
	events   *cacheEvents
}

func newPrefixCache(limit int, events *cacheEvents) *prefixCache {
	return &prefixCache{
		limit:  limit,
		events: events,
	}
}

// lookupAndStore returns how many words at the start of the prompt were cached, and caches all its
// prefixes that end with a block.
func (c *prefixCache) lookupAndStore(prompt string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	words := strings.Fields(prompt)
	cached := 0
	hit := true
	for end := blockWords; end <= len(words); end += blockWords {
		prefix := strings.Join(words[:end], " ")
		at := slices.Index(c.prefixes, prefix)
		if at < 0 {
			hit = false
			c.prefixes = append(c.prefixes, prefix)
			c.events.publish("BlockStored", prefix)
			continue
		}
		if hit {
			cached = end
		}
		c.prefixes = append(slices.Delete(c.prefixes, at, at+1), prefix)
	}
	for len(c.prefixes) > c.limit {
		c.events.publish("BlockRemoved", c.prefixes[0])
		c.prefixes = c.prefixes[1:]
	}
	return cached
}

// CacheEvent reports that an engine stored or removed a prompt prefix in its cache.
type CacheEvent struct {
	Sequence int64
	Type     string
	Prefix   string
}

// cacheEvents holds the latest events. Readers ask for the events after a sequence number and see a gap if older events
// have been dropped.
type cacheEvents struct {
	mu     sync.Mutex
	last   int64
	events []CacheEvent
}

// maxEvents is how many events a reader can lag behind without a gap.
const maxEvents = 1000

func newCacheEvents() *cacheEvents {
	return &cacheEvents{}
}

func (c *cacheEvents) publish(eventType, prefix string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last++
	c.events = append(c.events, CacheEvent{
		Sequence: c.last,
		Type:     eventType,
		Prefix:   prefix,
	})
	if len(c.events) > maxEvents {
		c.events = c.events[len(c.events)-maxEvents:]
	}
}

func (c *cacheEvents) serve(w http.ResponseWriter, r *http.Request) {
	var after int64
	_, _ = fmt.Sscan(r.URL.Query().Get("after"), &after)
	c.mu.Lock()
	events := slices.Clone(c.events)
	c.mu.Unlock()
	events = slices.DeleteFunc(events, func(event CacheEvent) bool {
		return event.Sequence <= after
	})
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(events)
}
