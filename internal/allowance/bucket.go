// Package allowance decides whether an organisation may send another request. It holds the token buckets of all
// organisations at a steward, the record of what a VM's organisations were granted, and the refusals that a VM repeats by
// itself. All times are arguments; the package starts no goroutines and uses no network.
package allowance

import "time"

// rounding is how much less than a token counts as one. The sum of many small additions may be slightly less than the
// exact one.
const rounding = 1e-9

// Bucket is a token bucket. The zero value is full as soon as it is filled.
type Bucket struct {
	tokens float64
	// filled is the time as of which tokens is correct.
	filled time.Time
}

// Fill adds the tokens that are due at a rate per second, up to the size.
func (b *Bucket) Fill(rate, size float64, now time.Time) {
	if since := now.Sub(b.filled); since > 0 {
		b.tokens = min(size, b.tokens+rate*since.Seconds())
		b.filled = now
	}
}

// Set sets the number of tokens as of a time.
func (b *Bucket) Set(tokens float64, now time.Time) {
	b.tokens = tokens
	b.filled = now
}

// Cut removes the tokens that exceed the size.
func (b *Bucket) Cut(size float64) {
	b.tokens = min(b.tokens, size)
}

// Add adds tokens, or removes them if the number is negative.
func (b *Bucket) Add(tokens float64) {
	b.tokens += tokens
}

// Has reports whether there is a token.
func (b *Bucket) Has() bool {
	return b.tokens >= 1-rounding
}

// Take removes a token if there is one.
func (b *Bucket) Take() {
	b.tokens = max(0, b.tokens-1)
}
