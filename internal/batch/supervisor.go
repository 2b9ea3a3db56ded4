package batch

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"rhubarbrudder/internal/pool"
	"rhubarbrudder/internal/roster"
	"rhubarbrudder/internal/store"
)

const (
	// scanPeriod is the time between scans for jobs without an owner. Two scans and a restart of the work take only a
	// fraction of the time within which jobs are due.
	scanPeriod = 700 * time.Millisecond
	// scanTimeout bounds one read of all claims.
	scanTimeout = 2 * time.Second
	// queryTimeout bounds a query to an owner; a healthy VM answers within milliseconds.
	queryTimeout = 300 * time.Millisecond
	// confirmTimeout bounds the last query to an owner before its job is assigned to another VM. A VM that is only slow to
	// answer keeps its jobs, because another owner would run their items again from the beginning.
	confirmTimeout = time.Second
	// adoptTimeout bounds the adoption of a job, which reads and writes the store.
	adoptTimeout = 2 * time.Second
	// maxMissedScans is the number of consecutive scans without confirmation from the owner after which a job is
	// assigned to another VM.
	maxMissedScans = 2
	// maxAssignments is the number of jobs that are assigned at once. Each takes three calls to the store.
	maxAssignments = 64
)

// Name and methods of the net/rpc service between VMs.
const (
	ServiceName = "Batch"
	MethodHolds = "Batch.Holds"
	MethodAdopt = "Batch.Adopt"
)

// HoldsArgs asks a VM which jobs it runs.
type HoldsArgs struct{}

// HoldsReply lists the jobs that a VM's process runs or is handing over. A retiring VM stops its jobs and adopts no others.
type HoldsReply struct {
	Incarnation roster.Incarnation
	Jobs        []JobID
	Retiring    bool
}

// Service is the net/rpc service of a Manager.
type Service struct {
	manager *Manager
}

// NewService returns the service.
func NewService(manager *Manager) *Service {
	return &Service{
		manager: manager,
	}
}

// Holds returns the jobs that this VM runs or is handing over.
func (s *Service) Holds(_ HoldsArgs, reply *HoldsReply) error {
	reply.Incarnation = s.manager.self.Incarnation
	reply.Jobs = s.manager.held()
	s.manager.mu.Lock()
	defer s.manager.mu.Unlock()
	reply.Retiring = s.manager.retiring
	return nil
}

// Adopt makes this VM the owner of a job.
func (s *Service) Adopt(args AdoptArgs, _ *HoldsReply) error {
	ctx, cancel := context.WithTimeout(s.manager.baseCtx, adoptTimeout)
	defer cancel()
	return s.manager.Adopt(ctx, args)
}

// absence counts the consecutive scans in which the owner of a job did not confirm it, at an unchanged claim revision.
type absence struct {
	revision store.Revision
	scans    int
}

// OrphanDetector decides which jobs have lost their owner.
type OrphanDetector struct {
	absences map[JobID]absence
}

// NewOrphanDetector returns an OrphanDetector without a history.
func NewOrphanDetector() *OrphanDetector {
	return &OrphanDetector{
		absences: map[JobID]absence{},
	}
}

// OpenJob is a job that is neither complete nor ended, with the owner named in its claim and the claim's revision.
type OpenJob struct {
	Job         JobID
	Claim       ClaimKey
	Owner       pool.VMName
	Incarnation roster.Incarnation
	Revision    store.Revision
}

// Orphans returns the jobs whose owner has restarted since, or did not confirm them in maxMissedScans consecutive scans
// while their claims did not change. The answers are those of the owners that were reachable.
func (d *OrphanDetector) Orphans(openJobs []OpenJob, answers map[pool.VMName]HoldsReply) []OpenJob {
	var orphans []OpenJob
	next := make(map[JobID]absence, len(d.absences))
	for _, c := range openJobs {
		answer, answered := answers[c.Owner]
		if answered && answer.Incarnation == c.Incarnation && slices.Contains(answer.Jobs, c.Job) {
			continue
		}
		missed := absence{
			revision: c.Revision,
			scans:    1,
		}
		if previous := d.absences[c.Job]; previous.revision == c.Revision {
			missed.scans += previous.scans
		}
		restarted := answered && answer.Incarnation != c.Incarnation
		if restarted || missed.scans >= maxMissedScans {
			orphans = append(orphans, c)
		}
		next[c.Job] = missed
	}
	d.absences = next
	return orphans
}

