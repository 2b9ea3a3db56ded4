// Package peer carries net/rpc calls between the system's processes. A connection begins with a handshake in which the
// client proves that it knows the secret that all processes share.
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

	"rhubarbrudder/internal/progress"
)

// Secret is shared by the system's processes and authenticates them to each other.
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
	s := &Server{
		rpc:    rpc.NewServer(),
		secret: secret,
		log:    log,
		conns:  map[net.Conn]bool{},
	}
	// It has a method of the right signature, so that there is no error.
	_ = s.rpc.RegisterName(pingName, Pinger{})
	return s
}

// Name and method of the net/rpc service by which a VM shows that it is alive.
const (
	pingName   = "Peer"
	methodPing = "Peer.Ping"
)

// Pinger is the net/rpc service that answers pings.
type Pinger struct{}

// Ping answers at once.
func (Pinger) Ping(_ int, _ *int) error {
	return nil
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
	s.rpc.ServeConn(newConn(conn))
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

// channel is a connection to a peer, over which calls are made.
type channel struct {
	*rpc.Client
	conn *conn
}

// Client calls methods of peers. It holds a connection to each peer that has been called.
type Client struct {
	secret Secret
	mu     sync.Mutex
	conns  map[string]*channel
	// cut holds the addresses that Cut has made unreachable.
	cut map[string]bool
	// traffic is nil if bytes are not counted.
	traffic *Traffic
	// keepOnCancel means that a connection stays open when a call on it is cancelled.
	keepOnCancel bool
}

// KeepConnOnCancel makes the client keep a connection on which a call is cancelled, because other calls may be in
// progress on it. The cancelled call may still run. It must be called before the first call. It returns the client.
func (c *Client) KeepConnOnCancel() *Client {
	c.keepOnCancel = true
	return c
}

// NewClient returns a Client without connections.
func NewClient(secret Secret) *Client {
	return &Client{
		secret: secret,
		conns:  map[string]*channel{},
		cut:    map[string]bool{},
	}
}

// CountTraffic counts the bytes of all connections. It must be called before the first call.
func (c *Client) CountTraffic(traffic *Traffic) {
	c.traffic = traffic
}

const dialTimeout = time.Second

// pingPeriod is the time between the pings of a peer during a call that has to make progress.
const pingPeriod = 100 * time.Millisecond

// Call calls a method of a peer. ErrUnreachable means that no answer came; the call may have run. A call that misses
// its deadline closes the connection, and so does a cancelled one unless KeepConnOnCancel was called. After such a call,
// net/rpc may still write to reply, which must not be used again. If ctx ends when the call stalls, the call lasts as long as the peer
// shows by anything it sends that it is alive, and is asked to show it.
func (c *Client) Call(ctx context.Context, address, method string, args, reply any) error {
	client, err := c.client(ctx, address)
	if err != nil {
		return errors.Join(ErrUnreachable, err)
	}
	var pings <-chan time.Time
	if progress.IsLimited(ctx) {
		defer client.conn.watch(ctx)()
		ticker := time.NewTicker(pingPeriod)
		defer ticker.Stop()
		pings = ticker.C
	}
	call := client.Go(method, args, reply, make(chan *rpc.Call, 1))
	for done := false; !done; {
		select {
		case <-ctx.Done():
			// A connection on which a call misses its deadline may be dead.
			if !c.keepOnCancel || !isCancelled(ctx) {
				c.drop(address, client)
			}
			return errors.Join(ErrUnreachable, context.Cause(ctx))
		case <-pings:
			client.Go(methodPing, 0, new(int), make(chan *rpc.Call, 1))
		case <-call.Done:
			done = true
		}
	}
	var serverError rpc.ServerError
	if errors.As(call.Error, &serverError) {
		return call.Error
	}
	if call.Error != nil {
		c.drop(address, client)
		return errors.Join(ErrUnreachable, call.Error)
	}
	return nil
}

// isCancelled reports whether a context was cancelled by its holder, rather than at its deadline or because its call stalled.
func isCancelled(ctx context.Context) bool {
	return errors.Is(ctx.Err(), context.Canceled) && !errors.Is(context.Cause(ctx), progress.ErrStalled)
}

// Cut makes an address unreachable from this client, or reachable again, for tests of network partitions.
func (c *Client) Cut(address string, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut[address] = cut
	if client := c.conns[address]; cut && client != nil {
		_ = client.Close()
		delete(c.conns, address)
	}
}

// Close ends every connection.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, client := range c.conns {
		_ = client.Close()
		delete(c.conns, address)
	}
}

func (c *Client) client(ctx context.Context, address string) (*channel, error) {
	c.mu.Lock()
	client := c.conns[address]
	cut := c.cut[address]
	c.mu.Unlock()
	if cut {
		return nil, ErrUnreachable
	}
	if client != nil {
		return client, nil
	}
	conn, err := c.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	greeted := make(chan greeting, 1)
	go func() { greeted <- c.greet(address, conn) }()
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case g := <-greeted:
		return g.client, g.err
	}
}

// greeting is the outcome of greet.
type greeting struct {
	client *channel
	err    error
}

func (c *Client) dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if c.traffic != nil {
		conn = c.traffic.count(conn)
	}
	return conn, nil
}

// greet proves to the peer that this VM knows the secret, and keeps the connection unless there is another one by now. A
// frozen peer accepts connections and sends nothing until handshakeTimeout; one that is slow to greet can be called later.
func (c *Client) greet(address string, conn net.Conn) greeting {
	if err := c.prove(conn); err != nil {
		_ = conn.Close()
		return greeting{
			err: err,
		}
	}
	watched := newConn(conn)
	client := &channel{
		Client: rpc.NewClient(watched),
		conn:   watched,
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if other := c.conns[address]; other != nil {
		_ = client.Close()
		client = other
	}
	if c.cut[address] {
		_ = client.Close()
		return greeting{
			err: ErrUnreachable,
		}
	}
	c.conns[address] = client
	return greeting{
		client: client,
	}
}

// prove answers the peer's nonce.
func (c *Client) prove(conn net.Conn) error {
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
	nonce := make([]byte, nonceBytes)
	if _, err := io.ReadFull(conn, nonce); err != nil {
		return err
	}
	if _, err := conn.Write(proof(c.secret, nonce)); err != nil {
		return err
	}
	return conn.SetDeadline(time.Time{})
}

func (c *Client) drop(address string, client *channel) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = client.Close()
	if c.conns[address] == client {
		delete(c.conns, address)
	}
}
