package loadtest

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/spf13/cobra"

	"rhubarbrudder/internal/request"
	"rhubarbrudder/internal/standin"
)

// HarmOptions says how the harm of batch to online requests is measured.
type HarmOptions struct {
	Seeds         int
	Seconds       float64
	CalmPerSecond float64
	VMs           int
	Engines       int
	Slots         int
	Reserves      []int
	Only          []string
}

const (
	measuredOrganisations = 6
	warmUp                = 2 * time.Second
	measuredToken         = 20 * time.Millisecond
	measuredSlowdown      = 0.2
	workersPerVM          = 64
)

// mode is one way to run the same arrivals.
type mode struct {
	name    string
	reserve int
	picker  func() pickerOf
	batch   func(ctx context.Context, f *testFleet, b *batch)
}

func newOwn() pickerOf { return ownPicker }

func noBatch(context.Context, *testFleet, *batch) {}

func naiveBatch(ctx context.Context, f *testFleet, b *batch) {
	b.start(ctx, newNaive(f), f.size.Engines*f.size.Engine.Slots)
}

func ownBatch(ctx context.Context, f *testFleet, b *batch) {
	for _, made := range f.stewards {
		b.start(ctx, yielding{
			steward: made,
		}, workersPerVM)
	}
}

// result is what one run of a mode gave.
type result struct {
	report    Report
	worst     float64
	idleShare float64
	// wasted is the share of batch's tokens that were lost and of its slot time that went into prefill done before.
	wasted     float64
	stopped    int64
	reports    uint64
	batchPerS  float64
	onlineLoad float64
	// slotWait is how long online requests waited at the engine for a slot.
	slotWait *hdrhistogram.Histogram
}

func (o HarmOptions) run(ctx context.Context, seed uint64, m mode) (result, error) {
	engine := standin.DefaultEngineOptions()
	engine.Slots = o.Slots
	engine.TokenInterval = measuredToken
	engine.FullBatchSlowdown = measuredSlowdown
	f, err := startFleet(ctx, Size{
		VMs:     o.VMs,
		Engines: o.Engines,
		Engine:  engine,
		Reserve: m.reserve,
	}, m.picker())
	if err != nil {
		return result{}, err
	}
	defer f.stop()
	rush := Rush{
		Seed:          seed,
		Length:        time.Duration(o.Seconds * float64(time.Second)),
		CalmPerSecond: o.CalmPerSecond,
		Gateways:      o.VMs,
		Organisations: measuredOrganisations,
	}
	batchCtx, stop := context.WithCancel(ctx)
	defer stop()
	b := &batch{
		fleet: f,
	}
	m.batch(batchCtx, f, b)
	wait(ctx, warmUp)
	online := newOnline(f, measuredOrganisations)
	start, before := time.Now(), b.tokens.Load()
	online.run(ctx, rush.Arrivals())
	took, during := time.Since(start), b.tokens.Load()-before
	stop()
	b.workers.Wait()
	return f.result(online, b, took, during), nil
}

func (f *testFleet) result(o *online, b *batch, took time.Duration, during int64) result {
	_, busy := f.generated(request.ClassOnline)
	generated, batchBusy := f.generated(request.ClassBatch)
	slotTime := time.Duration(f.size.Engines*f.size.Engine.Slots) * took
	pace := time.Duration(float64(f.size.Engine.TokenInterval) * (1 + f.size.Engine.FullBatchSlowdown))
	idleTokens := float64(slotTime-busy) / float64(pace)
	made := result{
		report:     o.report,
		worst:      worstOverMedian(o.firsts),
		idleShare:  float64(during) / idleTokens,
		stopped:    b.stopped.Load(),
		batchPerS:  float64(during) / took.Seconds(),
		onlineLoad: float64(busy) / float64(slotTime),
		slotWait:   f.slotWaits(),
	}
	if generated > 0 {
		lost := 1 - float64(b.tokens.Load())/float64(generated)
		again := time.Duration(b.again.Load()) * f.size.Engine.PrefillPerWord
		made.wasted = lost + float64(again)/float64(batchBusy)
	}
	for _, gateway := range f.gateways {
		made.reports += gateway.reporter.Sent()
	}
	return made
}

// slotWaits returns how long online requests waited for a slot: the harm that no noise of this machine can hide.
func (f *testFleet) slotWaits() *hdrhistogram.Histogram {
	waits := newHistogram()
	for _, engine := range f.engines {
		for _, run := range engine.Record.Runs() {
			if run.Class == string(request.ClassOnline) && !run.Admitted.IsZero() {
				_ = waits.RecordValue(max(lowestMicroseconds, run.Admitted.Sub(run.Started).Microseconds()))
			}
		}
	}
	return waits
}

