package link

import (
	"context"
	"fmt"
	"net"
	"sync"

	"github.com/lavenderridge/lavenderridge"
)

const maxDatagram = 64 << 10

// A UDP passes datagrams to a target and back. A flow is what comes from one
// sender's address.
type UDP struct {
	gate
	socket  *net.UDPConn
	target  *net.UDPAddr
	context context.Context
	work    sync.WaitGroup
	flows   map[string]*udpFlow
}

type udpFlow struct {
	generation int64
	sender     *net.UDPAddr
	socket     *net.UDPConn
}

// NewUDP returns a link on loopback to the target a. It runs until c ends.
func NewUDP(c context.Context, a lavenderridge.Address) (*UDP, error) {
	t, e := net.ResolveUDPAddr("udp", string(a))
	if e != nil {
		return nil, fmt.Errorf("link: %w", e)
	}
	s, e := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if e != nil {
		return nil, fmt.Errorf("link: %w", e)
	}
	u := &UDP{socket: s, target: t, context: c, flows: make(map[string]*udpFlow)}
	context.AfterFunc(c, func() { _ = s.Close() })
	u.work.Go(u.forward)
	return u, nil
}

// Address returns where the link takes datagrams.
func (u *UDP) Address() lavenderridge.Address {
	return lavenderridge.Address(u.socket.LocalAddr().String())
}

// Wait returns when the link has ended.
func (u *UDP) Wait() {
	u.work.Wait()
}

func (u *UDP) forward() {
	b := make([]byte, maxDatagram)
	for {
		n, a, e := u.socket.ReadFromUDP(b)
		if e != nil {
			return
		}
		f, e := u.flow(a)
		if e != nil {
			return
		}
		if u.passes(f.generation) {
			_, _ = f.socket.Write(b[:n])
		}
	}
}

func (u *UDP) flow(a *net.UDPAddr) (*udpFlow, error) {
	if f, o := u.flows[a.String()]; o {
		return f, nil
	}
	s, e := net.DialUDP("udp", nil, u.target)
	if e != nil {
		return nil, e
	}
	f := &udpFlow{generation: u.generation.Load(), sender: a, socket: s}
	u.flows[a.String()] = f
	context.AfterFunc(u.context, func() { _ = s.Close() })
	u.work.Go(func() { u.back(f) })
	return f, nil
}

func (u *UDP) back(f *udpFlow) {
	b := make([]byte, maxDatagram)
	for u.context.Err() == nil {
		n, e := f.socket.Read(b)
		if e == nil && u.passes(f.generation) {
			_, _ = u.socket.WriteToUDP(b[:n], f.sender)
		}
	}
}
