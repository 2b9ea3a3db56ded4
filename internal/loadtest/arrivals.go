package loadtest

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// Arrival is one scheduled online request.
type Arrival struct {
	// At is the time since the start of the run.
	At           time.Duration
	Gateway      int
	Organisation int
	Tokens       int
	Prompt       string
}

// BurstyLoad describes online load that cycles through three phases: no requests, the calm rate and a burst of ten
// times the calm rate.
type BurstyLoad struct {
	Seed   uint64
	Length time.Duration
	// CalmPerSecond is the calm rate, in requests per second.
	CalmPerSecond float64
	Gateways      int
	Organisations int
}

const (
	burstFactor          = 10
	minTokens            = 8
	maxTokens            = 24
	sharedWords          = 32
	uniqueWords          = 8
	promptTopics         = 20
	phaseLengthVariation = 0.5
)

// phases are the phases of a cycle. Rates are multiples of the calm rate; each length varies by up to
// phaseLengthVariation/2.
var phases = []struct {
	length time.Duration
	rate   float64
}{
	{
		length: 2 * time.Second,
		rate:   0,
	},
	{
		length: 1500 * time.Millisecond,
		rate:   1,
	},
	{
		length: time.Second,
		rate:   burstFactor,
	},
}

// Arrivals returns the schedule. Equal values of r give equal schedules.
func (r BurstyLoad) Arrivals() []Arrival {
	rng := rand.New(rand.NewPCG(r.Seed, r.Seed))
	var arrivals []Arrival
	start := time.Duration(0)
	for cycle := 0; start < r.Length; cycle++ {
		phase := phases[cycle%len(phases)]
		stretch := 1 + phaseLengthVariation*(rng.Float64()-0.5)
		end := min(r.Length, start+time.Duration(float64(phase.length)*stretch))
		at := start
		for phase.rate > 0 {
			at += time.Duration(rng.ExpFloat64() / (r.CalmPerSecond * phase.rate) * float64(time.Second))
			if at >= end {
				break
			}
			arrivals = append(arrivals, r.arrival(rng, at, len(arrivals)))
		}
		start = end
	}
	return arrivals
}

func (r BurstyLoad) arrival(rng *rand.Rand, at time.Duration, number int) Arrival {
	topic := rng.IntN(promptTopics)
	return Arrival{
		At:           at,
		Gateway:      rng.IntN(r.Gateways),
		Organisation: rng.IntN(r.Organisations),
		Tokens:       minTokens + rng.IntN(maxTokens-minTokens+1),
		Prompt:       prompt(topic, number),
	}
}

// prompt returns a prompt that begins with the words shared by all prompts of its topic, followed by unique words.
func prompt(topic, number int) string {
	words := make([]string, 0, sharedWords+uniqueWords)
	for i := range sharedWords {
		words = append(words, fmt.Sprintf("t%d-%d", topic, i))
	}
	for i := range uniqueWords {
		words = append(words, fmt.Sprintf("q%d-%d", number, i))
	}
	return strings.Join(words, " ")
}
