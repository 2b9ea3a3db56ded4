package steward

import "time"

// floorCredit is the slot time that is owed to batch work at an endpoint. The floor is the minimum share of an
// endpoint's slot time that batch work gets even if online requests keep the endpoint busy.
type floorCredit struct {
	// seconds is the slot time owed, in seconds.
	seconds float64
	// settled is when the credit was last updated.
	settled time.Time
}

const (
	// floorQuantum is the slot time, in seconds, that must be owed before a floor grant is made: a grant at an endpoint
	// without free slots.
	floorQuantum = 1.0
	// floorMax bounds the slot time, in seconds, that can be owed.
	floorMax = 4.0
)

// settle adds the slot time that became owed and subtracts the slot time used since the last call.
func (f *floorCredit) settle(now time.Time, owedSlots float64, usedSlots int) {
	if !f.settled.IsZero() {
		f.seconds += (owedSlots - float64(usedSlots)) * now.Sub(f.settled).Seconds()
		f.seconds = max(0, min(floorMax, f.seconds))
	}
	f.settled = now
}

// due reports whether a floor grant is owed.
func (f *floorCredit) due() bool {
	return f.seconds >= floorQuantum
}

// spent reports whether no slot time is owed any more.
func (f *floorCredit) spent() bool {
	return f.seconds <= 0
}
