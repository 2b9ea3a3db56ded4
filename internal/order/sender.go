package order

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/dghubble/sling"

	"rhubarbrudder/internal/endpoint"
	"rhubarbrudder/internal/transport"
)

// guardedConn calls the guard before each write and writes nothing if the guard returns an error. The guard is called
// at the last possible moment, so that an issuer that was frozen just before it sent an order does not send it.
type guardedConn struct {
	net.Conn
	guard func() error
}

// Write writes the data unless the guard returns an error.
func (c guardedConn) Write(data []byte) (int, error) {
	if err := c.guard(); err != nil {
		return 0, err
	}
	return c.Conn.Write(data)
}

// sender sends orders under a guard and reads the state of engines.
type sender struct {
	orders *http.Client
	states *http.Client
}

const (
	dialTimeout  = time.Second
	stateTimeout = 2 * time.Second
	// maxAnswerBytes bounds the body of an engine's answer to an order, or about its state.
	maxAnswerBytes = 1 << 20
)

func newSender(guard func() error) *sender {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
	}
	return &sender{
		orders: &http.Client{
			Transport: transport.NewBounded(&http.Transport{
				// Each order gets a connection of its own, so that none is kept from an earlier term.
				DisableKeepAlives: true,
				DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
					conn, err := dialer.DialContext(ctx, network, address)
					if err != nil {
						return nil, err
					}
					return guardedConn{
						Conn:  conn,
						guard: guard,
					}, nil
				},
			}, maxAnswerBytes),
		},
		states: &http.Client{
			Transport: transport.NewBounded(&http.Transport{
				DialContext: dialer.DialContext,
			}, maxAnswerBytes),
			Timeout: stateTimeout,
		},
	}
}

// send sends an order and returns once the engine has carried it out. It returns ErrRefused, ErrLapsed or ErrEngine
// otherwise.
func (s *sender) send(ctx context.Context, target endpoint.Endpoint, order Order) error {
	req, err := sling.New().Base("http://" + target.Address).Post("/orders").BodyJSON(order).Request()
	if err != nil {
		return errors.Join(ErrEngine, err)
	}
	response, err := sling.New().Client(s.orders).Do(req.WithContext(ctx), nil, nil)
	switch {
	case errors.Is(err, ErrLapsed):
		return ErrLapsed
	case err != nil:
		return errors.Join(ErrEngine, err)
	case response.StatusCode == http.StatusConflict:
		return ErrRefused
	case response.StatusCode != http.StatusOK:
		return ErrEngine
	}
	return nil
}

// state reads the state of an engine.
func (s *sender) state(ctx context.Context, target endpoint.Endpoint) (State, error) {
	var state State
	return state, s.get(ctx, target, "/orders", &state)
}

// load reads the load of an engine.
func (s *sender) load(ctx context.Context, target endpoint.Endpoint) (endpoint.Load, error) {
	var load endpoint.Load
	return load, s.get(ctx, target, "/load", &load)
}

func (s *sender) get(ctx context.Context, target endpoint.Endpoint, path string, answer any) error {
	req, err := sling.New().Base("http://" + target.Address).Get(path).Request()
	if err != nil {
		return errors.Join(ErrEngine, err)
	}
	response, err := sling.New().Client(s.states).Do(req.WithContext(ctx), answer, nil)
	if err != nil {
		return errors.Join(ErrEngine, err)
	}
	if response.StatusCode != http.StatusOK {
		return ErrEngine
	}
	return nil
}
