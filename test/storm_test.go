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
	stormVMs            = 4
	stormDuration       = 20 * time.Second
	stormJobs           = 5
	stormItems          = 60
	stormTokens         = 6
	stormConfirmations  = 40
	stormChatClients    = 4
	stormRequestTimeout = 10 * time.Second
	stormResends        = 4
	stormRestartDelay   = 200 * time.Millisecond
)

// storm runs load against a cluster while processes and the platform fail, sometimes at the same time.
type storm struct {
	t     *testing.T
	c     *cluster
	rng   *rand.Rand
	calls *callChecker
	// ctx ends when the test stops injecting faults and sending chats.
	ctx  context.Context
	mu   sync.Mutex
	jobs []batchCheck
	// answerCounts counts the chats by outcome: "answered", "connection lost" or the error code of the answer.
	answerCounts map[string]int
	// violations are the chats that ran although their answer said "not run", and the wrong answers.
	violations []string
}

// TestStorm kills and freezes processes and lets the platform fail in an order given by the seed, while batch jobs,
// online requests and confirmations run. It then compares the answers and results with the stand-ins' records.
func TestStorm(t *testing.T) {
	for name, seed := range map[string]uint64{
		"seed 1": 1,
		"seed 2": 2,
	} {
		t.Run(name, func(t *testing.T) {
			options := batchCluster(120 + int(seed))
			options.vms = stormVMs
			options.roles = []fleet.Role{fleet.RoleGateway, fleet.RoleDispatcher, fleet.RoleController}
			ctx, cancel := context.WithTimeout(t.Context(), stormDuration)
			defer cancel()
			s := &storm{
				t:            t,
				c:            newCluster(t, options),
				rng:          rand.New(rand.NewPCG(seed, seed)),
				calls:        newCallChecker(),
				ctx:          ctx,
				answerCounts: map[string]int{},
			}
			var load sync.WaitGroup
			load.Go(s.submitJobs)
			load.Go(s.confirmAll)
			for chatClient := range stormChatClients {
				load.Go(func() { s.sendChats(chatClient) })
			}
			s.injectFaults()
			load.Wait()
			s.check()
		})
	}
}

// injectFaults injects one or two faults at a time until ctx ends. All faults of a round are over before the next one.
func (s *storm) injectFaults() {
	for s.ctx.Err() == nil {
		var faults sync.WaitGroup
		for range 1 + s.rng.IntN(2) {
			duration := time.Duration(300+s.rng.IntN(2500)) * time.Millisecond
			vm := s.rng.IntN(stormVMs)
			role := s.c.options.roles[s.rng.IntN(len(s.c.options.roles))]
			switch s.rng.IntN(6) {
			case 0, 1:
				faults.Go(func() { s.kill(role, vm) })
			case 2:
				faults.Go(func() { s.freeze(role, vm, 2*duration) })
			case 3:
				faults.Go(func() { s.platformFault(standin.Fault{Outage: true}, duration) })
			case 4:
				faults.Go(func() { s.platformFault(standin.Fault{LoseAnswers: 0.3}, duration) })
			case 5:
				faults.Go(func() { s.platformFault(standin.Fault{Delay: 200 * time.Millisecond}, duration) })
			}
		}
		faults.Wait()
	}
}

// processFaultMu makes the process faults of a round follow one another, so that no two hit the same process at once.
var processFaultMu sync.Mutex

func (s *storm) kill(role fleet.Role, vm int) {
	processFaultMu.Lock()
	defer processFaultMu.Unlock()
	s.c.signal(role, vm, syscall.SIGKILL)
	s.c.waitExit(role, vm)
	time.Sleep(stormRestartDelay)
	s.c.start(role, vm)
}

func (s *storm) freeze(role fleet.Role, vm int, duration time.Duration) {
	processFaultMu.Lock()
	defer processFaultMu.Unlock()
	s.c.signal(role, vm, syscall.SIGSTOP)
	time.Sleep(duration)
	s.c.signal(role, vm, syscall.SIGCONT)
}

func (s *storm) platformFault(fault standin.Fault, duration time.Duration) {
	s.c.platform.Table.Faults.Set(fault)
	s.c.platform.Objects.Faults.Set(fault)
	time.Sleep(duration)
	s.c.platform.Table.Faults.Set(standin.Fault{})
	s.c.platform.Objects.Faults.Set(standin.Fault{})
}

