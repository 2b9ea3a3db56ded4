package order

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/dghubble/sling"

	"rhubarbrudder/internal/endpoint"
)

// guardedConn lets nothing be written after the guard objects: the guard is asked as late as can be, so that an issuer
// that was frozen with an order in hand does not send it.
type guardedConn struct {
	net.Conn
	guard func() error
}

// Write writes unless the guard objects.
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
)

func newSender(guard func() error) *sender {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
	}
	return &sender{
		orders: &http.Client{
			Transport: &http.Transport{
				// A kept connection could carry a guard of an earlier term.
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
			},
		},
		states: &http.Client{
			Timeout: stateTimeout,
		},
	}
}

// send returns once the engine has carried the order out, or ErrRefused, ErrLapsed or ErrEngine.
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

// state asks an engine what it serves.
func (s *sender) state(ctx context.Context, target endpoint.Endpoint) (State, error) {
	var state State
	return state, s.get(ctx, target, "/orders", &state)
}

// load asks an engine how much it has to do.
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
