// Package fleet runs a deployment of real processes on loopback, with the store,
// endpoints and callers of platform/fake, and injects faults into it.
package fleet

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

	"github.com/rotisserie/eris"

	"github.com/clementinewing/clementinewing/internal/soak/proxy"
	"github.com/clementinewing/clementinewing/internal/soak/verify"
	"github.com/clementinewing/clementinewing/platform/fake"
)

const (
	seeds             = 2
	slots             = 4
	requestDuration   = 10 * time.Millisecond
	drainDuration     = 500 * time.Millisecond
	stopAcceptDelay   = 300 * time.Millisecond
	readinessInterval = 200 * time.Millisecond
	// restartDelay is the time from the end of a process to its restart, as on
	// the platform.
	restartDelay = 300 * time.Millisecond
	// coldDuration is how long endpoints report that they are slow after their start.
	coldDuration = 2 * time.Second
	// maxClockOffset bounds how far the wall clock of a VM is off.
	maxClockOffset = 3 * time.Second
)

// Sizes are the numbers of processes in a deployment.
type Sizes struct {
	Balancers int
	Agents    int
}

// Fleet is one deployment.
type Fleet struct {
	Net     fake.Network
	Store   *fake.Store
	Account *fake.Account

	sizes  Sizes
	binary string
	folder string
	server *http.Server
	// proxy is between the processes and the store.
	proxy  *proxy.Proxy
	mutex  sync.Mutex
	record verify.Record
	procs  map[netip.Addr]*exec.Cmd
	wanted map[netip.Addr]bool
	// away holds how long a process that was stopped stays away.
	away      map[netip.Addr]time.Duration
	logs      map[netip.Addr]*os.File
	endpoints []*fake.Endpoint
	// replacing lets only one event at a time replace an endpoint.
	replacing    []sync.Mutex
	evacuating   sync.Mutex
	incarnations int
	// changingSettings lets only one event at a time change settings, settingsChanges counts them.
	changingSettings sync.Mutex
	settingsChanges  int
	ready            []netip.AddrPort
	closing          chan struct{}
	group            sync.WaitGroup
}

// services are the services of the endpoints, by the number of their machine.
var services = [...]string{"rota", "rota", "sheets"}

// Service returns the service of a machine's endpoint.
func Service(machine int) string {
	return services[machine%len(services)]
}

// New starts a deployment. Its settings and logs are written to folder.
func New(binary, folder string, n byte, sizes Sizes, config []byte) (f *Fleet, err error) {
	defer func() { err = eris.Wrap(err, "starting a deployment") }()
	f = &Fleet{
		Net:     fake.Network{Number: n},
		Store:   fake.NewStore(uint64(n)),
		Account: fake.NewAccount(),
		sizes:   sizes,
		binary:  binary,
		folder:  folder,
		record: verify.Record{
			Agents:  map[int][]verify.FaultWindow{},
			EndedAt: map[string]time.Time{},
		},
		procs:     map[netip.Addr]*exec.Cmd{},
		wanted:    map[netip.Addr]bool{},
		away:      map[netip.Addr]time.Duration{},
		logs:      map[netip.Addr]*os.File{},
		endpoints: make([]*fake.Endpoint, sizes.Agents),
		replacing: make([]sync.Mutex, sizes.Agents),
		closing:   make(chan struct{}),
	}
	f.Store.Put("op/config", config)
	listener, err := net.Listen("tcp4", netip.AddrPortFrom(f.Net.Store().Addr(), 0).String())
	if err != nil {
		return nil, err
	}
	if f.proxy, err = proxy.Listen(f.Net.Store().String(), listener.Addr().String()); err != nil {
		return nil, errors.Join(err, listener.Close())
	}
	f.server = &http.Server{
		Handler:           f.Store,
		ReadHeaderTimeout: time.Minute,
	}
	go func() { _ = f.server.Serve(listener) }()
	for i := range sizes.Balancers {
		if err = f.start(f.Net.Balancer(i), fake.Zone(i), ""); err != nil {
			return nil, errors.Join(err, f.Close())
		}
	}
	for i := range sizes.Agents {
		if err = f.StartEndpoint(i); err == nil {
			err = f.start(f.Net.Agent(i), fake.Zone(i), Service(i))
		}
		if err != nil {
			return nil, errors.Join(err, f.Close())
		}
	}
	f.group.Go(f.pollReadiness)
	return f, nil
}

