package test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/tidwall/gjson"
	"gotest.tools/v3/assert"

	"rhubarbrudder/internal/fleet"
	"rhubarbrudder/internal/job"
	"rhubarbrudder/internal/standin"
)

const (
	stormVMs      = 4
	stormLasts    = 20 * time.Second
	stormJobs     = 5
	stormItems    = 60
	stormTokens   = 6
	stormKeys     = 40
	stormAskers   = 4
	stormTimeout  = 10 * time.Second
	stormResends  = 4
	stormRestarts = 200 * time.Millisecond
)

// storm is a cluster under load while its processes and its platform fail, alone and together.
type storm struct {
	t     *testing.T
	c     *cluster
	rng   *rand.Rand
	calls *callChecker
	over  context.Context
	mu    sync.Mutex
	jobs  []batchCheck
	asked map[string]int
	lied  []string
}

// TestStorm kills, freezes and cuts off whatever its seed says while batch jobs, online requests and confirmations run,
// and judges by the stand-ins' records.
func TestStorm(t *testing.T) {
	for name, seed := range map[string]uint64{
		"seed 1": 1,
		"seed 2": 2,
	} {
		t.Run(name, func(t *testing.T) {
			options := batchCluster(120 + int(seed))
			options.vms = stormVMs
			options.roles = []fleet.Role{fleet.RoleGateway, fleet.RoleDispatcher, fleet.RoleController}
			over, end := context.WithTimeout(t.Context(), stormLasts)
			defer end()
			s := &storm{
				t:     t,
				c:     newCluster(t, options),
				rng:   rand.New(rand.NewPCG(seed, seed)),
				calls: newCallChecker(),
				over:  over,
				asked: map[string]int{},
			}
			var load sync.WaitGroup
			load.Go(s.submitJobs)
			load.Go(s.confirmAll)
			for asker := range stormAskers {
				load.Go(func() { s.askOn(asker) })
			}
			s.rage()
			load.Wait()
			s.judge()
		})
	}
}

// rage brings faults about, one or two at a time, and mends them all at the end.
func (s *storm) rage() {
	for s.over.Err() == nil {
		var faults sync.WaitGroup
		for range 1 + s.rng.IntN(2) {
			lasts := time.Duration(300+s.rng.IntN(2500)) * time.Millisecond
			vm := s.rng.IntN(stormVMs)
			role := s.c.options.roles[s.rng.IntN(len(s.c.options.roles))]
			switch s.rng.IntN(6) {
			case 0, 1:
				faults.Go(func() { s.kill(role, vm) })
			case 2:
				faults.Go(func() { s.freeze(role, vm, 2*lasts) })
			case 3:
				faults.Go(func() { s.platformFault(standin.Fault{Outage: true}, lasts) })
			case 4:
				faults.Go(func() { s.platformFault(standin.Fault{LoseAnswers: 0.3}, lasts) })
			case 5:
				faults.Go(func() { s.platformFault(standin.Fault{Delay: 200 * time.Millisecond}, lasts) })
			}
		}
		faults.Wait()
	}
}

// processAt keeps two faults of one round from meeting at the same process.
var processAt sync.Mutex

func (s *storm) kill(role fleet.Role, vm int) {
	processAt.Lock()
	defer processAt.Unlock()
	s.c.signal(role, vm, syscall.SIGKILL)
	s.c.waitExit(role, vm)
	time.Sleep(stormRestarts)
	s.c.start(role, vm)
}

func (s *storm) freeze(role fleet.Role, vm int, lasts time.Duration) {
	processAt.Lock()
	defer processAt.Unlock()
	s.c.signal(role, vm, syscall.SIGSTOP)
	time.Sleep(lasts)
	s.c.signal(role, vm, syscall.SIGCONT)
}

func (s *storm) platformFault(fault standin.Fault, lasts time.Duration) {
	s.c.platform.Table.Faults.Set(fault)
	s.c.platform.Objects.Faults.Set(fault)
	time.Sleep(lasts)
	s.c.platform.Table.Faults.Set(standin.Fault{})
	s.c.platform.Objects.Faults.Set(standin.Fault{})
}

// submitJobs sends each job until it is acknowledged, always under its own key.
func (s *storm) submitJobs() {
	for number := range stormJobs {
		check := batchCheck{
			c:      s.c,
			items:  stormItems,
			tokens: stormTokens,
			content: func(i int) string {
				return fmt.Sprintf("job %d sheet %d", number, i)
			},
		}
		body := ""
		for attempt := 0; check.id == ""; attempt++ {
			if body == "" {
				body = s.upload(attempt, check)
			}
			if body != "" {
				check.id = s.create(attempt, number, body)
			}
			time.Sleep(100 * time.Millisecond)
		}
		s.mu.Lock()
		s.jobs = append(s.jobs, check)
		s.mu.Unlock()
		time.Sleep(stormLasts / stormJobs / 2)
	}
}

