package endpoint

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"rhubarbrudder/internal/document"
	"rhubarbrudder/internal/fleet"
	"rhubarbrudder/internal/request"
	"rhubarbrudder/internal/tablestore"
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

const testService document.ServiceName = "beacon-assist"

type fixedGateways struct {
	self    fleet.Member
	alive   []fleet.Member
	version uint64
}

func (g *fixedGateways) Self() fleet.Member              { return g.self }
func (g *fixedGateways) Alive(fleet.Role) []fleet.Member { return g.alive }
func (g *fixedGateways) Version() uint64                 { return g.version }

func gatewaysOf(n, self int) *fixedGateways {
	gateways := &fixedGateways{}
	for i := range n {
		gateways.alive = append(gateways.alive, fleet.Member{
			Role:          fleet.RoleGateway,
			VM:            tablestore.VMName(fmt.Sprintf("vm-%d", i)),
			Region:        "bayern-sued",
			FailureDomain: domainOf(i),
		})
	}
	gateways.self = gateways.alive[self]
	return gateways
}

func domainOf(i int) tablestore.FailureDomain {
	return tablestore.FailureDomain(fmt.Sprintf("domain-%d", i%3))
}

func enginesOf(n int) *Directory {
	directory := NewDirectory()
	var vms []tablestore.VM
	for i := range n {
		vms = append(vms, tablestore.VM{
			Name:          tablestore.VMName(fmt.Sprintf("engine-%d", i)),
			Incarnation:   "1",
			Service:       string(testService),
			Region:        "bayern-sued",
			FailureDomain: domainOf(i),
			State:         tablestore.VMLive,
		})
	}
	directory.Update(vms)
	return directory
}

// naive holds the endpoints that a picker may choose, with their costs, computed from scratch for each pick.
type naive struct {
	allowed map[ID]bool
	costs   map[ID]float64
}

func newNaive(endpoints []Endpoint, tracker *Tracker, tried map[ID]bool, domain tablestore.FailureDomain) naive {
	n := naive{
		allowed: map[ID]bool{},
		costs:   map[ID]float64{},
	}
	ejected := map[ID]bool{}
	for _, candidate := range endpoints {
		if tried[candidate.ID] {
			continue
		}
		online, batch := tracker.InFlight(candidate.ID)
		n.costs[candidate.ID] = float64(online) + batchCost*float64(batch)
		if candidate.FailureDomain != domain {
			n.costs[candidate.ID] += otherDomainCost
		}
		if tracker.Ejected(candidate.ID) {
			ejected[candidate.ID] = true
			continue
		}
		n.allowed[candidate.ID] = true
	}
	if len(n.allowed) == 0 {
		n.allowed = ejected
	}
	return n
}

// TestPickMatchesNaive checks that the picker chooses only endpoints that a naive version allows, whichever were tried,
// failed, are leaving or have requests in flight.
func TestPickMatchesNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(0, 8).Draw(t, "endpoints")
		directory, tracker, gateways := enginesOf(count), NewTracker(), gatewaysOf(3, 0)
		picker := NewPicker(directory, tracker, gateways)
		tried := map[ID]bool{}
		for range rapid.IntRange(0, 30).Draw(t, "steps") {
			id := ID(fmt.Sprintf("engine-%d/1", rapid.IntRange(0, 8).Draw(t, "endpoint")))
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				tracker.Start(id, request.ClassOnline)
			case 1:
				tracker.Start(id, request.ClassBatch)
			case 2:
				tracker.Failed(id)
			case 3:
				tried[id] = true
			case 4:
				directory.MarkLeaving(id)
			case 5:
				checkPick(t, picker, newNaive(directory.Serving(testService), tracker, tried, "domain-0"), tried)
			}
		}
	})
}

func checkPick(t *rapid.T, picker *Picker, n naive, tried map[ID]bool) {
	shape := request.Shape{
		PrefixKey: rapid.StringN(0, 3, 3).Draw(t, "prefix"),
	}
	got, ok := picker.Pick(testService, shape, tried)
	if ok != (len(n.allowed) > 0) {
		t.Fatalf("picked %v, allowed %v", ok, n.allowed)
	}
	if ok && !n.allowed[got.ID] {
		t.Fatalf("picked %s, allowed %v", got.ID, n.allowed)
	}
	if len(n.allowed) > 1 {
		return
	}
	for id := range n.allowed {
		if got.ID != id {
			t.Fatalf("picked %s, only %s is allowed", got.ID, id)
		}
	}
}

// TestSubsetsCoverEvenly checks that the numbers of subsets that endpoints are in differ by at most one, and that few
// endpoints of a subset change when a gateway ends.
func TestSubsetsCoverEvenly(t *testing.T) {
	cases := map[string]struct {
		endpoints int
		gateways  int
	}{
		"today":                           {endpoints: 12, gateways: 12},
		"one endpoint more than a subset": {endpoints: 65, gateways: 12},
		"a region":                        {endpoints: 1000, gateways: 200},
		"one region":                      {endpoints: 10000, gateways: 2000},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			endpoints := enginesOf(c.endpoints).Serving(testService)
			covered := map[ID]int{}
			all := gatewaysOf(c.gateways, 0)
			circle := circleOf(endpoints)
			ranks := map[int]bool{}
			for i := range c.gateways {
				rank, count := rankOf(all.alive, all.alive[i])
				ranks[rank] = true
				chosen := endpoints
				if c.endpoints > subsetSize {
					chosen = rangeOf(circle, rank, count)
				}
				for _, found := range chosen {
					covered[found.ID]++
				}
			}
			assert.Equal(t, len(ranks), c.gateways)
			least, most := c.gateways, 0
			for _, served := range endpoints {
				least, most = min(least, covered[served.ID]), max(most, covered[served.ID])
			}
			assert.Assert(t, most-least <= 1, "covered by %d to %d", least, most)
			assert.Equal(t, len(subset(endpoints, all.alive, all.self)), min(subsetSize, c.endpoints))
			before := subset(endpoints, all.alive, all.alive[c.gateways/2])
			after := subset(endpoints, all.alive[1:], all.alive[c.gateways/2])
			kept := map[ID]bool{}
			for _, found := range before {
				kept[found.ID] = true
			}
			lost := 0
			for _, found := range after {
				if !kept[found.ID] {
					lost++
				}
			}
			assert.Assert(t, lost <= 2+c.endpoints/c.gateways, "%d of %d changed", lost, len(after))
		})
	}
}

