package pool

// Trouble is the failure, if any, that a VM observed at an endpoint. Messages and log lines call it trouble.
type Trouble int

const (
	// TroubleNone means that no failure was observed.
	TroubleNone Trouble = iota
	// TroubleUnreachable means that no connection could be made.
	TroubleUnreachable
	// TroubleBroken means that a connection broke, or went silent where silence does not count against the endpoint.
	TroubleBroken
	// TroubleSilent means that the endpoint sent nothing for too long.
	TroubleSilent
	// TroubleFull means that the endpoint rejected a request.
	TroubleFull
	// TroubleLeaving means that the endpoint takes no new work, as far as the VM knows.
	TroubleLeaving
	// TroubleUnknown means that the run ended for a reason that says nothing about the endpoint.
	TroubleUnknown
)

// String names the trouble, for logs.
func (t Trouble) String() string {
	names := map[Trouble]string{
		TroubleNone:        "none",
		TroubleUnreachable: "unreachable",
		TroubleBroken:      "broken",
		TroubleSilent:      "silent",
		TroubleFull:        "full",
		TroubleLeaving:     "leaving",
		TroubleUnknown:     "unknown",
	}
	return names[t]
}
