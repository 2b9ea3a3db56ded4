package pool_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"rhubarbrudder/internal/inventory"
	"rhubarbrudder/internal/peer"
	"rhubarbrudder/internal/pool"
	"rhubarbrudder/internal/quarantine"
	"rhubarbrudder/internal/route"
)

// stewardEnv is set in the process that plays the steward of BenchmarkMessages; its value is the number of endpoints.
const stewardEnv = "POOL_TEST_STEWARD"

func TestMain(m *testing.M) {
	if endpoints, err := strconv.Atoi(os.Getenv(stewardEnv)); err == nil {
		serveSteward(endpoints)
		return
	}
	os.Exit(m.Run())
}

// largePool is an inventory of endpoints with seven slots each.
type largePool struct {
	endpoints []inventory.Endpoint
}

func newLargePool(endpoints int) largePool {
	p := largePool{}
	for n := range endpoints {
		p.endpoints = append(p.endpoints, inventory.Endpoint{
			ID:      inventory.ID(fmt.Sprintf("i-%08x", n)),
			Service: "s",
			Address: fmt.Sprintf("10.1.%d.%d:8621", n/250, n%250),
			Domain:  "a",
			Slots:   7,
		})
	}
	return p
}

func (p largePool) ForService(route.Service) []inventory.Endpoint { return p.endpoints }
func (p largePool) Loaded() bool                                  { return len(p.endpoints) > 0 }
func (p largePool) SetLeaving(route.Service, inventory.Lifetime) bool {
	return false
}
func (p largePool) Leaving(route.Service) []inventory.Lifetime { return nil }

// serveSteward serves a steward until standard input is closed, and then prints its processor time in microseconds and
// the bytes that it sent and received.
func serveSteward(endpoints int) {
	null, err := os.OpenFile(os.DevNull, os.O_WRONLY, 0)
	if err != nil {
		panic(err)
	}
	log := slog.New(slog.NewTextHandler(null, nil))
	server := peer.NewServer(peer.Secret("s"), log)
	var traffic peer.Traffic
	server.CountTraffic(&traffic)
	if err := server.Register(pool.ServiceName, pool.NewStewards(newLargePool(endpoints), quarantine.NewList(log), log)); err != nil {
		panic(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	go func() { _ = server.Serve(listener) }()
	fmt.Println(listener.Addr())
	// Each line asks for the figures so far.
	for lines := bufio.NewScanner(os.Stdin); lines.Scan(); {
		var usage syscall.Rusage
		if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
			panic(err)
		}
		fmt.Println((usage.Utime.Nano()+usage.Stime.Nano())/1000, traffic.Sent()+traffic.Received())
	}
}

// oneSteward lists the VM with the steward as the only member.
type oneSteward string

func (s oneSteward) Ranked(route.Service) []pool.Member {
	return []pool.Member{
		{
			VM:      "steward",
			Address: string(s),
		},
	}
}

func (oneSteward) ObserveUptime(pool.VMName, time.Duration) {}

// stewardFigures is what the steward's process has used so far.
type stewardFigures struct {
	microseconds int64
	bytes        int64
}

// startSteward starts the process of a steward and returns its address and a function that returns its figures.
func startSteward(b *testing.B, endpoints int) (string, func() stewardFigures) {
	b.Helper()
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), stewardEnv+"="+strconv.Itoa(endpoints))
	stdin, err := command.StdinPipe()
	if err != nil {
		b.Fatal(err)
	}
	stdout, err := command.StdoutPipe()
	if err != nil {
		b.Fatal(err)
	}
	if err := command.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		_ = stdin.Close()
		_ = command.Wait()
	})
	lines := bufio.NewReader(stdout)
	readLine := func() string {
		line, err := lines.ReadString('\n')
		if err != nil {
			b.Fatal(err)
		}
		return strings.TrimSpace(line)
	}
	return readLine(), func() stewardFigures {
		_, _ = io.WriteString(stdin, "\n")
		var f stewardFigures
		if _, err := fmt.Sscan(readLine(), &f.microseconds, &f.bytes); err != nil {
			b.Fatal(err)
		}
		return f
	}
}

// BenchmarkMessages measures what a steward needs for the messages and decisions of a number of VMs, with the usual load
// of the large installation and without any, in a process of its own.
func BenchmarkMessages(b *testing.B) {
	const (
		perVM  = 2.7
		held   = 700 * time.Millisecond
		length = 4 * time.Second
	)
	for _, vms := range []int{12, 70, 195, 300} {
		for _, idle := range []bool{false, true} {
			name := strconv.Itoa(vms)
			if idle {
				name += " idle"
			}
			b.Run(name, func(b *testing.B) {
				address, figures := startSteward(b, max(1, vms*50/195))
				ctx, cancel := context.WithCancel(b.Context())
				var requests atomic.Int64
				var running sync.WaitGroup
				for n := range vms {
					log := slog.New(slog.DiscardHandler)
					listed := quarantine.NewList(log)
					client := pool.NewClient(pool.Member{VM: pool.VMName(fmt.Sprint("front-garmisch-", n))}, "a", "s", oneSteward(address),
						peer.NewClient(peer.Secret("s")).KeepConnOnCancel(), pool.NewStewards(newLargePool(0), listed, log), listed, log)
					running.Go(func() { client.Run(ctx) })
					if idle {
						continue
					}
					running.Go(func() {
						sendRequests(ctx, client, perVM, held, &requests, n)
					})
				}
				time.Sleep(2 * time.Second)
				before, sent := figures(), requests.Load()
				time.Sleep(length)
				after, count := figures(), requests.Load()-sent
				cancel()
				running.Wait()
				b.ReportMetric(float64(after.microseconds-before.microseconds)/float64(length.Microseconds())*100, "%core")
				b.ReportMetric(float64(after.bytes-before.bytes)/length.Seconds()/1000, "kB/s")
				if count > 0 {
					b.ReportMetric(float64(after.microseconds-before.microseconds)/float64(count), "us/request")
					b.ReportMetric(float64(after.bytes-before.bytes)/float64(count), "B/request")
				}
			})
		}
	}
}

// sendRequests acquires slots at a rate per second and holds each for a time, until ctx ends.
func sendRequests(ctx context.Context, client *pool.Client, perSecond float64, held time.Duration, count *atomic.Int64, vm int) {
	var running sync.WaitGroup
	defer running.Wait()
	for n := 0; ctx.Err() == nil; n++ {
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(rand.ExpFloat64() / perSecond * float64(time.Second))):
		}
		running.Go(func() {
			now := time.Now()
			slot, err := client.Acquire(ctx, pool.SlotRequest{
				ID:      pool.TicketID(fmt.Sprintf("%016x.%d.0", vm, n)),
				Start:   now.Add(225 * time.Millisecond),
				Expires: now.Add(1850 * time.Millisecond),
			})
			if err != nil {
				return
			}
			count.Add(1)
			select {
			case <-ctx.Done():
			case <-time.After(held):
			}
			slot.Release(pool.TroubleNone)
		})
	}
}
