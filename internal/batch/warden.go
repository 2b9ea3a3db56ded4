package batch

import (
	"context"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"rhubarbrudder/internal/pool"
	"rhubarbrudder/internal/roster"
	"rhubarbrudder/internal/store"
)

const (
	// scanPeriod separates scans for jobs without an owner. Two of them and a restart of the work fit several times
	// into the time in which jobs are due.
	scanPeriod = 700 * time.Millisecond
	// scanTimeout bounds one reading of the claims.
	scanTimeout = 2 * time.Second
	// askTimeout bounds a question to an owner; a VM that is well answers in milliseconds.
	askTimeout = 300 * time.Millisecond
	// adoptTimeout bounds the adoption of a job, which reads and writes the store.
	adoptTimeout = 2 * time.Second
	// missingScans is after how many scans in a row without a word of its owner a job is given to another VM.
	missingScans = 2
)

// Methods of the service between VMs.
const (
	ServiceName = "Batch"
	MethodHolds = "Batch.Holds"
	MethodAdopt = "Batch.Adopt"
)

// HoldsArgs asks a VM which jobs it runs.
type HoldsArgs struct{}

// Holds is the jobs that a VM's process runs.
type Holds struct {
	Incarnation roster.Incarnation
	Jobs        []JobID
	Retiring    bool
}

// Service is the net/rpc service of a keeper.
type Service struct {
	keeper *Keeper
}

// NewService returns the service.
func NewService(keeper *Keeper) *Service {
	return &Service{
		keeper: keeper,
	}
}

// Holds returns the jobs that this VM runs.
func (s *Service) Holds(_ HoldsArgs, reply *Holds) error {
	reply.Incarnation = s.keeper.self.Incarnation
	reply.Jobs = s.keeper.Owned()
	s.keeper.mu.Lock()
	defer s.keeper.mu.Unlock()
	reply.Retiring = s.keeper.retiring
	return nil
}

// Adopt makes this VM the owner of a job.
func (s *Service) Adopt(args AdoptArgs, _ *Holds) error {
	ctx, cancel := context.WithTimeout(s.keeper.life, adoptTimeout)
	defer cancel()
	return s.keeper.Adopt(ctx, args)
}

// sighting is how often a job was seen without its owner, since its claim last changed.
type sighting struct {
	revision store.Revision
	scans    int
}

// Absences decides which jobs have lost their owner.
type Absences struct {
	seen map[JobID]sighting
}

// NewAbsences returns decisions without a history.
func NewAbsences() *Absences {
	return &Absences{
		seen: map[JobID]sighting{},
	}
}

// Claimed is a job that is open.
type Claimed struct {
	Job         JobID
	Owner       pool.VMName
	Incarnation roster.Incarnation
	Revision    store.Revision
}

// Orphans returns the jobs whose owner was silent, or did not know of them, in several scans in a row while their
// claims did not change. Answers holds what the owners that answered run.
func (a *Absences) Orphans(claimed []Claimed, answers map[pool.VMName]Holds) []Claimed {
	var orphans []Claimed
	next := make(map[JobID]sighting, len(a.seen))
	for _, c := range claimed {
		answer, answered := answers[c.Owner]
		if answered && answer.Incarnation == c.Incarnation && slices.Contains(answer.Jobs, c.Job) {
			continue
		}
		s := sighting{
			revision: c.Revision,
			scans:    1,
		}
		if before := a.seen[c.Job]; before.revision == c.Revision {
			s.scans += before.scans
		}
		restarted := answered && answer.Incarnation != c.Incarnation
		if restarted || s.scans >= missingScans {
			orphans = append(orphans, c)
		}
		next[c.Job] = s
	}
	a.seen = next
	return orphans
}

// Roster knows the VMs.
type Roster interface {
	Get(name pool.VMName) (roster.VM, bool)
	All() []roster.VM
}

// Warden finds jobs that have lost their owner, and new owners for them. It works on one VM, which Duty tells; on two
// at once it does no harm, as claims are conditional.
type Warden struct {
	keeper   *Keeper
	roster   Roster
	caller   pool.Caller
	duty     func() bool
	log      *slog.Logger
	absences *Absences
	// keep is how long a job's results stay readable after its submission.
	keep  time.Duration
	swept time.Time
}

// NewWarden returns a warden of jobs whose results are kept for a time after submission.
func NewWarden(keeper *Keeper, list Roster, caller pool.Caller, duty func() bool, keep time.Duration, log *slog.Logger) *Warden {
	return &Warden{
		keeper:   keeper,
		roster:   list,
		caller:   caller,
		duty:     duty,
		log:      log,
		absences: NewAbsences(),
		keep:     keep,
		swept:    time.Now(),
	}
}

// Run scans while it has duty, until ctx ends.
func (w *Warden) Run(ctx context.Context) {
	for sleep(ctx, scanPeriod) {
		if !w.duty() {
			w.absences = NewAbsences()
			continue
		}
		w.scan(ctx)
		w.sweep(ctx)
	}
}

