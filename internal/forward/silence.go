package forward

import (
	"time"

	"rhubarbrudder/internal/route"
)

// PromptTokens is a number of tokens of a prompt.
type PromptTokens int64

const (
	// stallFirst limits the time to the first event of a stream if the request may be sent again. stallNext limits the
	// time between events of a stream that may continue at another endpoint. Both are several times what a slow endpoint
	// takes besides the time for the prompt, and short enough to retry or continue elsewhere before the caller leaves.
	stallFirst = 600 * time.Millisecond
	stallNext  = 500 * time.Millisecond
	// promptTokenTime is roughly the time per token that a loaded endpoint takes to read a prompt of many thousand tokens.
	promptTokenTime = 25 * time.Microsecond
)

// ReadTime returns how long a sound endpoint may take to read a prompt. It sends nothing meanwhile. An endpoint that runs out of
// memory between two events reads the prompt again.
func ReadTime(tokens PromptTokens) time.Duration {
	return time.Duration(tokens) * promptTokenTime
}

// firstTimeout returns the time limit for the first event of a stream, or for the complete answer of another kind.
func (s *serving) firstTimeout() time.Duration {
	left := time.Until(s.deadline)
	attemptsLeft := s.route.Attempts - s.possibleRuns
	if !s.route.Repeatable() || attemptsLeft <= 1 {
		return left
	}
	silence := min(left, s.overdueAfter())
	if s.route.Kind == route.KindStream {
		return silence
	}
	// An answer that is not a stream says nothing until it is complete, so its endpoint may be slow or silent. Each
	// attempt gets an equal share of the time that is left.
	return max(silence, left/time.Duration(attemptsLeft))
}

// overdueAfter returns how long the first event may take until the endpoint counts as silent.
func (s *serving) overdueAfter() time.Duration {
	return stallFirst + ReadTime(s.promptTokens)
}

// nextTimeout returns the time limit for the next event of a stream, or for the rest of an answer of another kind.
func (s *serving) nextTimeout() time.Duration {
	if s.route.Kind == route.KindStream && s.route.Repeatable() && s.possibleRuns < s.route.Attempts {
		return stallNext + ReadTime(s.promptTokens)
	}
	return time.Until(s.deadline)
}