// start starts a process and restarts it whenever it ends.
func (f *Fleet) start(a netip.Addr, zone, service string) error {
	first := filepath.Join(f.folder, "first")
	if err := os.MkdirAll(first, 0o700); err != nil {
		return err
	}
	firstPath, err := f.Net.WriteSettings(first, a, zone, service, seeds, true, features)
	if err != nil {
		return err
	}
	path, err := f.Net.WriteSettings(f.folder, a, zone, service, seeds, false, features)
	if err != nil {
		return err
	}
	out, err := os.Create(filepath.Join(f.folder, a.String()+".log"))
	if err != nil {
		return err
	}
	role := "balancer"
	if service != "" {
		role = "agent"
	}
	f.mutex.Lock()
	f.logs[a] = out
	f.wanted[a] = true
	f.mutex.Unlock()
	f.group.Go(func() { f.supervise(a, role, firstPath, path, out) })
	return nil
}

// supervise runs a process, at its first start with the settings of a system that starts for
// the first time.
func (f *Fleet) supervise(a netip.Addr, role, firstPath, path string, out *os.File) {
	ownEnds := 0
	for settings := firstPath; ; settings = path {
		c := exec.Command(f.binary, role, "--settings", settings)
		c.Stdout = out
		c.Stderr = out
		f.mutex.Lock()
		if !f.wanted[a] {
			f.mutex.Unlock()
			return
		}
		startedAt := time.Now()
		err := c.Start()
		if err == nil {
			f.procs[a] = c
		}
		f.mutex.Unlock()
		if err != nil {
			f.Account.RecordViolation("cannot start process %s: %v", a, err)
			return
		}
		// The reason is in the log of the process; it is restarted in any case.
		_ = c.Wait()
		ownEnds++
		if c.ProcessState.ExitCode() <= 0 || time.Since(startedAt) > startPeriod {
			ownEnds = 0
		}
		if ownEnds > maxOwnEnds {
			f.Account.RecordViolation("process %s ended by itself %d times", a, ownEnds)
		}
		select {
		case <-f.closing:
			return
		case <-time.After(f.takeAway(a)):
		}
	}
}

// stop ends a process with SIGTERM. It starts again after it has been away for a time.
func (f *Fleet) stop(a netip.Addr, away time.Duration) {
	f.mutex.Lock()
	f.away[a] = away
	f.mutex.Unlock()
	f.Signal(a, syscall.SIGTERM)
}

// takeAway returns how long the process that has just ended stays away.
func (f *Fleet) takeAway(a netip.Addr) time.Duration {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	away, ok := f.away[a]
	if !ok {
		away = restartDelay
	}
	delete(f.away, a)
	return away
}

// Signal sends a signal to the process at an address, if it runs.
func (f *Fleet) Signal(a netip.Addr, s syscall.Signal) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if c := f.procs[a]; c != nil && c.ProcessState == nil {
		// Fails only if the process has just ended.
		_ = c.Process.Signal(s)
	}
}

// StartEndpoint starts a new incarnation of a machine's endpoint.
func (f *Fleet) StartEndpoint(i int) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.incarnations++
	born := time.Now().Add(f.clockOffset(f.incarnations)).UnixMilli()
	e := f.Net.Endpoint(i, fmt.Sprintf("e-%d-%d", i, f.incarnations), Service(i), born, f.Account)
	e.ColdFor = coldDuration
	e.Slots = slots
	e.Work = requestDuration
	e.DrainFor = drainDuration
	e.NoNewAfter = stopAcceptDelay
	if err := e.Start(); err != nil {
		return err
	}
	f.endpoints[i] = e
	return nil
}