// sweep removes old jobs from time to time.
func (w *Warden) sweep(ctx context.Context) {
	if time.Since(w.swept) < sweepPeriod {
		return
	}
	w.swept = time.Now()
	ctx, cancel := context.WithTimeout(ctx, sweepPeriod)
	defer cancel()
	removed, err := w.keeper.sweep(ctx, w.keep)
	if removed > 0 || err != nil {
		w.log.Info("jobs removed", "jobs", removed, "err", err)
	}
}

func (w *Warden) scan(ctx context.Context) {
	read, cancel := context.WithTimeout(ctx, scanTimeout)
	defer cancel()
	page, err := w.keeper.ledger.claims(read)
	if err != nil {
		w.log.Warn("claims not read", "err", err)
		return
	}
	claimed := make([]Claimed, 0, len(page.Rows))
	owners := map[pool.VMName]bool{}
	for _, row := range page.Rows {
		c, err := decodeClaim(row)
		if err != nil {
			w.log.Error("claim not understood", "job", row.Address.Key, "err", err)
			continue
		}
		claimed = append(claimed, Claimed{
			Job:         JobID(row.Address.Key),
			Owner:       pool.VMName(c.Owner),
			Incarnation: roster.Incarnation(c.Incarnation),
			Revision:    row.Revision,
		})
		owners[pool.VMName(c.Owner)] = true
	}
	answers := w.ask(ctx, owners)
	orphans := w.absences.Orphans(claimed, answers)
	if len(orphans) > 0 {
		w.assign(ctx, orphans)
	}
}

// ask asks the owners, all at once, which jobs they run.
func (w *Warden) ask(ctx context.Context, owners map[pool.VMName]bool) map[pool.VMName]Holds {
	type reply struct {
		vm    pool.VMName
		holds Holds
		err   error
	}
	replies := make(chan reply, len(owners))
	for owner := range owners {
		go func() {
			var holds Holds
			err := w.call(ctx, owner, askTimeout, MethodHolds, HoldsArgs{}, &holds)
			replies <- reply{
				vm:    owner,
				holds: holds,
				err:   err,
			}
		}()
	}
	answers := map[pool.VMName]Holds{}
	for range owners {
		r := <-replies
		if r.err != nil {
			w.log.Info("job owner silent", "vm", r.vm, "err", r.err)
			continue
		}
		answers[r.vm] = r.holds
	}
	return answers
}

func (w *Warden) call(ctx context.Context, vm pool.VMName, timeout time.Duration, method string, args any, reply *Holds) error {
	service := NewService(w.keeper)
	if vm == w.keeper.self.Name {
		switch a := args.(type) {
		case AdoptArgs:
			return service.Adopt(a, reply)
		case HoldsArgs:
			return service.Holds(a, reply)
		}
	}
	to, known := w.roster.Get(vm)
	if !known {
		return ErrNotFound
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return w.caller.Call(ctx, to.Address, method, args, reply)
}

// assign gives jobs to VMs that answer, in turn.
func (w *Warden) assign(ctx context.Context, orphans []Claimed) {
	all := map[pool.VMName]bool{}
	for _, vm := range w.roster.All() {
		all[vm.Name] = true
	}
	answers := w.ask(ctx, all)
	var able []pool.VMName
	for vm, holds := range answers {
		if !holds.Retiring {
			able = append(able, vm)
		}
	}
	if len(able) == 0 {
		return
	}
	slices.Sort(able)
	turn := rand.IntN(len(able))
	for i, orphan := range orphans {
		vm := able[(turn+i)%len(able)]
		go func() {
			err := w.call(ctx, vm, adoptTimeout, MethodAdopt, AdoptArgs{
				Job:      orphan.Job,
				Revision: orphan.Revision,
			}, &Holds{})
			w.log.Info("job assigned", "job", orphan.Job, "from", orphan.Owner, "to", vm, "revision", orphan.Revision, "err", err)
		}()
	}
}

// HandOver gives this VM's jobs, with what was generated so far, to other VMs.
func (w *Warden) HandOver(ctx context.Context, handed []AdoptArgs) {
	others := map[pool.VMName]bool{}
	for _, vm := range w.roster.All() {
		if vm.Name != w.keeper.self.Name {
			others[vm.Name] = true
		}
	}
	answers := w.ask(ctx, others)
	maps.DeleteFunc(answers, func(_ pool.VMName, holds Holds) bool {
		return holds.Retiring
	})
	able := slices.Sorted(maps.Keys(answers))
	for i, args := range handed {
		if len(able) == 0 {
			w.log.Warn("job not handed over", "job", args.Job)
			continue
		}
		vm := able[i%len(able)]
		err := w.call(ctx, vm, adoptTimeout, MethodAdopt, args, &Holds{})
		w.log.Info("job handed over", "job", args.Job, "to", vm, "progress", len(args.Progress), "err", err)
	}
}
