package schedule

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"rhubarbrudder/internal/document"
	"rhubarbrudder/internal/job"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// naive is a reference schedule that scans all jobs for each decision.
type naive struct {
	weights     WeightFunc
	jobs        map[job.ID]Job
	served      map[document.OrganisationID]float64
	virtualTime float64
	lastWasRisk bool
}

func (n *naive) idle(id document.OrganisationID) bool {
	for _, j := range n.jobs {
		if j.Organisation == id {
			return false
		}
	}
	return true
}

func (n *naive) put(j Job) {
	if n.idle(j.Organisation) {
		n.served[j.Organisation] = max(n.served[j.Organisation], n.virtualTime)
	}
	n.jobs[j.ID] = j
}

func (n *naive) next(now time.Time) (Turn, bool) {
	var urgent, fair Job
	for _, j := range n.jobs {
		if urgent.ID == "" || before(j, urgent) {
			urgent = j
		}
		a, b := n.served[j.Organisation], n.served[fair.Organisation]
		first := a < b || a == b && j.Organisation < fair.Organisation
		if fair.ID == "" || first || j.Organisation == fair.Organisation && before(j, fair) {
			fair = j
		}
	}
	if urgent.ID != "" && !n.lastWasRisk && !urgent.LatestStart().After(now) {
		return Turn{
			Job:    urgent,
			Reason: ReasonRisk,
		}, true
	}
	return Turn{
		Job:    fair,
		Reason: ReasonShare,
	}, fair.ID != ""
}

func (n *naive) charge(turn Turn, items int) {
	n.lastWasRisk = turn.Reason == ReasonRisk
	if turn.Reason == ReasonShare {
		n.virtualTime = max(n.virtualTime, n.served[turn.Job.Organisation])
	}
	n.served[turn.Job.Organisation] += float64(items) / n.weights(turn.Job.Organisation)
}

func weightOf(id document.OrganisationID) float64 {
	return float64(1 + len(id)%3)
}

// TestScheduleAgreesWithAFullScan makes the same random changes to the schedule and to a naive one.
func TestScheduleAgreesWithAFullScan(t *testing.T) {
	assert.NilError(t, flag.Set("rapid.seed", "1"))
	rapid.Check(t, func(t *rapid.T) {
		indexed := New(weightOf)
		scanned := &naive{
			weights: weightOf,
			jobs:    map[job.ID]Job{},
			served:  map[document.OrganisationID]float64{},
		}
		now := start
		drawID := func(t *rapid.T) job.ID {
			return job.ID(fmt.Sprintf("job-%d", rapid.IntRange(0, 12).Draw(t, "job")))
		}
		t.Repeat(map[string]func(*rapid.T){
			"put": func(t *rapid.T) {
				id := drawID(t)
				j := Job{
					ID: id,
					// A prefix of 1 to 5 letters, which depends on the id, stands for the job's organisation.
					Organisation: document.OrganisationID("organisation"[:1+len(id)%2+int(id[len(id)-1])%4]),
					Due:          start.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "due")) * time.Minute),
					Remaining:    time.Duration(rapid.IntRange(0, 60).Draw(t, "needs")) * time.Minute,
				}
				indexed.Put(j)
				scanned.put(j)
			},
			"remove": func(t *rapid.T) {
				id := drawID(t)
				indexed.Remove(id)
				delete(scanned.jobs, id)
			},
			"serve": func(t *rapid.T) {
				turn, ok := indexed.Next(now)
				if ok {
					items := rapid.IntRange(1, 500).Draw(t, "items")
					indexed.Charge(turn, items)
					scanned.charge(turn, items)
				}
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 20).Draw(t, "minutes")) * time.Minute)
			},
			"": func(t *rapid.T) {
				got, ok := indexed.Next(now)
				want, wantOK := scanned.next(now)
				assert.Equal(t, ok, wantOK)
				if ok {
					assert.Equal(t, got, want)
				}
			},
		})
	})
}

// TestScheduleSharesByWeight checks that backlogged organisations get turns in proportion to their weights.
func TestScheduleSharesByWeight(t *testing.T) {
	weights := map[document.OrganisationID]float64{
		"wenber":      1,
		"lawinenwerk": 3,
	}
	s := New(func(id document.OrganisationID) float64 { return weights[id] })
	got := map[document.OrganisationID]int{}
	for id := range weights {
		s.Put(Job{
			ID:           job.ID(id),
			Organisation: id,
			Due:          start.Add(time.Hour),
		})
	}
	for range 400 {
		turn, _ := s.Next(start)
		s.Charge(turn, 500)
		got[turn.Job.Organisation]++
	}
	assert.Equal(t, got["wenber"], 100)
	assert.Equal(t, got["lawinenwerk"], 300)
}

// TestScheduleEscalatesWithoutStarving checks that an organisation gets every second turn while another's job is late
// all the time.
func TestScheduleEscalatesWithoutStarving(t *testing.T) {
	s := New(func(document.OrganisationID) float64 { return 1 })
	s.Put(Job{
		ID:           "late",
		Organisation: "wenber",
		Due:          start.Add(-time.Hour),
	})
	s.Put(Job{
		ID:           "early",
		Organisation: "lawinenwerk",
		Due:          start.Add(time.Hour),
	})
	turns := map[job.ID]int{}
	for range 100 {
		turn, _ := s.Next(start)
		s.Charge(turn, 500)
		turns[turn.Job.ID]++
	}
	assert.Equal(t, turns["late"], 50)
	assert.Equal(t, turns["early"], 50)
}

// BenchmarkDecision measures one decision and its charge, for several numbers of jobs and organisations.
func BenchmarkDecision(b *testing.B) {
	cases := map[string]struct {
		jobs          int
		organisations int
	}{
		"10 jobs":                         {jobs: 10, organisations: 10},
		"1000 jobs, 100 organisations":    {jobs: 1000, organisations: 100},
		"8500 jobs, 100 organisations":    {jobs: 8500, organisations: 100},
		"39000 jobs, 39000 organisations": {jobs: 39000, organisations: 39000},
	}
	for name, tt := range cases {
		b.Run(name, func(b *testing.B) {
			s := New(func(document.OrganisationID) float64 { return 1 })
			for i := range tt.jobs {
				s.Put(Job{
					ID:           job.ID(fmt.Sprint("job-", i)),
					Organisation: document.OrganisationID(fmt.Sprint("organisation-", i%tt.organisations)),
					Due:          start.Add(time.Duration(i) * time.Second),
				})
			}
			for b.Loop() {
				turn, _ := s.Next(start.Add(-time.Hour))
				s.Charge(turn, 500)
				s.Put(turn.Job)
			}
		})
	}
}

// BenchmarkNaiveDecision measures the full scan, for comparison with the heaps.
func BenchmarkNaiveDecision(b *testing.B) {
	for _, jobs := range []int{10, 1000, 8500} {
		b.Run(fmt.Sprint(jobs, " jobs"), func(b *testing.B) {
			n := &naive{
				weights: weightOf,
				jobs:    map[job.ID]Job{},
				served:  map[document.OrganisationID]float64{},
			}
			for i := range jobs {
				id := job.ID(fmt.Sprint("job-", i))
				n.jobs[id] = Job{
					ID:           id,
					Organisation: document.OrganisationID(fmt.Sprint("organisation-", i%100)),
					Due:          start.Add(time.Duration(i) * time.Second),
				}
			}
			for b.Loop() {
				turn, _ := n.next(start.Add(-time.Hour))
				n.charge(turn, 500)
			}
		})
	}
}
