package steward

import (
	"time"

	"rhubarbrudder/internal/document"
	"rhubarbrudder/internal/endpoint"
)

// Report is a message from a gateway to a steward with the number of online requests that it has at endpoints.
type Report struct {
	// From identifies the gateway process. It is a new random number at each start.
	From uint64
	// Sequence grows with each report of a gateway, so that a report that arrives out of order is ignored.
	Sequence uint64
	Online   map[endpoint.ID]int
}

// ReportReply returns the load of all processes at the endpoints of a report.
type ReportReply struct {
	Fleet map[endpoint.ID]endpoint.FleetLoad
}

// MethodReport is the name of the net/rpc method that receives reports.
const MethodReport = "Steward.Report"

// HandleReport stores the counts of a report and revokes the latest grants at endpoints that have too few free slots.
// Then it grants the free slots of the services concerned.
func (s *Steward) HandleReport(report Report) ReportReply {
	now := time.Now()
	reply := ReportReply{
		Fleet: map[endpoint.ID]endpoint.FleetLoad{},
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	services := map[document.ServiceName]bool{}
	for id, count := range report.Online {
		a := s.account(id, now)
		if a.setOnline(report.From, report.Sequence, count, now) {
			a.record(now)
			s.yield(id, a, now)
		}
		reply.Fleet[id] = endpoint.FleetLoad{
			Online: a.reportedOnline(now) + a.unexplained,
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

// Service receives reports over net/rpc. It is registered as "Steward".
type Service struct {
	steward *Steward
}

// NewService returns the service of a steward.
func NewService(steward *Steward) *Service {
	return &Service{
		steward: steward,
	}
}

// Report handles a gateway's report.
func (s *Service) Report(args Report, reply *ReportReply) error {
	*reply = s.steward.HandleReport(args)
	return nil
}
