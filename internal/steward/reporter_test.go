package steward

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"rhubarbrudder/internal/endpoint"
	"rhubarbrudder/internal/request"
)

// heardReports takes reports in place of a steward, unless they are lost.
type heardReports struct {
	mu      sync.Mutex
	lost    bool
	batch   int
	reports []Report
}

func (h *heardReports) Call(_ context.Context, _, _ string, args, reply any) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lost {
		return errors.New("lost")
	}
	report := args.(Report)
	h.reports = append(h.reports, report)
	for id := range report.Online {
		*reply.(*ReportReply) = ReportReply{
			Fleet: map[endpoint.ID]endpoint.FleetLoad{
				id: {
					Online: 7,
					Batch:  h.batch,
				},
			},
		}
	}
	return nil
}

func (h *heardReports) lose(lost bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lost = lost
}

func (h *heardReports) count() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.reports)
}

func (h *heardReports) last() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.reports[len(h.reports)-1].Online[only]
}

func TestReports(t *testing.T) {
	cases := map[string]func(t *testing.T, r *Reporter, heard *heardReports){
		"the first request at once": func(t *testing.T, r *Reporter, heard *heardReports) {
			r.Start(only, request.ClassOnline)
			synctest.Wait()
			assert.Equal(t, heard.count(), 1)
			assert.Equal(t, heard.last(), 1)
		},
		"a rush in one report each period": func(t *testing.T, r *Reporter, heard *heardReports) {
			for range 50 {
				r.Start(only, request.ClassOnline)
				later(time.Millisecond)
			}
			assert.Assert(t, heard.count() <= 6, "%d reports", heard.count())
			later(coalesce)
			assert.Equal(t, heard.last(), 50)
		},
		"at once where batch may be in the way": func(t *testing.T, r *Reporter, heard *heardReports) {
			heard.batch = 1
			r.Start(only, request.ClassOnline)
			later(100 * time.Millisecond)
			for i := range 5 {
				r.Start(only, request.ClassOnline)
				later(2 * urgentCoalesce)
				assert.Equal(t, heard.last(), 2+i)
			}
		},
		"a lost report is made good": func(t *testing.T, r *Reporter, heard *heardReports) {
			heard.lose(true)
			r.Start(only, request.ClassOnline)
			later(time.Millisecond)
			heard.lose(false)
			later(repeat)
			assert.Equal(t, heard.last(), 1)
		},
		"nothing in flight is not repeated": func(t *testing.T, r *Reporter, heard *heardReports) {
			r.Start(only, request.ClassOnline)()
			later(10 * coalesce)
			before := heard.count()
			later(10 * repeat)
			assert.Equal(t, heard.last(), 0)
			assert.Equal(t, heard.count(), before)
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				members := &fixedMembers{
					self: member(1),
				}
				members.set(member(1))
				heard := &heardReports{}
				r := NewReporter(endpoint.NewTracker(), engines(1), members, heard)
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				go func() { _ = r.Run(ctx) }()
				synctest.Wait()
				c(t, r, heard)
			})
		})
	}
}

// countedConn counts the bytes both ways.
type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countedConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countedConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkReport gives what a report and its reply cost on the wire and at the steward.
func BenchmarkReport(b *testing.B) {
	for _, count := range []int{1, 5} {
		b.Run(fmt.Sprintf("%d endpoints", count), func(b *testing.B) {
			members := &fixedMembers{
				self: member(1),
			}
			members.set(member(1))
			server := rpc.NewServer()
			assert.NilError(b, server.RegisterName("Steward", NewService(New(engines(count), members, testDocument(8, 2, 0), nil, nil))))
			near, far := net.Pipe()
			go server.ServeConn(far)
			var bytes atomic.Int64
			client := rpc.NewClient(countedConn{
				Conn:  near,
				bytes: &bytes,
			})
			defer func() { _ = client.Close() }()
			report := Report{
				From:   1 << 60,
				Online: map[endpoint.ID]int{},
			}
			for i := range count {
				report.Online[endpoint.ID(fmt.Sprintf("engine-%d/1", i))] = 3
			}
			for b.Loop() {
				report.Sequence++
				assert.NilError(b, client.Call(MethodReport, report, &ReportReply{}))
			}
			b.ReportMetric(float64(bytes.Load())/float64(b.N), "bytes/op")
		})
	}
}