// submitJobs submits each job until it is acknowledged, each time with the same idempotency key.
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
		time.Sleep(stormDuration / stormJobs / 2)
	}
}

// upload uploads a job's input and returns the body that creates the job, or an empty string if the upload failed.
func (s *storm) upload(attempt int, check batchCheck) string {
	ctx, cancel := context.WithTimeout(s.t.Context(), stormRequestTimeout)
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
	ctx, cancel := context.WithTimeout(s.t.Context(), stormRequestTimeout)
	defer cancel()
	response, answer, err := s.c.post(ctx, attempt%stormVMs, "/v1/batches", body, map[string]string{
		headerKey: fmt.Sprintf("storm-job-%d", number),
	})
	if err != nil || response.StatusCode != http.StatusOK {
		return ""
	}
	return job.ID(gjson.Get(answer, "id").String())
}

// confirmAll sends each confirmation several times through different gateways.
func (s *storm) confirmAll() {
	var group sync.WaitGroup
	for number := range stormConfirmations {
		group.Go(func() {
			for resend := range stormResends {
				s.confirm(number, number+resend)
				time.Sleep(500 * time.Millisecond)
			}
		})
		time.Sleep(stormDuration / stormConfirmations / 2)
	}
	group.Wait()
}

func (s *storm) confirm(number, gateway int) {
	ctx, cancel := context.WithTimeout(s.t.Context(), stormRequestTimeout)
	defer cancel()
	key := fmt.Sprintf("storm-%d", number)
	response, body, err := s.c.confirm(ctx, gateway%stormVMs, key)
	s.calls.record(key, response, body, err)
}

// sendChats sends chats until ctx ends and checks each answer.
func (s *storm) sendChats(chatClient int) {
	for number := 0; s.ctx.Err() == nil; number++ {
		question := fmt.Sprintf("asker %d question %d", chatClient, number)
		body := fmt.Sprintf(`{"model":"%s","max_tokens":8,"messages":[{"role":"user","content":"%s"}]}`, testModel, question)
		ctx, cancel := context.WithTimeout(s.t.Context(), stormRequestTimeout)
		response, answer, err := s.c.post(ctx, (chatClient+number)%stormVMs, "/v1/chat/completions", body, nil)
		cancel()
		s.checkAnswer(question, response, answer, err)
		time.Sleep(20 * time.Millisecond)
	}
}

// checkAnswer records a violation if a chat ran although the answer says "not run", or if the text of a successful
// answer differs from the engine's.
func (s *storm) checkAnswer(question string, response *http.Response, answer string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err != nil:
		s.answerCounts["connection lost"]++
	case response.StatusCode != http.StatusOK:
		s.answerCounts[gjson.Get(answer, "error.code").String()]++
		id := response.Header.Get("X-Request-Id")
		if response.Header.Get(headerOutcome) == "not run" && s.c.hasRun(id) {
			s.violations = append(s.violations, id)
		}
	default:
		s.answerCounts["answered"]++
		if gjson.Get(answer, "choices.0.message.content").String() != standin.Answer(question, 8) {
			s.violations = append(s.violations, question+": "+answer)
		}
	}
}

// check waits until all processes are ready, sends each confirmation once more and compares the answers and the results
// of the jobs with the stand-ins' records.
func (s *storm) check() {
	s.t.Helper()
	for vm := range stormVMs {
		for _, role := range s.c.options.roles {
			s.c.waitReady(role, vm)
		}
	}
	for number := range stormConfirmations {
		s.confirm(number, number)
	}
	s.calls.check(s.t, s.c.confirmationRuns(), stormConfirmations)
	s.t.Log("asked", s.answerCounts)
	assert.Equal(s.t, len(s.violations), 0, "%v", s.violations)
	assert.Assert(s.t, s.answerCounts["answered"] > 0)
	assert.Equal(s.t, len(s.jobs), stormJobs)
	for _, check := range s.jobs {
		waitFor(s.t, "job "+string(check.id)+" to end", readyTimeout, func() bool {
			return check.row(s.t).State.Ended()
		})
		check.assertComplete(s.t)
	}
}
