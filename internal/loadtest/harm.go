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

// CompareOptions are the flags of the harm and routing commands, which run the same arrivals in several modes.
type CompareOptions struct {
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
	tokenInterval         = 20 * time.Millisecond
	fullBatchSlowdown     = 0.2
	workersPerVM          = 64
)

// mode is one configuration that the arrivals are run with.
type mode struct {
	name    string
	reserve int
	// picker returns the pickerFactory of one run. It is called for each run, because the pickers that newGlobalPicker's
	// factory creates share the trackers of the run's gateways.
	picker func() pickerFactory
	batch  func(ctx context.Context, f *testFleet, b *batch)
}

func productionPicker() pickerFactory { return newProductionPicker }

func noBatch(context.Context, *testFleet, *batch) {}

func naiveBatch(ctx context.Context, f *testFleet, b *batch) {
	b.startWorkers(ctx, newNaiveCapacity(f), f.size.Engines*f.size.Engine.Slots)
}

func stewardBatch(ctx context.Context, f *testFleet, b *batch) {
	for _, st := range f.stewards {
		b.startWorkers(ctx, stewardCapacity{
			steward: st,
		}, workersPerVM)
	}
}

// result holds the measurements of one run of a mode.
type result struct {
	report Report
	// worstTailRatio is the worst organisation's p99 time to the first token over the median organisation's.
	worstTailRatio float64
	// batchShareOfIdle is the number of batch tokens received over the number that could have been generated in the slot
	// time that online requests left idle.
	batchShareOfIdle float64
	// wastedShare is the sum of two shares: of the tokens generated for batch items, those that were not received; and
	// of the slot time of batch items, that spent on repeated prefill.
	wastedShare float64
	// stopped counts the attempts at batch items whose slot was taken back or ended with the run.
	stopped int64
	// loadReports counts the reports of their online load that the gateways sent to stewards.
	loadReports          uint64
	batchTokensPerSecond float64
	// onlineLoad is the share of the slot time that online requests used.
	onlineLoad float64
	// slotWait is the time that online requests waited at the engine for a slot.
	slotWait *hdrhistogram.Histogram
}