// Roster lists the VMs of the system.
type Roster interface {
	Get(name pool.VMName) (roster.VM, bool)
	All() []roster.VM
}

// Supervisor finds jobs that have lost their owner and assigns them to other VMs; it also removes old jobs. It is
// active on the VM where isActive returns true. Two active supervisors do no harm because all writes to claims are
// conditional.
type Supervisor struct {
	manager  *Manager
	roster   Roster
	caller   pool.Caller
	isActive func() bool
	log      *slog.Logger
	orphans  *OrphanDetector
	// retention is how long a job's results stay readable after its submission.
	retention time.Duration
	lastSweep time.Time

	mu sync.Mutex
	// assigning holds the jobs that are being assigned.
	assigning map[JobID]bool
}

// NewSupervisor returns a Supervisor that keeps results for the retention period after the job's submission.
func NewSupervisor(manager *Manager, list Roster, caller pool.Caller, isActive func() bool, retention time.Duration, log *slog.Logger) *Supervisor {
	return &Supervisor{
		manager:   manager,
		roster:    list,
		caller:    caller,
		isActive:  isActive,
		log:       log,
		orphans:   NewOrphanDetector(),
		retention: retention,
		lastSweep: time.Now(),
		assigning: map[JobID]bool{},
	}
}

// Run scans while the supervisor is active, until ctx ends.
func (s *Supervisor) Run(ctx context.Context) {
	for sleep(ctx, scanPeriod) {
		if !s.isActive() {
			s.orphans = NewOrphanDetector()
			continue
		}
		s.scan(ctx)
		s.sweep(ctx)
	}
}

// sweep removes old jobs if sweepPeriod has passed since the last time.
func (s *Supervisor) sweep(ctx context.Context) {
	if time.Since(s.lastSweep) < sweepPeriod {
		return
	}
	s.lastSweep = time.Now()
	ctx, cancel := context.WithTimeout(ctx, sweepPeriod)
	defer cancel()
	removed, err := s.manager.sweep(ctx, s.retention)
	if removed > 0 || err != nil {
		s.log.Info("jobs removed", "jobs", removed, "err", err)
	}
}

// scan reads the claims of all open jobs and assigns those that have lost their owner.
func (s *Supervisor) scan(ctx context.Context) {
	readCtx, cancel := context.WithTimeout(ctx, scanTimeout)
	defer cancel()
	page, err := s.manager.ledger.claims(readCtx)
	if err != nil {
		s.log.Warn("claims not read", "err", err)
		return
	}
	openJobs := make([]OpenJob, 0, len(page.Rows))
	owners := map[pool.VMName]bool{}
	for _, row := range page.Rows {
		c, err := decodeClaim(row)
		if err != nil {
			s.log.Error("claim cannot be decoded", "job", row.Address.Key, "err", err)
			continue
		}
		openJobs = append(openJobs, OpenJob{
			Job:         ClaimKey(row.Address.Key).Job(),
			Claim:       ClaimKey(row.Address.Key),
			Owner:       pool.VMName(c.Owner),
			Incarnation: roster.Incarnation(c.Incarnation),
			Revision:    row.Revision,
		})
		owners[pool.VMName(c.Owner)] = true
	}
	answers := s.queryOwners(ctx, owners, queryTimeout)
	orphans := s.withoutSlowOwners(ctx, s.orphans.Orphans(openJobs, answers), answers)
	if len(orphans) > 0 {
		s.assign(ctx, orphans)
	}
}

