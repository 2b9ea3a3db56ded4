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

// fakeSteward records reports in place of a steward, or fails every call while lost is set.
type fakeSteward struct {
	mu   sync.Mutex
	lost bool
	// batch is the number of batch requests in its replies.
	batch   int
	reports []Report
}

func (f *fakeSteward) Call(_ context.Context, _, _ string, args, reply any) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lost {
		return errors.New("lost")
	}
	report := args.(Report)
	f.reports = append(f.reports, report)
	for id := range report.Online {
		*reply.(*ReportReply) = ReportReply{
			Fleet: map[endpoint.ID]endpoint.FleetLoad{
				id: {
					Online: 7,
					Batch:  f.batch,
				},
			},
		}
	}
	return nil
}

func (f *fakeSteward) setLost(lost bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lost = lost
}

// count returns the number of reports received.
func (f *fakeSteward) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.reports)
}

// last returns the number of requests at onlyEndpoint in the latest report.
func (f *fakeSteward) last() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reports[len(f.reports)-1].Online[onlyEndpoint]
}

func TestReports(t *testing.T) {
	cases := map[string]func(t *testing.T, r *Reporter, steward *fakeSteward){
		"the first request is reported at once": func(t *testing.T, r *Reporter, steward *fakeSteward) {
			r.Start(onlyEndpoint, request.ClassOnline)
			synctest.Wait()
			assert.Equal(t, steward.count(), 1)
			assert.Equal(t, steward.last(), 1)
		},
		"a burst is reported once per period": func(t *testing.T, r *Reporter, steward *fakeSteward) {
			for range 50 {
				r.Start(onlyEndpoint, request.ClassOnline)
				advance(time.Millisecond)
			}
			assert.Assert(t, steward.count() <= 6, "%d reports", steward.count())
			advance(coalesceDelay)
			assert.Equal(t, steward.last(), 50)
		},
		"requests are reported at once while batch work may hold slots they need": func(t *testing.T, r *Reporter, steward *fakeSteward) {
			steward.batch = 1
			r.Start(onlyEndpoint, request.ClassOnline)
			advance(100 * time.Millisecond)
			for i := range 5 {
				r.Start(onlyEndpoint, request.ClassOnline)
				advance(2 * urgentCoalesceDelay)
				assert.Equal(t, steward.last(), 2+i)
			}
		},
		"a lost report is replaced by the next": func(t *testing.T, r *Reporter, steward *fakeSteward) {
			steward.setLost(true)
			r.Start(onlyEndpoint, request.ClassOnline)
			advance(time.Millisecond)
			steward.setLost(false)
			advance(repeatPeriod)
			assert.Equal(t, steward.last(), 1)
		},
		"a report of zero requests is not repeated": func(t *testing.T, r *Reporter, steward *fakeSteward) {
			r.Start(onlyEndpoint, request.ClassOnline)()
			advance(10 * coalesceDelay)
			before := steward.count()
			advance(10 * repeatPeriod)
			assert.Equal(t, steward.last(), 0)
			assert.Equal(t, steward.count(), before)
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				members := &fixedMembers{
					self: member(1),
				}
				members.set(member(1))
				steward := &fakeSteward{}
				r := NewReporter(endpoint.NewTracker(), engines(1), members, steward)
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				go func() { _ = r.Run(ctx) }()
				synctest.Wait()
				c(t, r, steward)
			})
		})
	}
}

// countedConn counts the bytes in both directions.
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

// BenchmarkReport measures the bytes on the wire and the processing time of a report and its reply.
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
