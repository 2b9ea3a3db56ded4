package organisation_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"rhubarbrudder/internal/document"
	"rhubarbrudder/internal/fleet"
	"rhubarbrudder/internal/organisation"
	"rhubarbrudder/internal/tablestore"
)

func init() {
	for name, value := range map[string]string{
		"rapid.seed":   "20261204",
		"rapid.checks": "1000",
		"rapid.steps":  "60",
	} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// heldShare is the share that a gateway holds by its own clock.
type heldShare struct {
	share    organisation.Share
	sequence organisation.Sequence
	until    time.Time
}

// TestSharesNeverAddUpToMoreThanThePool checks that the sum of all valid shares stays within the organisation's limit,
// the pool, which is 1 here, while replies are lost, time passes and demand moves between gateways. "ask" renews a
// gateway's share after the delay "way" of the request, "pass" advances the clock.
func TestSharesNeverAddUpToMoreThanThePool(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const gateways = 4
		now := time.Unix(0, 0)
		ledger := organisation.NewLedger(organisation.LeaseTerm, func() time.Time { return now })
		heldShares := map[int]heldShare{}
		check := func(*rapid.T) {
			sum := organisation.Share(0)
			for _, held := range heldShares {
				if now.Before(held.until) {
					sum += held.share
				}
			}
			if sum > 1+1e-9 {
				t.Fatalf("the shares add up to %f", sum)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"ask": func(t *rapid.T) {
				i := rapid.IntRange(0, gateways-1).Draw(t, "gateway")
				sent := now
				now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "way")) * time.Millisecond)
				share, sequence := ledger.Grant(organisation.LeaseRequest{
					Gateway:      strconv.Itoa(i),
					Organisation: "lawinenwerk",
					Demand:       organisation.Share(rapid.Float64Range(0, 1).Draw(t, "demand")),
					Holds:        heldShares[i].sequence,
				}, 1, gateways)
				if rapid.Bool().Draw(t, "reply lost") {
					return
				}
				heldShares[i] = heldShare{
					share:    share,
					sequence: sequence,
					until:    sent.Add(organisation.LeaseTerm),
				}
			},
			"pass": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "time")) * time.Millisecond)
			},
			// rapid calls the action with the empty key after each other one.
			"": check,
		})
	})
}

// cluster is a set of gateways that see each other and call each other directly.
type cluster struct {
	mu       sync.Mutex
	members  []fleet.Member
	limiters map[string]*organisation.Limiter
	down     map[string]bool
	// partitions maps addresses to the parts of a split network. Gateways of different parts do not see each other.
	partitions map[string]int
}

// node is one gateway's view of the cluster.
type node struct {
	cluster *cluster
	self    fleet.Member
}

func (n node) Self() fleet.Member {
	return n.self
}

func (n node) Alive(fleet.Role) []fleet.Member {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	var alive []fleet.Member
	for _, member := range n.cluster.members {
		if !n.cluster.down[member.Address] && n.cluster.partitions[member.Address] == n.cluster.partitions[n.self.Address] {
			alive = append(alive, member)
		}
	}
	return alive
}

func (n node) Listed() []fleet.Member {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	return slices.Clone(n.cluster.members)
}

var errDown = errors.New("down")

func (n node) Call(_ context.Context, address, _ string, args, reply any) error {
	n.cluster.mu.Lock()
	limiter := n.cluster.limiters[address]
	cut := n.cluster.down[address] || n.cluster.partitions[address] != n.cluster.partitions[n.self.Address]
	n.cluster.mu.Unlock()
	if cut {
		return errDown
	}
	return organisation.NewService(limiter).Lease(args.(organisation.LeaseRequest), reply.(*organisation.LeaseReply))
}

func newCluster(ctx context.Context, gateways int) *cluster {
	c := &cluster{
		limiters:   map[string]*organisation.Limiter{},
		down:       map[string]bool{},
		partitions: map[string]int{},
	}
	for i := range gateways {
		c.members = append(c.members, fleet.Member{
			Role:        fleet.RoleGateway,
			VM:          tablestore.VMName(fmt.Sprintf("vm-%d", i)),
			Incarnation: "1",
			Address:     fmt.Sprintf("127.59.0.%d:7101", 11+i),
		})
	}
	for _, member := range c.members {
		c.start(ctx, member)
	}
	return c
}

// withLock calls do with the lock held, so that do may change the cluster while its gateways run.
func (c *cluster) withLock(do func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	do()
}

func (c *cluster) start(ctx context.Context, member fleet.Member) {
	n := node{
		cluster: c,
		self:    member,
	}
	ledger := organisation.NewLedger(organisation.LeaseTerm, time.Now)
	limiter := organisation.NewLimiter(n, n, ledger)
	c.withLock(func() { c.limiters[member.Address] = limiter })
	go func() { _ = limiter.Run(ctx) }()
}

const concurrent = 120

func limit() document.Organisation {
	return document.Organisation{
		Weight:             1,
		ConcurrentRequests: concurrent,
		RequestsPerSecond:  1e6,
	}
}