// withoutSlowOwners asks the owners that did not answer once more, with more time, and returns the orphans without those
// that their owners confirm.
func (s *Supervisor) withoutSlowOwners(ctx context.Context, orphans []OpenJob, answers map[pool.VMName]HoldsReply) []OpenJob {
	silent := map[pool.VMName]bool{}
	for _, orphan := range orphans {
		if _, answered := answers[orphan.Owner]; !answered {
			silent[orphan.Owner] = true
		}
	}
	if len(silent) == 0 {
		return orphans
	}
	confirmed := s.queryOwners(ctx, silent, confirmTimeout)
	return slices.DeleteFunc(orphans, func(orphan OpenJob) bool {
		holds := confirmed[orphan.Owner]
		slow := holds.Incarnation == orphan.Incarnation && slices.Contains(holds.Jobs, orphan.Job)
		if slow {
			s.log.Info("job kept by a slow owner", "job", orphan.Job, "vm", orphan.Owner)
		}
		return slow
	})
}

// queryOwners asks the owners concurrently which jobs they run.
func (s *Supervisor) queryOwners(ctx context.Context, owners map[pool.VMName]bool, timeout time.Duration) map[pool.VMName]HoldsReply {
	type reply struct {
		vm    pool.VMName
		holds HoldsReply
		err   error
	}
	replies := make(chan reply, len(owners))
	for owner := range owners {
		go func() {
			var holds HoldsReply
			err := s.call(ctx, owner, timeout, MethodHolds, HoldsArgs{}, &holds)
			replies <- reply{
				vm:    owner,
				holds: holds,
				err:   err,
			}
		}()
	}
	answers := map[pool.VMName]HoldsReply{}
	for range owners {
		r := <-replies
		if r.err != nil {
			s.log.Info("job owner did not answer", "vm", r.vm, "err", r.err)
			continue
		}
		answers[r.vm] = r.holds
	}
	return answers
}

// call calls a method of another VM, or of this one without the network.
func (s *Supervisor) call(ctx context.Context, vm pool.VMName, timeout time.Duration, method string, args any, reply *HoldsReply) error {
	service := NewService(s.manager)
	if vm == s.manager.self.Name {
		switch a := args.(type) {
		case AdoptArgs:
			return service.Adopt(a, reply)
		case HoldsArgs:
			return service.Holds(a, reply)
		}
	}
	to, known := s.roster.Get(vm)
	if !known {
		return ErrNotFound
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return s.caller.Call(ctx, to.Address, method, args, reply)
}

// beginAssignment reports whether a job may be assigned now: it is not being assigned already, and not too many others are. The next
// scan finds it again otherwise.
func (s *Supervisor) beginAssignment(id JobID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.assigning[id] || len(s.assigning) >= maxAssignments {
		return false
	}
	s.assigning[id] = true
	return true
}

func (s *Supervisor) endAssignment(id JobID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.assigning, id)
}

// assign distributes jobs among the VMs that answer, in round-robin order.
func (s *Supervisor) assign(ctx context.Context, orphans []OpenJob) {
	all := map[pool.VMName]bool{}
	for _, vm := range s.roster.All() {
		all[vm.Name] = true
	}
	answers := s.queryOwners(ctx, all, queryTimeout)
	var candidates []pool.VMName
	for vm, holds := range answers {
		if !holds.Retiring {
			candidates = append(candidates, vm)
		}
	}
	if len(candidates) == 0 {
		return
	}
	slices.Sort(candidates)
	offset := rand.IntN(len(candidates))
	for i, orphan := range orphans {
		if !s.beginAssignment(orphan.Job) {
			continue
		}
		vm := candidates[(offset+i)%len(candidates)]
		go func() {
			defer s.endAssignment(orphan.Job)
			err := s.call(ctx, vm, adoptTimeout, MethodAdopt, AdoptArgs{
				Job:      orphan.Job,
				Claim:    orphan.Claim,
				Revision: orphan.Revision,
			}, &HoldsReply{})
			s.log.Info("job assigned", "job", orphan.Job, "from", orphan.Owner, "to", vm, "revision", orphan.Revision, "err", err)
		}()
	}
}
