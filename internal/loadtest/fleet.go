package loadtest

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"time"

	"rhubarbrudder/internal/document"
	"rhubarbrudder/internal/endpoint"
	"rhubarbrudder/internal/fleet"
	"rhubarbrudder/internal/peer"
	"rhubarbrudder/internal/router"
	"rhubarbrudder/internal/standin"
	"rhubarbrudder/internal/steward"
	"rhubarbrudder/internal/tablestore"
)

// Size describes the fleet of a measurement.
type Size struct {
	VMs     int
	Engines int
	Engine  standin.EngineOptions
	// Reserve is the number of slots per engine that batch items leave free.
	Reserve int
}

const (
	measuredService document.ServiceName = "beacon-assist"
	measuredModel   document.ModelName   = "beacon-7b"
)

// testFleet runs, in one process, the parts of a fleet where online and batch requests compete: real routers and
// stewards, reports over net/rpc, HTTP on loopback, and stand-in engines. Each endpoint has one dispatcher
// as its steward, which decides how many of its slots batch items may use.
type testFleet struct {
	size      Size
	directory *endpoint.Directory
	document  *fixedDocument
	engines   []*standin.Engine
	gateways  []*testGateway
	stewards  []*steward.Steward
	client    *endpoint.Client
	closers   []func()
	members   []fleet.Member
}

type testGateway struct {
	router   *router.Router
	reporter *steward.Reporter
	tracker  *endpoint.Tracker
}

// fixedMembers is a member list that never changes, as one of the members sees it.
type fixedMembers struct {
	self    fleet.Member
	members []fleet.Member
}

// Self returns the member that the list belongs to.
func (m *fixedMembers) Self() fleet.Member { return m.self }

// Alive returns all members with the role.
func (m *fixedMembers) Alive(role fleet.Role) []fleet.Member {
	var alive []fleet.Member
	for _, member := range m.members {
		if member.Role == role {
			alive = append(alive, member)
		}
	}
	return alive
}

// Version returns a constant, as the members never change.
func (m *fixedMembers) Version() uint64 { return 1 }

// fixedDocument is a document that never changes.
type fixedDocument struct {
	view *document.View
}

// View returns the document's view.
func (d *fixedDocument) View() *document.View { return d.view }

// pickerFactory creates the picker of one gateway.
type pickerFactory func(directory *endpoint.Directory, tracker *endpoint.Tracker, members *fixedMembers) router.Picker

func newProductionPicker(directory *endpoint.Directory, tracker *endpoint.Tracker, members *fixedMembers) router.Picker {
	return endpoint.NewPicker(directory, tracker, members)
}

// startFleet starts the fleet, which must be ended with stop.
func startFleet(ctx context.Context, size Size, picker pickerFactory) (*testFleet, error) {
	f := &testFleet{
		size:      size,
		directory: endpoint.NewDirectory(),
		client:    endpoint.NewClient(),
		document: &fixedDocument{
			view: &document.View{
				Policy: document.StandardPolicy(),
				Services: map[document.ServiceName]document.Service{
					measuredService: {
						Kind:         document.KindEngine,
						Model:        measuredModel,
						Slots:        size.Engine.Slots,
						ReserveSlots: size.Reserve,
					},
				},
			},
		},
	}
	ctx, cancel := context.WithCancel(ctx)
	f.closers = append(f.closers, cancel)
	if err := f.startEngines(); err != nil {
		return nil, err
	}
	servers, listeners, err := f.listen()
	if err != nil {
		return nil, err
	}
	for i := range size.VMs {
		f.startDispatcher(ctx, i, servers[i], listeners[i])
	}
	for i := range size.VMs {
		f.startGateway(ctx, i, picker)
	}
	return f, nil
}

// stallLimits are longer than any pause of the stand-in engines, so that no request counts as stalled.
var stallLimits = router.StallTimeouts{
	First:   time.Minute,
	Between: time.Minute,
}

func (f *testFleet) stop() {
	for _, closer := range f.closers {
		closer()
	}
}

