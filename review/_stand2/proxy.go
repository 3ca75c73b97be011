package main

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Proxy forwards TCP connections to an address. It can hold all bytes back, or reset its connections.
type Proxy struct {
	target string
	l      net.Listener
	held   atomic.Bool // no byte passes, in both directions
	refuse atomic.Bool // new connections are reset

	silent atomic.Int64 // connections of earlier generations swallow all bytes

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

// NewProxy starts a proxy.
func NewProxy(target string) *Proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	p := &Proxy{target: target, l: l, conns: map[net.Conn]struct{}{}}
	go p.run()
	return p
}

// Addr returns the address of the proxy.
func (p *Proxy) Addr() string { return p.l.Addr().String() }

func (p *Proxy) run() {
	for {
		c, err := p.l.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

func (p *Proxy) wait() {
	for p.held.Load() {
		time.Sleep(2 * time.Millisecond)
	}
}

func (p *Proxy) serve(c net.Conn) {
	if p.held.Load() {
		// Its first packet was lost: nothing arrives on it, also after the cut.
		time.Sleep(5 * time.Second)
		_ = c.Close()
		return
	}
	if p.refuse.Load() {
		reset(c)
		return
	}
	d, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(c)
		return
	}
	p.mu.Lock()
	p.conns[c], p.conns[d] = struct{}{}, struct{}{}
	p.mu.Unlock()
	generation := p.silent.Load()
	var g sync.WaitGroup
	for _, pair := range [][2]net.Conn{{c, d}, {d, c}} {
		g.Go(func() { p.copy(pair[0], pair[1], generation) })
	}
	g.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	delete(p.conns, d)
	p.mu.Unlock()
	_, _ = c.Close(), d.Close()
}

func (p *Proxy) copy(from, to net.Conn, generation int64) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		p.wait()
		if p.silent.Load() != generation {
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			if _, e := to.Write(buffer[:n]); e != nil {
				reset(from)
				return
			}
		}
		if err == io.EOF {
			if t, ok := to.(*net.TCPConn); ok {
				_ = t.CloseWrite()
			}
			return
		}
		if err != nil {
			reset(to)
			return
		}
	}
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// Reset resets all connections.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		reset(c)
	}
}

// UDPProxy forwards packets to an address, and drops them while it is cut.
type UDPProxy struct {
	cut atomic.Bool
}

// Run forwards the packets that arrive at a connection.
func (u *UDPProxy) Run(in net.PacketConn, target string) {
	out, err := net.Dial("udp", target)
	if err != nil {
		panic(err)
	}
	buffer := make([]byte, 64<<10)
	for {
		n, _, err := in.ReadFrom(buffer)
		if err != nil {
			return
		}
		if !u.cut.Load() {
			_, _ = out.Write(buffer[:n])
		}
	}
}

// PeerProxy forwards TCP and UDP on one port.
type PeerProxy struct {
	*Proxy
	udp UDPProxy
}

// NewPeerProxy starts a proxy for both.
func NewPeerProxy(target string) *PeerProxy {
	for {
		p := &PeerProxy{Proxy: NewProxy(target)}
		c, err := net.ListenPacket("udp", p.Addr())
		if err != nil {
			_ = p.l.Close()
			continue
		}
		go p.udp.Run(c, target)
		return p
	}
}

// Cut holds the connections back and drops the packets.
func (p *PeerProxy) Cut(cut bool) {
	p.held.Store(cut)
	p.udp.cut.Store(cut)
}
