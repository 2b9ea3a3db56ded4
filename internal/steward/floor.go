package steward

import "time"

// floorCredit is the slot time that batch is owed at an endpoint that online requests keep busy.
type floorCredit struct {
	seconds float64
	settled time.Time
}

const (
	// floorQuantum is the slot time, in seconds, that must be owed before a floor grant is made.
	floorQuantum = 1.0
	// floorMost bounds the slot time, in seconds, that can be owed.
	floorMost = 4.0
)

// settle adds what was owed and subtracts what was used since the last call.
func (f *floorCredit) settle(now time.Time, owedSlots float64, usedSlots int) {
	if !f.settled.IsZero() {
		f.seconds += (owedSlots - float64(usedSlots)) * now.Sub(f.settled).Seconds()
		f.seconds = max(0, min(floorMost, f.seconds))
	}
	f.settled = now
}

// due reports whether a floor grant is owed.
func (f *floorCredit) due() bool {
	return f.seconds >= floorQuantum
}

// spent reports whether a floor grant has used what was owed.
func (f *floorCredit) spent() bool {
	return f.seconds <= 0
}
