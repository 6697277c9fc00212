package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Ports are the same on all machines; each machine has a loopback address of its own.
// choosePorts sets them.
var (
	innerPort    uint16
	metricsPort  uint16
	callersPort  uint16
	outboundPort uint16
	readyPort    uint16
	controlPort  uint16
	appPort      uint16
	storePort    uint16
)

const (
	zoneName = "nord"
	// restartDelay is the time from the end of a process to its next start.
	restartDelay = 300 * time.Millisecond

	// The ports are chosen from firstPort up to lastPort, below those that the kernel gives
	// to other sockets.
	firstPort    = 20000
	lastPort     = 30000
	portAttempts = 200
)

// choosePorts picks consecutive ports that nobody uses for TCP or UDP on any address.
func choosePorts() error {
	ports := []*uint16{&innerPort, &metricsPort, &callersPort, &outboundPort, &readyPort, &controlPort, &appPort, &storePort}
	for range portAttempts {
		base := firstPort + rand.N(lastPort-firstPort-len(ports))
		free := true
		for i, p := range ports {
			*p = uint16(base + i)
			free = free && portFree(base+i)
		}
		if free {
			return nil
		}
	}
	return errors.New("no free ports")
}

func portFree(port int) bool {
	l, err := net.ListenTCP("tcp4", &net.TCPAddr{Port: port})
	if err != nil {
		return false
	}
	_ = l.Close()
	u, err := net.ListenUDP("udp4", &net.UDPAddr{Port: port})
	if err != nil {
		return false
	}
	_ = u.Close()
	return true
}

// Bounds of the small sites.
const (
	graceTime    = 6 * time.Second
	drainBound   = 3 * time.Second
	stableWindow = 4 * time.Second
)

// fleet is one deployment: the project's processes and the stand-ins around them.
type fleet struct {
	rec       *record
	folder    string
	binary    string
	net       byte
	store     *store
	server    *http.Server
	fabric    *fabric
	stop      chan struct{}
	callers   []*caller
	balancers []netip.Addr
	// planned is set if restarts of processes are planned work, which excuses nothing.
	planned bool

	mutex    sync.Mutex
	nodes    map[netip.Addr]*node
	machines map[netip.Addr]*machine
}

// node is one process of the project.
type node struct {
	role, path string
	command    *exec.Cmd
	done       chan struct{}
	// disturbedAt is when the process was last started, stopped or killed.
	disturbedAt time.Time
}

// machine holds the endpoint on a side machine.
type machine struct {
	boots []*boot
	// disturbedAt is when the last disruption of the endpoint or its machine ended.
	disturbedAt time.Time
}

func (f *fleet) balancerAddr(i int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, f.net, 0, byte(10 + i)})
}

func (f *fleet) sideAddr(i int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, f.net, 1, byte(10 + i)})
}

func newFleet(rec *record, binary string, config []byte, balancers, callers int) (f *fleet, err error) {
	f = &fleet{
		rec: rec, binary: binary, store: newStore(), stop: make(chan struct{}),
		nodes: map[netip.Addr]*node{}, machines: map[netip.Addr]*machine{},
	}
	if err = choosePorts(); err != nil {
		return nil, err
	}
	if f.folder, err = os.MkdirTemp("", "review"); err != nil {
		return nil, err
	}
	listener, err := f.chooseNetwork()
	if err != nil {
		return nil, err
	}
	f.store.put("op/config", config)
	f.server = &http.Server{Handler: f.store.handler(), ReadHeaderTimeout: time.Minute}
	go func() { _ = f.server.Serve(listener) }()
	for i := range balancers {
		f.balancers = append(f.balancers, f.balancerAddr(i))
	}
	f.fabric = newFabric(f.balancers)
	go f.fabric.run(f.stop)
	for i := range callers {
		at := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, f.net, 9, byte(10 + i)}), callersPort)
		c, err := newCaller(at, f.fabric, rec)
		if err != nil {
			return nil, err
		}
		f.callers = append(f.callers, c)
	}
	return f, nil
}

// chooseNetwork picks a part of 127.0.0.0/8 that nobody uses, and listens there for the
// store.
func (f *fleet) chooseNetwork() (l net.Listener, err error) {
	for n := 20 + os.Getpid()%200; n < 250; n++ {
		f.net = byte(n)
		at := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, f.net, 8, 1}), storePort)
		if l, err = net.Listen("tcp4", at.String()); err == nil {
			return l, nil
		}
	}
	return nil, err
}

// settings fills in the template platform/node.ini.
func (f *fleet) settings(a netip.Addr, service string, first bool) string {
	outbound, app := "", ""
	if service != "" {
		outbound = netip.AddrPortFrom(a, outboundPort).String()
		app = netip.AddrPortFrom(a, appPort).String()
	}
	seeds := ""
	for i := range min(3, len(f.balancers)) {
		if i > 0 {
			seeds += ","
		}
		seeds += netip.AddrPortFrom(f.balancers[i], controlPort).String()
	}
	return fmt.Sprintf(`[process]
name = node-%s
zone = %s
address = %s
first_start = %t
grace_seconds = %d

[listen]
inner_port = %d
callers = %s:%d
outbound = %s
ready = %s:%d
control = %s:%d
metrics = %s:%d

[endpoint]
service = %s
address = %s

[fleet]
seeds = %s

[store]
address = 127.%d.8.1:%d
`, a, zoneName, a, first, int(graceTime.Seconds()), innerPort, a, callersPort, outbound, a, readyPort, a, controlPort, a, metricsPort, service, app, seeds, f.net, storePort)
}