// upload returns the body that makes a job of the uploaded input, or nothing if the upload failed.
func (s *storm) upload(attempt int, check batchCheck) string {
	ctx, cancel := context.WithTimeout(s.t.Context(), stormTimeout)
	defer cancel()
	client := s.c.client(attempt % stormVMs)
	file, err := client.Files.New(ctx, openai.FileNewParams{
		File:    openai.File(strings.NewReader(batchInput(check.items, check.tokens, check.content)), "input.jsonl", "application/jsonl"),
		Purpose: openai.FilePurposeBatch,
	})
	if err != nil {
		return ""
	}
	return fmt.Sprintf(`{"input_file_id":"%s","endpoint":"/v1/chat/completions","completion_window":"24h"}`, file.ID)
}

func (s *storm) create(attempt, number int, body string) job.ID {
	ctx, cancel := context.WithTimeout(s.t.Context(), stormTimeout)
	defer cancel()
	response, answer, err := s.c.post(ctx, attempt%stormVMs, "/v1/batches", body, map[string]string{
		headerKey: fmt.Sprintf("storm-job-%d", number),
	})
	if err != nil || response.StatusCode != http.StatusOK {
		return ""
	}
	return job.ID(gjson.Get(answer, "id").String())
}

// confirmAll sends each confirmation several times, through different gateways.
func (s *storm) confirmAll() {
	var group sync.WaitGroup
	for number := range stormKeys {
		group.Go(func() {
			for resend := range stormResends {
				s.confirm(number, number+resend)
				time.Sleep(500 * time.Millisecond)
			}
		})
		time.Sleep(stormLasts / stormKeys / 2)
	}
	group.Wait()
}

func (s *storm) confirm(number, through int) {
	ctx, cancel := context.WithTimeout(s.t.Context(), stormTimeout)
	defer cancel()
	key := fmt.Sprintf("storm-%d", number)
	response, body, err := s.c.confirm(ctx, through%stormVMs, key)
	s.calls.take(key, response, body, err)
}

// askOn sends chats and compares each answer that looks whole with the one that an engine gives.
func (s *storm) askOn(asker int) {
	for number := 0; s.over.Err() == nil; number++ {
		question := fmt.Sprintf("asker %d question %d", asker, number)
		body := fmt.Sprintf(`{"model":"%s","max_tokens":8,"messages":[{"role":"user","content":"%s"}]}`, testModel, question)
		ctx, cancel := context.WithTimeout(s.t.Context(), stormTimeout)
		response, answer, err := s.c.post(ctx, (asker+number)%stormVMs, "/v1/chat/completions", body, nil)
		cancel()
		s.judgeAnswer(question, response, answer, err)
		time.Sleep(20 * time.Millisecond)
	}
}

func (s *storm) judgeAnswer(question string, response *http.Response, answer string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err != nil:
		s.asked["connection lost"]++
	case response.StatusCode != http.StatusOK:
		s.asked[gjson.Get(answer, "error.code").String()]++
		id := response.Header.Get("X-Request-Id")
		if response.Header.Get(headerOutcome) == "not run" && s.c.ran(id) {
			s.lied = append(s.lied, id)
		}
	default:
		s.asked["answered"]++
		if gjson.Get(answer, "choices.0.message.content").String() != standin.Answer(question, 8) {
			s.lied = append(s.lied, question+": "+answer)
		}
	}
}

// judge lets everything come to rest and looks at the records.
func (s *storm) judge() {
	s.t.Helper()
	for vm := range stormVMs {
		for _, role := range s.c.options.roles {
			s.c.waitReady(role, vm)
		}
	}
	for number := range stormKeys {
		s.confirm(number, number)
	}
	s.calls.judge(s.t, s.c.runsOf(), stormKeys)
	s.t.Log("asked", s.asked)
	assert.Equal(s.t, len(s.lied), 0, "%v", s.lied)
	assert.Assert(s.t, s.asked["answered"] > 0)
	assert.Equal(s.t, len(s.jobs), stormJobs)
	for _, check := range s.jobs {
		waitFor(s.t, "job "+string(check.id)+" to end", readyTimeout, func() bool {
			return check.row(s.t).State.Ended()
		})
		check.whole(s.t)
	}
}