// run starts a fleet and the batch items, waits warmUp, runs the arrivals of the seed and returns the measurements.
func (o CompareOptions) run(ctx context.Context, seed uint64, m mode) (result, error) {
	engine := standin.DefaultEngineOptions()
	engine.Slots = o.Slots
	engine.TokenInterval = tokenInterval
	engine.FullBatchSlowdown = fullBatchSlowdown
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
	load := BurstyLoad{
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
	sleep(ctx, warmUp)
	online := newOnline(f, measuredOrganisations)
	start, before := time.Now(), b.tokens.Load()
	online.run(ctx, load.Arrivals())
	elapsed, batchTokens := time.Since(start), b.tokens.Load()-before
	stop()
	b.workers.Wait()
	return f.result(online, b, elapsed, batchTokens), nil
}

// result computes the measurements. elapsed is the duration of the run and batchTokens the number of batch tokens
// received in it.
func (f *testFleet) result(o *online, b *batch, elapsed time.Duration, batchTokens int64) result {
	_, onlineBusy := f.engineUse(request.ClassOnline)
	generated, batchBusy := f.engineUse(request.ClassBatch)
	slotTime := time.Duration(f.size.Engines*f.size.Engine.Slots) * elapsed
	// The time that a token takes in an engine whose slots are all used.
	tokenTime := time.Duration(float64(f.size.Engine.TokenInterval) * (1 + f.size.Engine.FullBatchSlowdown))
	idleTokens := float64(slotTime-onlineBusy) / float64(tokenTime)
	res := result{
		report:               o.report,
		worstTailRatio:       worstTailOverMedian(o.firstTokenByOrganisation),
		batchShareOfIdle:     float64(batchTokens) / idleTokens,
		stopped:              b.stopped.Load(),
		batchTokensPerSecond: float64(batchTokens) / elapsed.Seconds(),
		onlineLoad:           float64(onlineBusy) / float64(slotTime),
		slotWait:             f.slotWaits(),
	}
	if generated > 0 {
		lost := 1 - float64(b.tokens.Load())/float64(generated)
		repeatedPrefill := time.Duration(b.repeatedWords.Load()) * f.size.Engine.PrefillPerWord
		res.wastedShare = lost + float64(repeatedPrefill)/float64(batchBusy)
	}
	for _, gateway := range f.gateways {
		res.loadReports += gateway.reporter.Sent()
	}
	return res
}

// slotWaits returns how long online requests waited for a slot. They show the effect of batch items even
// when machine noise hides it in the latencies.
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

const tailPercentile = 99

// worstTailOverMedian returns the ratio of the worst organisation's p99 time to the first token to the median of all
// organisations' p99 times.
func worstTailOverMedian(firstTokens []*hdrhistogram.Histogram) float64 {
	var tails []int64
	for _, histogram := range firstTokens {
		tails = append(tails, histogram.ValueAtQuantile(tailPercentile))
	}
	slices.Sort(tails)
	return float64(tails[len(tails)-1]) / float64(max(1, tails[len(tails)/2]))
}

// modes returns the modes of the harm command: without batch items, with batch items that may use every slot (naive),
// and with stewards for each reserve.
func (o CompareOptions) modes() []mode {
	modes := []mode{
		{
			name:   "online alone",
			picker: productionPicker,
			batch:  noBatch,
		},
		{
			name:   "naive batch",
			picker: productionPicker,
			batch:  naiveBatch,
		},
	}
	for _, reserve := range o.Reserves {
		modes = append(modes, mode{
			name:    fmt.Sprintf("steward reserve %d", reserve),
			reserve: reserve,
			picker:  productionPicker,
			batch:   stewardBatch,
		})
	}
	return modes
}

// routingModes returns modes that differ in how gateways choose an endpoint. In all of them, batch items run, and the
// stewards keep the first reserve; further ones are ignored.
func (o CompareOptions) routingModes() []mode {
	pickers := []struct {
		name string
		make func() pickerFactory
	}{
		{
			// The production picker chooses by the information that the gateway itself has.
			name: "own choice",
			make: productionPicker,
		},
		{
			name: "random",
			make: func() pickerFactory { return newRandomPicker },
		},
		{
			name: "least in flight local",
			make: func() pickerFactory { return newLocalPicker },
		},
		{
			// The global picker knows the in-flight requests of all gateways without delay.
			name: "all-knowing",
			make: newGlobalPicker,
		},
	}
	var modes []mode
	for _, picker := range pickers {
		modes = append(modes, mode{
			name:    picker.name,
			reserve: o.Reserves[0],
			picker:  picker.make,
			batch:   stewardBatch,
		})
	}
	return modes
}

// compare runs every mode with every seed and prints each result relative to the first mode with the same seed.
func (o CompareOptions) compare(ctx context.Context, out io.Writer, modes []mode) error {
	if len(o.Only) > 0 {
		modes = slices.DeleteFunc(modes, func(m mode) bool { return !slices.Contains(o.Only, m.name) })
	}
	summaries := make([]summary, len(modes))
	for seed := range uint64(o.Seeds) {
		var baseline result
		for i, m := range modes {
			res, err := o.run(ctx, seed+1, m)
			if err != nil {
				return err
			}
			if i == 0 {
				baseline = res
			}
			res.print(out, seed+1, m.name)
			summaries[i].add(res, baseline)
		}
	}
	_, _ = fmt.Fprintf(out, "\nmedian (least-most) of %d seeds, p99 as a ratio to %q of the same seed\n", o.Seeds, modes[0].name)
	for i, m := range modes {
		summaries[i].print(out, m.name)
	}
	return nil
}

func newHarmCommand() *cobra.Command {
	options := CompareOptions{}
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
	options := CompareOptions{}
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

func (o *CompareOptions) flags(command *cobra.Command) {
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