// clockOffset returns how far the wall clock is off that an incarnation reads its start time
// from: the clocks of the VMs are set, so a later incarnation may have an earlier start time.
func (f *Fleet) clockOffset(incarnation int) time.Duration {
	random := rand.New(rand.NewPCG(uint64(f.Net.Number), uint64(incarnation)))
	return time.Duration(random.Int64N(int64(2*maxClockOffset))) - maxClockOffset
}

// CrashEndpoint ends a machine's endpoint without notice.
func (f *Fleet) CrashEndpoint(i int) {
	e := f.detachEndpoint(i)
	if e != nil {
		e.Crash()
	}
}

// ShutdownEndpoint drains and stops a machine's endpoint.
func (f *Fleet) ShutdownEndpoint(i int) {
	e := f.detachEndpoint(i)
	if e != nil {
		e.Shutdown()
	}
}

func (f *Fleet) detachEndpoint(i int) *fake.Endpoint {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	e := f.endpoints[i]
	if e != nil {
		f.record.EndedAt[e.ID] = time.Now()
	}
	f.endpoints[i] = nil
	return e
}

// RecordAgentFault records a fault of an agent.
func (f *Fleet) RecordAgentFault(agent int, w verify.FaultWindow) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.record.Agents[agent] = append(f.record.Agents[agent], w)
}

// RecordBalancerFault records a fault of a balancer.
func (f *Fleet) RecordBalancerFault(w verify.FaultWindow) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.record.Balancers = append(f.record.Balancers, w)
}

// RecordStoreFault records a fault of the store.
func (f *Fleet) RecordStoreFault(w verify.FaultWindow) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.record.Store = append(f.record.Store, w)
}

// Check calls check with the record so far and counts its error as a violation.
func (f *Fleet) Check(check func(r *verify.Record) error) {
	f.mutex.Lock()
	err := check(&f.record)
	f.mutex.Unlock()
	if err != nil {
		f.Account.RecordViolation("%v", err)
	}
}

// ReadyBalancers returns the balancers that reported ready, or all if none did.
func (f *Fleet) ReadyBalancers() []netip.AddrPort {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if len(f.ready) > 0 {
		return f.ready
	}
	return f.allBalancers()
}

func (f *Fleet) allBalancers() (list []netip.AddrPort) {
	for i := range f.sizes.Balancers {
		list = append(list, fake.PacketAddr(f.Net.Balancer(i)))
	}
	return list
}

// pollReadiness polls the readiness of every balancer, as the routers do.
func (f *Fleet) pollReadiness() {
	client := http.Client{
		Timeout: readinessInterval,
	}
	for {
		var list []netip.AddrPort
		for i := range f.sizes.Balancers {
			a := f.Net.Balancer(i)
			r, err := client.Get("http://" + fake.ReadinessAddr(a).String() + "/")
			if err != nil {
				continue
			}
			_ = r.Body.Close()
			if r.StatusCode == http.StatusOK {
				list = append(list, fake.PacketAddr(a))
			}
		}
		f.mutex.Lock()
		f.ready = list
		f.mutex.Unlock()
		select {
		case <-f.closing:
			return
		case <-time.After(readinessInterval):
		}
	}
}

// Close stops everything that the fleet started; processes by their id.
func (f *Fleet) Close() (err error) {
	close(f.closing)
	f.mutex.Lock()
	for a := range f.wanted {
		f.wanted[a] = false
	}
	for _, c := range f.procs {
		_ = c.Process.Signal(syscall.SIGCONT)
		_ = c.Process.Kill()
	}
	f.mutex.Unlock()
	f.Store.SetMode(fake.Normal, 0, 0)
	f.group.Wait()
	for i := range f.endpoints {
		f.CrashEndpoint(i)
	}
	for _, l := range f.logs {
		err = errors.Join(err, l.Close())
	}
	return errors.Join(err, f.proxy.Close(), f.server.Close())
}