// measureInFlight keeps as many requests in flight at the gateways as they admit, each for 100 ms. It waits for the
// duration settle, then samples the number in flight during watch and returns the largest and the mean number.
func (c *cluster) measureInFlight(ctx context.Context, gateways []int, settle, watch time.Duration) (most int, mean float64) {
	const callersEach = 2 * concurrent
	ctx, cancel := context.WithCancel(ctx)
	inFlight := make(chan int, 1)
	inFlight <- 0
	add := func(n int) int {
		now := <-inFlight + n
		inFlight <- now
		return now
	}
	for _, gateway := range gateways {
		limiter := c.limiters[c.members[gateway].Address]
		for range callersEach {
			go func() {
				for ctx.Err() == nil {
					leave, err := limiter.Enter(ctx, "lawinenwerk", limit())
					if err != nil {
						time.Sleep(50 * time.Millisecond)
						continue
					}
					add(1)
					time.Sleep(100 * time.Millisecond)
					add(-1)
					leave()
				}
			}()
		}
	}
	time.Sleep(settle)
	const samples = 1000
	sum := 0
	for range samples {
		time.Sleep(watch / samples)
		now := add(0)
		most = max(most, now)
		sum += now
	}
	cancel()
	time.Sleep(time.Second)
	return most, float64(sum) / samples
}

func all(gateways int) []int {
	indexes := make([]int, gateways)
	for i := range indexes {
		indexes[i] = i
	}
	return indexes
}

// TestLimitHoldsOverTwelveGateways checks the limit while one organisation sends to one gateway, then to all, then
// after the gateway that grants its shares (its home) is lost, while the network is split in three, and while all
// gateways are cut from each other.
func TestLimitHoldsOverTwelveGateways(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := newCluster(ctx, 12)
		most, mean := c.measureInFlight(ctx, []int{3}, time.Second, 5*time.Second)
		t.Logf("one gateway: most %d, mean %.1f of %d", most, mean, concurrent)
		assert.Assert(t, most <= concurrent)
		assert.Assert(t, mean >= 0.95*concurrent)
		most, mean = c.measureInFlight(ctx, all(12), organisation.LeaseTerm, 5*time.Second)
		t.Logf("twelve gateways: most %d, mean %.1f of %d", most, mean, concurrent)
		assert.Assert(t, most <= concurrent)
		assert.Assert(t, mean >= 0.9*concurrent)
		home, ok := fleet.Owner(c.members, "lawinenwerk")
		assert.Assert(t, ok)
		c.withLock(func() { c.down[home.Address] = true })
		var others []int
		for i, member := range c.members {
			if member.Address != home.Address {
				others = append(others, i)
			}
		}
		most, mean = c.measureInFlight(ctx, others, organisation.LeaseTerm, 5*time.Second)
		t.Logf("eleven gateways, the home lost: most %d, mean %.1f of %d", most, mean, concurrent)
		assert.Assert(t, most <= concurrent)
		c.withLock(func() {
			c.down[home.Address] = false
			for i, member := range c.members {
				c.partitions[member.Address] = i % 3
			}
		})
		most, mean = c.measureInFlight(ctx, all(12), organisation.LeaseTerm, 5*time.Second)
		t.Logf("split in three: most %d, mean %.1f of %d", most, mean, concurrent)
		assert.Assert(t, most <= concurrent)
		assert.Assert(t, mean >= 0.9*concurrent)
		c.withLock(func() {
			for _, member := range c.members {
				c.down[member.Address] = true
			}
		})
		most, mean = c.measureInFlight(ctx, all(12), organisation.LeaseTerm, 5*time.Second)
		t.Logf("all cut from each other: most %d, mean %.1f of %d", most, mean, concurrent)
		assert.Assert(t, most <= concurrent)
		assert.Assert(t, mean >= 0.9*concurrent)
		cancel()
		synctest.Wait()
	})
}

// TestSmallDemandIsNeverRefused checks that no request is refused when gateways are replaced one after the other while
// an organisation sends far less than its limits.
func TestSmallDemandIsNeverRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := newCluster(ctx, 3)
		requests := 0
		for i := range 3 * 4000 {
			if i%4000 == 1000 {
				c.withLock(func() { c.down[c.members[i/4000].Address] = true })
			}
			if i%4000 == 3000 {
				restarted := &c.members[i/4000]
				c.withLock(func() { restarted.Incarnation = "2" })
				c.start(ctx, *restarted)
				c.withLock(func() { c.down[restarted.Address] = false })
			}
			member := c.members[i%3]
			if !c.down[member.Address] {
				leave, err := c.limiters[member.Address].Enter(ctx, "lawinenwerk", limit())
				assert.NilError(t, err, "request %d", i)
				leave()
				requests++
			}
			time.Sleep(time.Millisecond)
		}
		t.Logf("%d requests", requests)
		cancel()
		synctest.Wait()
	})
}

// TestRateHoldsOverGateways checks the rate that is admitted when the requests to all gateways together exceed the limit.
func TestRateHoldsOverGateways(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := newCluster(ctx, 4)
		limited := limit()
		limited.RequestsPerSecond = 100
		limited.ConcurrentRequests = 100000
		send := func(seconds int) int {
			admitted := 0
			for i := range seconds * 1000 {
				limiter := c.limiters[c.members[i%4].Address]
				if leave, err := limiter.Enter(ctx, "lawinenwerk", limited); err == nil {
					leave()
					admitted++
				}
				time.Sleep(time.Millisecond)
			}
			return admitted
		}
		send(5)
		admitted := send(20)
		t.Logf("admitted %.1f a second of 1000 at a limit of 100", float64(admitted)/20)
		assert.Assert(t, admitted <= 20*105)
		assert.Assert(t, admitted >= 20*90)
		cancel()
		synctest.Wait()
	})
}