// startNode starts a process with the command of deploy/system.toml.
func (f *fleet) startNode(a netip.Addr, service string, first bool) error {
	path := filepath.Join(f.folder, a.String()+".conf")
	if err := os.WriteFile(path, []byte(f.settings(a, service, first)), 0o600); err != nil {
		return err
	}
	role := "balancer"
	if service != "" {
		role = "agent"
	}
	out, err := os.OpenFile(filepath.Join(f.folder, a.String()+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	c := exec.Command(f.binary, role, "--settings", path)
	c.Stdout, c.Stderr = out, out
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err = c.Start(); err != nil {
		return errors.Join(err, out.Close())
	}
	n := &node{role: role, path: path, command: c, done: make(chan struct{}), disturbedAt: time.Now()}
	go func() {
		_ = c.Wait()
		_ = out.Close()
		close(n.done)
	}()
	f.mutex.Lock()
	f.nodes[a] = n
	f.mutex.Unlock()
	f.rec.add("%s starts at %s", role, a)
	return nil
}

// terminate sends SIGTERM to a process, and SIGKILL after the grace period.
func (f *fleet) terminate(a netip.Addr) {
	f.mutex.Lock()
	n := f.nodes[a]
	f.mutex.Unlock()
	f.rec.add("%s at %s gets SIGTERM", n.role, a)
	_ = n.command.Process.Signal(syscall.SIGTERM)
	select {
	case <-n.done:
	case <-time.After(graceTime):
		_ = n.command.Process.Kill()
		<-n.done
	}
	f.rec.add("%s at %s has ended", n.role, a)
}

// startEndpoint starts an endpoint. clockAhead is how far the time of day of its machine
// is ahead.
func (f *fleet) startEndpoint(i int, id, service string, firstReport, clockAhead time.Duration) (*boot, error) {
	a := f.sideAddr(i)
	b := &boot{
		id: id, service: service, rec: f.rec, born: time.Now().Add(clockAhead).UnixMilli(),
		app: netip.AddrPortFrom(a, appPort), outbound: netip.AddrPortFrom(a, outboundPort), control: netip.AddrPortFrom(a, controlPort),
	}
	f.mutex.Lock()
	m, ok := f.machines[a]
	if !ok {
		m = &machine{}
		f.machines[a] = m
	}
	m.boots = append(m.boots, b)
	f.mutex.Unlock()
	return b, b.start(firstReport)
}

// disturb notes that a disruption of a machine has just ended.
func (f *fleet) disturb(i int) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.machines[f.sideAddr(i)].disturbedAt = time.Now()
}

// owner returns the endpoint that holds an open flow, and the time since the last
// disruption of it, its machine or any process.
func (f *fleet) owner(key flowKey) (b *boot, calm time.Duration) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var last time.Time
	for _, n := range f.nodes {
		if !f.planned && n.disturbedAt.After(last) {
			last = n.disturbedAt
		}
	}
	for _, m := range f.machines {
		if m.disturbedAt.After(last) {
			last = m.disturbedAt
		}
		for _, x := range m.boots {
			if x.holds(key) {
				b = x
			}
		}
	}
	if last.IsZero() {
		last = f.rec.start
	}
	return b, time.Since(last)
}

// judgeReset checks rule FLOW for a reset that the system sent on an open flow.
func (f *fleet) judgeReset(c *callerFlow, idle time.Duration) {
	b, calm := f.owner(c.key)
	switch {
	case b == nil:
		f.rec.add("flow %v was reset; no live endpoint holds it", c.key.caller)
	case calm < stableWindow:
		f.rec.add("flow %v was reset although %s holds it, %.1f s after a disruption (excused)", c.key.caller, b.id, calm.Seconds())
	default:
		f.rec.breakRule("FLOW", "flow %v was reset by the system while its endpoint %s lives and holds it; idle for %.1f s, %.1f s after the last disruption or restart", c.key.caller, b.id, idle.Seconds(), calm.Seconds())
	}
}

// close ends everything that the fleet started.
func (f *fleet) close(keep bool) {
	close(f.stop)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, n := range f.nodes {
		_ = n.command.Process.Signal(syscall.SIGCONT)
		_ = n.command.Process.Kill()
		<-n.done
	}
	for _, m := range f.machines {
		for _, b := range m.boots {
			if b.endedAt.IsZero() {
				b.end("is ended by the test")
			}
		}
	}
	for _, c := range f.callers {
		_ = c.socket.Close()
	}
	_ = f.server.Close()
	if !keep {
		_ = os.RemoveAll(f.folder)
	}
}