// TestEjectedEndpointReturnsSlowly checks that an endpoint gets one request at a time from each gateway after its
// ejection, and then a growing share.
func TestEjectedEndpointReturnsSlowly(t *testing.T) {
	directory, tracker := enginesOf(2), NewTracker()
	picker := NewPicker(directory, tracker, gatewaysOf(1, 0))
	const bad ID = "engine-0/1"
	s := tracker.state(bad)
	share := func(sinceReturn int64) int {
		s.ejectedUntil.Store(tracker.now() - sinceReturn)
		picked := 0
		for range 1000 {
			if got, _ := picker.Pick(testService, request.Shape{}, nil); got.ID == bad {
				picked++
			}
		}
		return picked
	}
	tracker.Failed(bad)
	assert.Equal(t, share(-int64(firstEjection)), 0, "ejected")
	early := share(int64(recoveryRamp) / 20)
	done := tracker.Start(bad, request.ClassOnline)
	assert.Equal(t, share(int64(recoveryRamp)/20), 0, "one probing request is in flight")
	done()
	tracker.Succeeded(bad)
	late := share(int64(recoveryRamp))
	assert.Assert(t, early > 0 && early*3 < late, "early %d late %d", early, late)
}

// TestEndpointOutsideSubsetBeforeEjectedOne checks that an endpoint outside the gateway's subset is used when all
// endpoints of the subset fail.
func TestEndpointOutsideSubsetBeforeEjectedOne(t *testing.T) {
	directory, tracker, gateways := enginesOf(200), NewTracker(), gatewaysOf(12, 0)
	picker := NewPicker(directory, tracker, gateways)
	failing := map[ID]bool{}
	for _, own := range subset(directory.Serving(testService), gateways.alive, gateways.self) {
		tracker.Failed(own.ID)
		failing[own.ID] = true
	}
	for range 100 {
		got, ok := picker.Pick(testService, request.Shape{}, nil)
		assert.Assert(t, ok && !failing[got.ID])
	}
}

func TestGoneEndpointsAreForgotten(t *testing.T) {
	directory, tracker := enginesOf(1), NewTracker()
	picker := NewPicker(directory, tracker, gatewaysOf(1, 0))
	_, ok := picker.Pick(testService, request.Shape{}, nil)
	assert.Assert(t, ok)
	directory.MarkLeaving("engine-0/1")
	_, ok = picker.Pick(testService, request.Shape{}, nil)
	assert.Assert(t, !ok)
	_, kept := tracker.states.Load(ID("engine-0/1"))
	assert.Assert(t, !kept)
}

func TestPrefixIsSharedUnlessLoaded(t *testing.T) {
	directory := enginesOf(8)
	shape := request.Shape{
		PrefixKey: "the same words",
	}
	var first ID
	for i := range 3 {
		tracker := NewTracker()
		picker := NewPicker(directory, tracker, gatewaysOf(3, i))
		got, _ := picker.Pick(testService, shape, nil)
		if first == "" {
			first = got.ID
		}
		assert.Equal(t, got.ID, first, "every gateway sends the prefix to the same endpoint")
		for range 4 {
			tracker.Start(first, request.ClassOnline)
		}
		got, _ = picker.Pick(testService, shape, nil)
		assert.Assert(t, got.ID != first, "but not when that is loaded")
	}
}

func TestPeersLoadCounts(t *testing.T) {
	tracker := NewTracker()
	picker := NewPicker(enginesOf(2), tracker, gatewaysOf(1, 0))
	tracker.SetFleetLoad("engine-0/1", 1, FleetLoad{
		Online: 30,
	})
	for range 50 {
		// Without the peers' load the endpoint in the gateway's own failure domain would be chosen every time.
		if got, _ := picker.Pick(testService, request.Shape{}, nil); got.ID != "engine-0/1" {
			return
		}
	}
	t.Fatal("peers' load was not counted")
}

func BenchmarkPick(b *testing.B) {
	for _, count := range []int{10, 100, 10000} {
		b.Run(fmt.Sprintf("%d endpoints", count), func(b *testing.B) {
			picker := NewPicker(enginesOf(count), NewTracker(), gatewaysOf(12, 0))
			shape := request.Shape{
				PrefixKey: "the same words",
			}
			b.ReportAllocs()
			for b.Loop() {
				picker.Pick(testService, shape, nil)
			}
		})
	}
}

func TestOwnFailureDomainUnlessWorse(t *testing.T) {
	tracker := NewTracker()
	picker := NewPicker(enginesOf(3), tracker, gatewaysOf(3, 1))
	const own ID = "engine-1/1"
	for range 50 {
		got, _ := picker.Pick(testService, request.Shape{}, nil)
		assert.Equal(t, got.ID, own)
	}
	tracker.Start(own, request.ClassOnline)
	for range 50 {
		got, _ := picker.Pick(testService, request.Shape{}, nil)
		assert.Assert(t, got.ID != own)
	}
}
