package steward

import (
	"time"

	"rhubarbrudder/internal/document"
	"rhubarbrudder/internal/endpoint"
)

// Report tells a steward how many online requests a gateway has at endpoints.
type Report struct {
	// From names the gateway, anew at each of its starts.
	From uint64
	// Sequence grows with each report of a gateway, so that one that arrives late is known.
	Sequence uint64
	Online   map[endpoint.ID]int
}

// ReportReply tells a gateway what the whole fleet has at the endpoints that it reported on.
type ReportReply struct {
	Fleet map[endpoint.ID]endpoint.FleetLoad
}

// MethodReport is the name of the method that takes reports.
const MethodReport = "Steward.Report"

// Take takes a report in and yields the youngest grants of endpoints that have too few free slots.
func (s *Steward) Take(report Report) ReportReply {
	now := time.Now()
	reply := ReportReply{
		Fleet: map[endpoint.ID]endpoint.FleetLoad{},
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	services := map[document.ServiceName]bool{}
	for id, count := range report.Online {
		a := s.account(id, now)
		if a.take(report.From, report.Sequence, count, now) {
			a.note(now)
			s.yield(id, a, now)
		}
		reply.Fleet[id] = endpoint.FleetLoad{
			Online: a.told(now) + a.unexplained,
			Batch:  len(a.grants),
		}
		if target, ok := s.directory.Find(id); ok {
			services[target.Service] = true
		}
	}
	for service := range services {
		s.fill(service, now)
	}
	return reply
}

// Service takes reports over net/rpc; it is registered as "Steward".
type Service struct {
	steward *Steward
}

// NewService returns the service of a steward.
func NewService(steward *Steward) *Service {
	return &Service{
		steward: steward,
	}
}

// Report takes a gateway's report.
func (s *Service) Report(args Report, reply *ReportReply) error {
	*reply = s.steward.Take(args)
	return nil
}
