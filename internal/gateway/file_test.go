package gateway

import (
	"testing"

	"gotest.tools/v3/assert"

	"rhubarbrudder/internal/job"
)

func lotRow(id job.LotID, state job.LotState, remainder int) job.LotRow {
	return job.LotRow{
		Lot: job.Lot{
			ID:        id,
			State:     state,
			Remainder: remainder,
		},
	}
}

func TestResultPageMissesNoLot(t *testing.T) {
	zero, one, two := job.BaseLot(0), job.BaseLot(1), job.BaseLot(2)
	rest := job.RemainderLot(zero)
	done := []job.LotRow{
		lotRow(zero, job.LotDone, 0),
		lotRow(rest, job.LotDone, 1),
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
			want:  []job.LotID{zero, rest},
			more:  true,
		},
		"last page": {
			lots:  done,
			ended: true,
			page:  resultPage{after: rest, limit: 2},
			want:  []job.LotID{one, two},
		},
		"a remainder still runs": {
			lots: []job.LotRow{done[0], lotRow(rest, job.LotClaimed, 1), done[2]},
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
			page, more := tt.page.selectLots(tt.lots, tt.ended)
			var got []job.LotID
			for _, lot := range page {
				got = append(got, lot.ID)
			}
			assert.DeepEqual(t, got, tt.want)
			assert.Equal(t, more, tt.more)
		})
	}
}
