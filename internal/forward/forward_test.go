package forward

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"rhubarbrudder/internal/pool"
	"rhubarbrudder/internal/route"
)

// TestTrouble checks which failure the end of an attempt reports to the pool. The duration of an answer that is not a
// stream says nothing about the endpoint's health, so its silence does not count against the endpoint.
func TestTrouble(t *testing.T) {
	cases := map[string]struct {
		kind route.Kind
		err  error
		want pool.Trouble
	}{
		"answered":       {kind: route.KindStream, want: pool.TroubleNone},
		"silent stream":  {kind: route.KindStream, err: errors.Join(ErrBroken, ErrStalled), want: pool.TroubleSilent},
		"silent request": {kind: route.KindIdempotent, err: errors.Join(ErrBroken, ErrStalled), want: pool.TroubleBroken},
		"silent request that must run at most once": {kind: route.KindOnce, err: errors.Join(ErrBroken, ErrStalled), want: pool.TroubleBroken},
		"broken off":                   {kind: route.KindStream, err: ErrBroken, want: pool.TroubleBroken},
		"no connection":                {kind: route.KindOnce, err: ErrNotSent, want: pool.TroubleUnreachable},
		"rejected by the endpoint":     {kind: route.KindOnce, err: ErrNotRun, want: pool.TroubleFull},
		"known to be leaving":          {kind: route.KindStream, err: ErrLeaving, want: pool.TroubleLeaving},
		"connection attempt timed out": {kind: route.KindStream, err: errors.Join(ErrNotSent, ErrStalled), want: pool.TroubleUnreachable},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := &serving{
				route: &route.Route{
					Kind: c.kind,
				},
			}
			assert.Equal(t, s.trouble(c.err), c.want)
		})
	}
}
