package gateway

import (
	"testing"

	"gotest.tools/v3/assert"

	"rhubarbrudder/internal/job"
)

// lotRow returns the row of a lot whose items were split off as a remainder the given number of times; zero stands for
// a lot of the input.
func lotRow(id job.LotID, state job.LotState, splits int) job.LotRow {
	return job.LotRow{
		Lot: job.Lot{
			ID:        id,
			State:     state,
			Remainder: splits,
		},
	}
}

func TestResultPagesIncludeEveryLot(t *testing.T) {
	zero, one, two := job.BaseLot(0), job.BaseLot(1), job.BaseLot(2)
	remainder := job.RemainderLot(zero)
	done := []job.LotRow{
		lotRow(zero, job.LotDone, 0),
		lotRow(remainder, job.LotDone, 1),
		lotRow(one, job.LotDone, 0),
		lotRow(two, job.LotDone, 0),
	}
	cases := map[string]struct {
		lots  []job.LotRow
		ended bool
		page  resultPage
		want  []job.LotID
		more  bool
	}{
		"first page": {
			lots:  done,
			ended: true,
			page:  resultPage{limit: 2},
			want:  []job.LotID{zero, remainder},
			more:  true,
		},
		"last page": {
			lots:  done,
			ended: true,
			page:  resultPage{after: remainder, limit: 2},
			want:  []job.LotID{one, two},
		},
		"a remainder still runs": {
			lots: []job.LotRow{done[0], lotRow(remainder, job.LotClaimed, 1), done[2]},
			page: resultPage{limit: 9},
			want: []job.LotID{zero},
			more: true,
		},
		"a lot is not claimed yet": {
			lots: []job.LotRow{done[0], done[3]},
			page: resultPage{limit: 9},
			want: []job.LotID{zero},
			more: true,
		},
		"a cancelled job has gaps": {
			lots:  []job.LotRow{done[0], done[3]},
			ended: true,
			page:  resultPage{limit: 9},
			want:  []job.LotID{zero, two},
		},
	}
	for name, tt := range cases {
		t.Run(name, func(t *testing.T) {
			selected, more := tt.page.selectLots(tt.lots, tt.ended)
			var got []job.LotID
			for _, lot := range selected {
				got = append(got, lot.ID)
			}
			assert.DeepEqual(t, got, tt.want)
			assert.Equal(t, more, tt.more)
		})
	}
}
