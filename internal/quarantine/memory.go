package quarantine

import (
	"slices"
	"time"

	"rhubarbrudder/internal/inventory"
	"rhubarbrudder/internal/prompt"
)

const (
	// maxReports bounds the crashes that a VM remembers for the next steward, and maxAnsweredReports the answered parts.
	maxReports         = 32
	maxAnsweredReports = 64
)

// CrashReport is a lost run in a message. Its times are relative because the clocks of VMs are not synchronised.
type CrashReport struct {
	Endpoint inventory.Lifetime
	Parts    []prompt.PartID
	// Granted and Ended are how long ago the run got its slot and was lost.
	Granted  time.Duration
	Ended    time.Duration
	Begun    bool
	Answered time.Duration
}

// AnswerReport is a part that was answered some time ago, in a message.
type AnswerReport struct {
	Part prompt.PartID
	Ago  time.Duration
}

// Report is what a VM remembers, in a message.
type Report struct {
	Crashes []CrashReport
	Answers []AnswerReport
	// Answered is how many answers the VM has seen in all.
	Answered int
}

// Memory holds what a VM has lately observed of the parts of prompts. It sends it to each new steward, which otherwise
// would have to find out anew which part crashes endpoints. It is not safe for concurrent use.
type Memory struct {
	crashes []rememberedCrash
	// answered is in the order of the answers, the oldest first.
	answered []rememberedAnswer
	answers  int
}

type rememberedCrash struct {
	endpoint inventory.Lifetime
	run      LostRun
	at       time.Time
}

type rememberedAnswer struct {
	part prompt.PartID
	at   time.Time
}

// AddAnswer remembers an answer to a request with the parts.
func (m *Memory) AddAnswer(parts []prompt.PartID, now time.Time) {
	m.answers++
	for _, part := range parts {
		m.answered = slices.DeleteFunc(m.answered, func(known rememberedAnswer) bool {
			return known.part == part
		})
		m.answered = append(m.answered, rememberedAnswer{
			part: part,
			at:   now,
		})
	}
	m.answered = m.answered[max(0, len(m.answered)-maxAnsweredReports):]
}

// AddCrash remembers a run that was lost when its endpoint crashed.
func (m *Memory) AddCrash(endpoint inventory.Lifetime, run LostRun, now time.Time) {
	m.crashes = append(m.crashes, rememberedCrash{
		endpoint: endpoint,
		run:      run,
		at:       now,
	})
	m.crashes = m.crashes[max(0, len(m.crashes)-maxReports):]
}

// Report returns what is remembered, for a message.
func (m *Memory) Report(now time.Time) Report {
	report := Report{
		Answered: m.answers,
	}
	for _, known := range m.crashes {
		report.Crashes = append(report.Crashes, CrashReport{
			Endpoint: known.endpoint,
			Parts:    known.run.Parts,
			Granted:  now.Sub(known.run.Granted),
			Ended:    now.Sub(known.at),
			Begun:    known.run.Begun,
			Answered: known.run.Answered,
		})
	}
	for _, known := range m.answered {
		report.Answers = append(report.Answers, AnswerReport{
			Part: known.part,
			Ago:  now.Sub(known.at),
		})
	}
	return report
}

// AddReport records what a VM remembers of the time before.
func (e *Evidence) AddReport(report Report, now time.Time) {
	e.answers += report.Answered
	for _, answer := range report.Answers {
		e.addAnswered(answer.Part, now.Add(-answer.Ago))
	}
	for _, crash := range report.Crashes {
		if crash.Ended > evidenceTTL {
			continue
		}
		e.addCrash(crash.Endpoint, LostRun{
			Parts:    crash.Parts,
			Granted:  now.Add(-crash.Granted),
			Begun:    crash.Begun,
			Answered: crash.Answered,
		}, now.Add(-crash.Ended), now)
	}
}