const tail = 99

// worstOverMedian returns the worst organisation's p99 to the first token over the median one's.
func worstOverMedian(firsts []*hdrhistogram.Histogram) float64 {
	var tails []int64
	for _, first := range firsts {
		tails = append(tails, first.ValueAtQuantile(tail))
	}
	slices.Sort(tails)
	return float64(tails[len(tails)-1]) / float64(max(1, tails[len(tails)/2]))
}

func (o HarmOptions) modes() []mode {
	modes := []mode{
		{
			name:   "online alone",
			picker: newOwn,
			batch:  noBatch,
		},
		{
			name:   "naive batch",
			picker: newOwn,
			batch:  naiveBatch,
		},
	}
	for _, reserve := range o.Reserves {
		modes = append(modes, mode{
			name:    fmt.Sprintf("steward reserve %d", reserve),
			reserve: reserve,
			picker:  newOwn,
			batch:   ownBatch,
		})
	}
	return modes
}

// routingModes run the same arrivals, with batch, under other ways to choose an endpoint.
func (o HarmOptions) routingModes() []mode {
	pickers := []struct {
		name string
		make func() pickerOf
	}{
		{
			name: "own choice",
			make: newOwn,
		},
		{
			name: "random",
			make: func() pickerOf { return newRandomPicker },
		},
		{
			name: "least in flight local",
			make: func() pickerOf { return newLocalPicker },
		},
		{
			name: "all-knowing",
			make: newAllKnowing,
		},
	}
	var modes []mode
	for _, picker := range pickers {
		modes = append(modes, mode{
			name:    picker.name,
			reserve: o.Reserves[0],
			picker:  picker.make,
			batch:   ownBatch,
		})
	}
	return modes
}

// compare runs every mode on every seed and prints each mode against the first of the same seed.
func (o HarmOptions) compare(ctx context.Context, out io.Writer, modes []mode) error {
	if len(o.Only) > 0 {
		modes = slices.DeleteFunc(modes, func(m mode) bool { return !slices.Contains(o.Only, m.name) })
	}
	summaries := make([]summary, len(modes))
	for seed := range uint64(o.Seeds) {
		var first result
		for i, m := range modes {
			got, err := o.run(ctx, seed+1, m)
			if err != nil {
				return err
			}
			if i == 0 {
				first = got
			}
			got.print(out, seed+1, m.name)
			summaries[i].add(got, first)
		}
	}
	_, _ = fmt.Fprintf(out, "\nmedian (least-most) of %d seeds, p99 as a ratio to %q of the same seed\n", o.Seeds, modes[0].name)
	for i, m := range modes {
		summaries[i].print(out, m.name)
	}
	return nil
}

func newHarmCommand() *cobra.Command {
	options := HarmOptions{}
	command := &cobra.Command{
		Use:     "harm",
		Short:   "Measure what batch does to online requests: alone, with naive batch, with stewards",
		Example: "  loadtest harm --seeds 3 --seconds 12",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return options.compare(cmd.Context(), cmd.OutOrStdout(), options.modes())
		},
	}
	options.flags(command)
	return command
}

func newRoutingCommand() *cobra.Command {
	options := HarmOptions{}
	command := &cobra.Command{
		Use:     "routing",
		Short:   "Compare ways to choose an endpoint on the same arrivals",
		Example: "  loadtest routing --seeds 3 --seconds 12",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return options.compare(cmd.Context(), cmd.OutOrStdout(), options.routingModes())
		},
	}
	options.flags(command)
	return command
}

func (o *HarmOptions) flags(command *cobra.Command) {
	flags := command.Flags()
	flags.IntVar(&o.Seeds, "seeds", 3, "how many seeds")
	flags.Float64Var(&o.Seconds, "seconds", 12, "how long each run takes")
	flags.Float64Var(&o.CalmPerSecond, "calm", 20, "requests a second between bursts, which have ten times as many")
	flags.IntVar(&o.VMs, "vms", 12, "gateways and dispatchers")
	flags.IntVar(&o.Engines, "engines", 8, "model engines")
	flags.IntVar(&o.Slots, "slots", 16, "slots of an engine")
	flags.StringSliceVar(&o.Only, "only", nil, "the names of the modes to run; all if empty")
	flags.IntSliceVar(&o.Reserves, "reserve", []int{1}, "slots of an engine that batch leaves free; several are compared")
}