var measuredDomains = []tablestore.FailureDomain{"garmisch", "berchtesgaden", "oberstdorf"}

func (f *testFleet) startEngines() error {
	var vms []tablestore.VM
	for i := range f.size.Engines {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.75.0.%d:0", 101+i))
		if err != nil {
			return err
		}
		engine := standin.NewEngine(f.size.Engine)
		server := &http.Server{
			Handler:           engine.Handler(),
			ReadHeaderTimeout: time.Minute,
		}
		go func() { _ = server.Serve(listener) }()
		f.closers = append(f.closers, func() { _ = server.Close() })
		f.engines = append(f.engines, engine)
		host, port, err := net.SplitHostPort(listener.Addr().String())
		if err != nil {
			return err
		}
		portNumber, err := strconv.Atoi(port)
		if err != nil {
			return err
		}
		vms = append(vms, tablestore.VM{
			Name:          tablestore.VMName(fmt.Sprintf("engine-%d", i)),
			Incarnation:   "1",
			Address:       host,
			Port:          portNumber,
			Region:        "bayern-sued",
			FailureDomain: measuredDomains[i%len(measuredDomains)],
			Service:       string(measuredService),
			State:         tablestore.VMLive,
		})
	}
	f.directory.Update(vms)
	return nil
}

const peerSecret = "measured"

func (f *testFleet) member(role fleet.Role, i int, address string) fleet.Member {
	return fleet.Member{
		Role:          role,
		VM:            tablestore.VMName(fmt.Sprintf("vm-%d", i)),
		Incarnation:   "1",
		Address:       address,
		Region:        "bayern-sued",
		FailureDomain: measuredDomains[i%len(measuredDomains)],
	}
}

// listen opens the listeners of the dispatchers' net/rpc servers and fills in the member list, so that it is complete
// before any gateway or dispatcher starts.
func (f *testFleet) listen() ([]*peer.Server, []net.Listener, error) {
	var servers []*peer.Server
	var listeners []net.Listener
	for i := range f.size.VMs {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.75.0.%d:0", 11+i))
		if err != nil {
			return nil, nil, err
		}
		listeners = append(listeners, listener)
		servers = append(servers, peer.NewServer(peer.Secret(peerSecret), slog.New(slog.DiscardHandler)))
		// Nothing connects to a gateway at its member address, so a name takes its place.
		f.members = append(f.members,
			f.member(fleet.RoleDispatcher, i, listener.Addr().String()),
			f.member(fleet.RoleGateway, i, fmt.Sprintf("gateway-%d", i)))
	}
	return servers, listeners, nil
}

func (f *testFleet) membersSeenBy(role fleet.Role, i int) *fixedMembers {
	list := &fixedMembers{
		members: f.members,
	}
	list.self = list.Alive(role)[i]
	return list
}

func (f *testFleet) startDispatcher(ctx context.Context, i int, server *peer.Server, listener net.Listener) {
	st := steward.New(f.directory, f.membersSeenBy(fleet.RoleDispatcher, i), f.document, f.client, nil)
	if err := server.Register("Steward", steward.NewService(st)); err != nil {
		panic(err)
	}
	go func() { _ = server.Serve(listener) }()
	go func() { _ = st.Run(ctx) }()
	f.closers = append(f.closers, func() {
		_ = listener.Close()
		server.Close()
	})
	f.stewards = append(f.stewards, st)
}

func (f *testFleet) startGateway(ctx context.Context, i int, picker pickerFactory) {
	members := f.membersSeenBy(fleet.RoleGateway, i)
	tracker := endpoint.NewTracker()
	peers := peer.NewClient(peer.Secret(peerSecret))
	reporter := steward.NewReporter(tracker, f.directory, members, peers)
	go func() { _ = reporter.Run(ctx) }()
	f.closers = append(f.closers, peers.Close)
	f.gateways = append(f.gateways, &testGateway{
		router:   router.New(picker(f.directory, tracker, members), endpoint.NewClient(), reporter, stallLimits, nil, slog.New(slog.DiscardHandler)),
		reporter: reporter,
		tracker:  tracker,
	})
}
