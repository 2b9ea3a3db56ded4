// Package peer carries net/rpc calls between the system's processes. A connection begins with a handshake in which the
// client proves that it knows the fleet's secret.
package peer

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/rpc"
	"sync"
	"time"
)

// Secret authenticates the fleet's processes to each other.
type Secret []byte

// Server serves net/rpc to peers that know the secret.
type Server struct {
	rpc    *rpc.Server
	secret Secret
	log    *slog.Logger
	mu     sync.Mutex
	conns  map[net.Conn]bool
	closed bool
	// traffic is nil if bytes are not counted.
	traffic *Traffic
}

// NewServer returns a Server without services.
func NewServer(secret Secret, log *slog.Logger) *Server {
	return &Server{
		rpc:    rpc.NewServer(),
		secret: secret,
		log:    log,
		conns:  map[net.Conn]bool{},
	}
}

// Register adds a service under a name. The service's methods must have the signature that net/rpc requires.
func (s *Server) Register(name string, service any) error {
	return s.rpc.RegisterName(name, service)
}

// CountTraffic counts the bytes of all connections. It must be called before Serve.
func (s *Server) CountTraffic(traffic *Traffic) {
	s.traffic = traffic
}

// Serve accepts and serves connections until the listener is closed.
func (s *Server) Serve(listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		if s.traffic != nil {
			conn = s.traffic.count(conn)
		}
		go s.serve(conn)
	}
}

// Close ends every connection.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for conn := range s.conns {
		_ = conn.Close()
	}
}

func (s *Server) serve(conn net.Conn) {
	if err := s.authenticate(conn); err != nil {
		s.log.Warn("peer refused", "remote", conn.RemoteAddr(), "err", err)
		_ = conn.Close()
		return
	}
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		_ = conn.Close()
		return
	}
	s.conns[conn] = true
	s.mu.Unlock()
	s.rpc.ServeConn(conn)
	s.mu.Lock()
	delete(s.conns, conn)
	s.mu.Unlock()
}

const (
	nonceBytes       = 16
	handshakeTimeout = 2 * time.Second
)

// authenticate sends a nonce and checks the peer's proof that it knows the secret.
func (s *Server) authenticate(conn net.Conn) error {
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
	nonce := make([]byte, nonceBytes)
	_, _ = rand.Read(nonce)
	if _, err := conn.Write(nonce); err != nil {
		return err
	}
	received := make([]byte, sha256.Size)
	if _, err := io.ReadFull(conn, received); err != nil {
		return err
	}
	if subtle.ConstantTimeCompare(received, proof(s.secret, nonce)) != 1 {
		return ErrSecret
	}
	return conn.SetDeadline(time.Time{})
}

// Client holds a connection to each peer that has been called.
type Client struct {
	secret Secret
	mu     sync.Mutex
	conns  map[string]*rpc.Client
	// cut holds the addresses that Cut has made unreachable.
	cut map[string]bool
	// traffic is nil if bytes are not counted.
	traffic *Traffic
	// keepCancelled says that a connection stays open when a call on it is cancelled.
	keepCancelled bool
}

// KeepConnOnCancel makes the pool keep connections on which a call is cancelled, because other calls may be in progress on
// them. The cancelled call may still run. It must be called before the first call.
func (p *Client) KeepConnOnCancel() *Client {
	p.keepCancelled = true
	return p
}

// NewClient returns a Pool without connections.
func NewClient(secret Secret) *Client {
	return &Client{
		secret: secret,
		conns:  map[string]*rpc.Client{},
		cut:    map[string]bool{},
	}
}

// CountTraffic counts the bytes of all connections. It must be called before the first call.
func (p *Client) CountTraffic(traffic *Traffic) {
	p.traffic = traffic
}

const dialTimeout = time.Second

// Call calls a method of a peer. ErrUnreachable means that no answer came; the call may have run. A call that misses
// its deadline closes the connection.
func (p *Client) Call(ctx context.Context, address, method string, args, reply any) error {
	client, err := p.client(ctx, address)
	if err != nil {
		return errors.Join(ErrUnreachable, err)
	}
	call := client.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-ctx.Done():
		// The reply may still be written to. A connection on which a call misses its deadline may be dead and is
		// closed.
		if !p.keepCancelled || !errors.Is(ctx.Err(), context.Canceled) {
			p.drop(address, client)
		}
		return errors.Join(ErrUnreachable, ctx.Err())
	case <-call.Done:
	}
	var serverError rpc.ServerError
	if errors.As(call.Error, &serverError) {
		return call.Error
	}
	if call.Error != nil {
		p.drop(address, client)
		return errors.Join(ErrUnreachable, call.Error)
	}
	return nil
}

// Cut makes an address unreachable from this pool, or reachable again, for tests of network partitions.
func (p *Client) Cut(address string, cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut[address] = cut
	if client := p.conns[address]; cut && client != nil {
		_ = client.Close()
		delete(p.conns, address)
	}
}

// Close ends every connection.
func (p *Client) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, client := range p.conns {
		_ = client.Close()
		delete(p.conns, address)
	}
}

func (p *Client) client(ctx context.Context, address string) (*rpc.Client, error) {
	p.mu.Lock()
	client := p.conns[address]
	cut := p.cut[address]
	p.mu.Unlock()
	if cut {
		return nil, ErrUnreachable
	}
	if client != nil {
		return client, nil
	}
	client, err := p.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if other := p.conns[address]; other != nil {
		_ = client.Close()
		return other, nil
	}
	p.conns[address] = client
	return client, nil
}

func (p *Client) dial(ctx context.Context, address string) (*rpc.Client, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if p.traffic != nil {
		conn = p.traffic.count(conn)
	}
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
	nonce := make([]byte, nonceBytes)
	if _, err := io.ReadFull(conn, nonce); err != nil {
		_ = conn.Close()
		return nil, err
	}
	if _, err := conn.Write(proof(p.secret, nonce)); err != nil {
		_ = conn.Close()
		return nil, err
	}
	_ = conn.SetDeadline(time.Time{})
	return rpc.NewClient(conn), nil
}

func (p *Client) drop(address string, client *rpc.Client) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = client.Close()
	if p.conns[address] == client {
		delete(p.conns, address)
	}
}
