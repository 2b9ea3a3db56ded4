package endpoint

import (
	"testing"

	"gotest.tools/v3/assert"

	"rhubarbrudder/internal/tablestore"
)

func listed(state tablestore.VMState) []tablestore.VM {
	return []tablestore.VM{
		{
			Name:        "engine-0",
			Incarnation: "1",
			Address:     "127.70.0.1",
			Port:        8000,
			Service:     "beacon-assist",
			State:       state,
		},
	}
}

func TestLeavingIsSticky(t *testing.T) {
	replaced := listed(tablestore.VMLive)
	replaced[0].Incarnation = "2"
	cases := map[string]struct {
		steps func(d *Directory)
		want  int
	}{
		"an endpoint that never leaves": {
			steps: func(d *Directory) { d.Update(listed(tablestore.VMLive)) },
			want:  1,
		},
		"older list after the newer": {
			steps: func(d *Directory) {
				d.Update(listed(tablestore.VMLeaving))
				d.Update(listed(tablestore.VMLive))
			},
		},
		"older list after the end of the VM": {
			steps: func(d *Directory) {
				d.Update(listed(tablestore.VMLeaving))
				d.Update(nil)
				d.Update(listed(tablestore.VMLive))
			},
		},
		"reported before it was listed": {
			steps: func(d *Directory) {
				d.MarkLeaving("engine-0/1")
				d.Update(nil)
				d.Update(listed(tablestore.VMLive))
			},
		},
		"replacement": {
			steps: func(d *Directory) {
				d.Update(listed(tablestore.VMLeaving))
				d.Update(replaced)
			},
			want: 1,
		},
		"a departure older than leavingTTL": {
			steps: func(d *Directory) {
				d.Update(listed(tablestore.VMLive))
				d.AddDepartures([]Departure{{ID: "engine-0/1", AgeMilliseconds: leavingTTL.Milliseconds() + 1}})
			},
			want: 1,
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			directory := NewDirectory()
			notified := 0
			directory.OnLeave(func(ids []ID) { notified += len(ids) })
			c.steps(directory)
			assert.Equal(t, len(directory.Serving("beacon-assist")), c.want)
			assert.Equal(t, notified, 1-len(directory.notLeaving()), "notified once")
		})
	}
}

// notLeaving returns the id of the test's first incarnation if no endpoint is marked as leaving, and nil otherwise.
func (d *Directory) notLeaving() []ID {
	if len(d.Departures()) == 0 {
		return []ID{"engine-0/1"}
	}
	return nil
}
