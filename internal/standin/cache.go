package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
)

// prefixWords is how many words of a prompt make a cached block.
const prefixWords = 16

// prefixCache keeps the blocks of prompt prefixes used last.
type prefixCache struct {
	mu     sync.Mutex
	limit  int
	blocks []string
	events *cacheEvents
}

func newPrefixCache(limit int, events *cacheEvents) *prefixCache {
	return &prefixCache{
		limit:  limit,
		events: events,
	}
}

// use returns how many words of the prompt were cached, and caches the rest.
func (c *prefixCache) use(prompt string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	words := strings.Fields(prompt)
	cached := 0
	hit := true
	for end := prefixWords; end <= len(words); end += prefixWords {
		block := strings.Join(words[:end], " ")
		at := slices.Index(c.blocks, block)
		if at < 0 {
			hit = false
			c.blocks = append(c.blocks, block)
			c.events.publish("BlockStored", block)
			continue
		}
		if hit {
			cached = end
		}
		c.blocks = append(slices.Delete(c.blocks, at, at+1), block)
	}
	for len(c.blocks) > c.limit {
		c.events.publish("BlockRemoved", c.blocks[0])
		c.blocks = c.blocks[1:]
	}
	return cached
}

// CacheEvent says that an engine stored or removed a block of a prompt prefix.
type CacheEvent struct {
	Sequence int64
	Type     string
	Prefix   string
}

// cacheEvents keeps the latest events for readers that ask for those after a number; older ones are a gap.
type cacheEvents struct {
	mu     sync.Mutex
	last   int64
	events []CacheEvent
}

// keptEvents is how many events a reader can be behind.
const keptEvents = 1000

func newCacheEvents() *cacheEvents {
	return &cacheEvents{}
}

func (c *cacheEvents) publish(kind, prefix string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last++
	c.events = append(c.events, CacheEvent{
		Sequence: c.last,
		Type:     kind,
		Prefix:   prefix,
	})
	if len(c.events) > keptEvents {
		c.events = c.events[len(c.events)-keptEvents:]
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
