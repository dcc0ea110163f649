package main

import (
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
)

// cutState says whether a machine is cut off from the store, the duties' interface and all other machines. Clients and
// runners still reach it.
type cutState struct {
	mu    sync.Mutex
	isCut bool
	conns map[net.Conn]bool
}

// cut cuts the machine off: what it sends is lost and nothing reaches it.
func (c *cutState) cut() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isCut = true
}

// heal ends the cut. Connections that were open meanwhile are reset.
func (c *cutState) heal() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isCut = false
	for conn := range c.conns {
		_ = conn.Close() // It may be closed already.
		delete(c.conns, conn)
	}
}

func (c *cutState) off() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isCut
}

// forwardTCP forwards connections to addr on to target, as long as none of the machines is cut off. It returns the address.
func forwardTCP(addr, target string, ends ...*cutState) (string, error) {
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		return "", err
	}
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			go forwardConn(in, target, ends)
		}
	}()
	return l.Addr().String(), nil
}

func anyOff(ends []*cutState) bool {
	for _, e := range ends {
		if e.off() {
			return true
		}
	}
	return false
}

func forwardConn(in net.Conn, target string, ends []*cutState) {
	for _, e := range ends {
		e.mu.Lock()
		e.conns[in] = true
		e.mu.Unlock()
	}
	defer func() { _ = in.Close() }() // It may be closed already.
	if anyOff(ends) {
		_, _ = io.Copy(io.Discard, in) // Until the caller gives up or the cut ends.
		return
	}
	out, err := net.Dial("tcp4", target)
	if err != nil {
		return
	}
	defer func() { _ = out.Close() }() // It may be closed already.
	go func() {
		pipe(in, out, ends)
		_ = in.Close() // Ends the other direction.
	}()
	pipe(out, in, ends)
}

// pipe copies what comes from one connection to the other. While a machine is cut off, it is lost.
func pipe(to, from net.Conn, ends []*cutState) {
	buf := make([]byte, 32<<10)
	lost := false
	for {
		n, err := from.Read(buf)
		if lost = lost || anyOff(ends); !lost {
			if _, werr := to.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// addLinks puts links between each edge and the store, the duties' interface and the other edges. An edge knows another one
// by the address of their link, and each edge has a port of its own for the messages between edges, so that it can't reach
// another one but over the link. Seen from any edge, that port is the same on all machines.
func (w *world) addLinks() error {
	cuts := make([]*cutState, len(w.edges))
	for i, e := range w.edges {
		cuts[i] = &cutState{conns: map[net.Conn]bool{}}
		e.link, e.fleetPort, e.seeds = cuts[i], w.ports[2]+20*i, nil
	}
	// alias is the address by which edge i knows edge j.
	alias := func(i, j int) netip.AddrPort {
		return netip.MustParseAddrPort(fmt.Sprintf("%s.%d.%d:%d", w.net, 50+i, j+1, w.edges[i].fleetPort))
	}
	sockets := map[[2]int]*net.UDPConn{}
	for i, e := range w.edges {
		var err error
		if e.storeAddr, err = forwardTCP(fmt.Sprintf("%s.0.%d:0", w.net, 10+i), w.storeAddr, cuts[i]); err != nil {
			return err
		}
		if e.dutiesAddr, err = forwardTCP(fmt.Sprintf("%s.0.%d:0", w.net, 10+i), w.dutiesAddr, cuts[i]); err != nil {
			return err
		}
		for j, other := range w.edges {
			if i == j {
				continue
			}
			e.seeds = append(e.seeds, fmt.Sprintf("%s:%d", alias(i, j).Addr(), w.ports[0]+1))
			if _, err := forwardTCP(alias(i, j).String(), fmt.Sprintf("%s:%d", other.ip, other.fleetPort), cuts[i], cuts[j]); err != nil {
				return err
			}
			if sockets[[2]int{i, j}], err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(alias(i, j))); err != nil {
				return err
			}
		}
	}
	for pair, socket := range sockets {
		i, j := pair[0], pair[1]
		to := netip.AddrPortFrom(netip.MustParseAddr(w.edges[j].ip), uint16(w.edges[j].fleetPort))
		go forwardUDP(socket, sockets[[2]int{j, i}], to, cuts[i], cuts[j])
	}
	return nil
}

// forwardUDP sends what comes to one socket from the other one to an address.
func forwardUDP(from, by *net.UDPConn, to netip.AddrPort, ends ...*cutState) {
	buf := make([]byte, 64<<10)
	for {
		n, _, err := from.ReadFromUDPAddrPort(buf)
		if err != nil {
			return // The program ends.
		}
		if !anyOff(ends) {
			_, _ = by.WriteToUDPAddrPort(buf[:n], to) // A datagram may be lost.
		}
	}
}
