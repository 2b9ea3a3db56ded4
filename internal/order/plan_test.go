package order

import (
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"rhubarbrudder/internal/document"
	"rhubarbrudder/internal/endpoint"
)

// engines returns an engine for each letter: w serves the wanted version, o an old one and e nothing, l is loading, b
// has an order in progress, and u is not reached.
func engines(letters string) []engine {
	var result []engine
	for i, letter := range letters {
		next := engine{
			endpoint: endpoint.Endpoint{
				ID: endpoint.ID(strconv.Itoa(i)),
			},
			reached: letter != 'u',
			busy:    letter == 'b',
		}
		switch letter {
		case 'w':
			next.state.Current = Order{Model: "m", Version: "2"}
		case 'o', 'b':
			next.state.Current = Order{Model: "m", Version: "1"}
		case 'l':
			next.state = State{Current: Order{Model: "m", Version: "1"}, Loading: true}
		}
		result = append(result, next)
	}
	return result
}

func TestPlan(t *testing.T) {
	cases := map[string]struct {
		engines string
		wanted  int
		share   float64
		// want lists the engines that get an order; -N is ordered to serve nothing.
		want string
	}{
		"nothing to do":               {engines: "www", wanted: 3, share: 0.5},
		"empty ones are filled":       {engines: "wee", wanted: 3, want: "1 2"},
		"a share at once":             {engines: "oooo", wanted: 4, share: 0.5, want: "0 1"},
		"one is out already":          {engines: "booo", wanted: 4, share: 0.5, want: "1"},
		"lost ones count":             {engines: "uuoo", wanted: 4, share: 0.5},
		"loading ones count":          {engines: "llow", wanted: 4, share: 0.5, want: "0 1"},
		"no share, no roll-out":       {engines: "oo", wanted: 2},
		"fewer than wanted":           {engines: "oo", wanted: 4, share: 0.25},
		"more than wanted":            {engines: "owww", wanted: 3, want: "-0"},
		"more than wanted, some lost": {engines: "uwww", wanted: 3},
		"old ones beyond the wanted":  {engines: "owo", wanted: 2, share: 0.5, want: "0 -2"},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			service := document.Service{
				Model:              "m",
				Endpoints:          tt.wanted,
				MaximumUnavailable: tt.share,
			}
			var got []string
			for _, next := range plan(service, Desired{Model: "m", Version: "2"}, engines(tt.engines)) {
				id := string(next.endpoint.ID)
				if next.wanted.Model == "" {
					id = "-" + id
				}
				got = append(got, id)
			}
			assert.Equal(t, strings.Join(got, " "), tt.want)
		})
	}
}
