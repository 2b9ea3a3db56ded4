package loadtest

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// Arrival is one online request of a schedule.
type Arrival struct {
	At           time.Duration
	Gateway      int
	Organisation int
	Tokens       int
	Prompt       string
}

// Rush describes bursty online load: phases without requests, of calm and of ten times as many.
type Rush struct {
	Seed          uint64
	Length        time.Duration
	CalmPerSecond float64
	Gateways      int
	Organisations int
}

const (
	rushFactor     = 10
	leastTokens    = 8
	mostTokens     = 24
	sharedWords    = 32
	ownWords       = 8
	promptTopics   = 20
	phaseVariation = 0.5
)

// phases are the lengths of a cycle's phases and their rates in multiples of the calm rate.
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
		rate:   rushFactor,
	},
}

// Arrivals returns the schedule, the same for the same values.
func (r Rush) Arrivals() []Arrival {
	rng := rand.New(rand.NewPCG(r.Seed, r.Seed))
	var arrivals []Arrival
	begin := time.Duration(0)
	for cycle := 0; begin < r.Length; cycle++ {
		phase := phases[cycle%len(phases)]
		stretch := 1 + phaseVariation*(rng.Float64()-0.5)
		end := min(r.Length, begin+time.Duration(float64(phase.length)*stretch))
		at := begin
		for phase.rate > 0 {
			at += time.Duration(rng.ExpFloat64() / (r.CalmPerSecond * phase.rate) * float64(time.Second))
			if at >= end {
				break
			}
			arrivals = append(arrivals, r.arrival(rng, at, len(arrivals)))
		}
		begin = end
	}
	return arrivals
}

func (r Rush) arrival(rng *rand.Rand, at time.Duration, number int) Arrival {
	topic := rng.IntN(promptTopics)
	return Arrival{
		At:           at,
		Gateway:      rng.IntN(r.Gateways),
		Organisation: rng.IntN(r.Organisations),
		Tokens:       leastTokens + rng.IntN(mostTokens-leastTokens+1),
		Prompt:       prompt(topic, number),
	}
}

// prompt returns words that all prompts of a topic begin with, and some of its own.
func prompt(topic, number int) string {
	words := make([]string, 0, sharedWords+ownWords)
	for i := range sharedWords {
		words = append(words, fmt.Sprintf("t%d-%d", topic, i))
	}
	for i := range ownWords {
		words = append(words, fmt.Sprintf("q%d-%d", number, i))
	}
	return strings.Join(words, " ")
}
