package batch

import (
	"time"

	"rhubarbrudder/internal/forward"
	"rhubarbrudder/internal/route"
)

const (
	// stallTimeout is how long a run may go without an event before it is cancelled and resumed at another endpoint, besides the
	// time for the prompt.
	stallTimeout = time.Second
	// silencesBeforeGrowth is how many endpoints in a row may be silent to an item before the next one gets more time, twice as
	// much with each of them, up to maxSilenceDoublings times.
	silencesBeforeGrowth = 2
	maxSilenceDoublings  = 3
)

// silenceLimit returns how long the next run of an item may go without an event. An item at which several endpoints in a row were
// silent is likely to need more time: its prompt is longer than its headers state, or the endpoints are slow or busy.
func (j *job) silenceLimit(item *Item, rt *route.Route, progress *Progress) time.Duration {
	limit := stallTimeout + forward.ReadTime(j.manager.sender.PromptTokens(j.newCall(item)))
	if doublings := progress.Silences - silencesBeforeGrowth + 1; doublings > 0 {
		limit <<= min(doublings, maxSilenceDoublings)
	}
	return max(stallTimeout, min(limit, time.Until(j.abandonAt(rt))))
}
