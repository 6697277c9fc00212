// Package fleet runs a deployment of real processes on loopback, with the store,
// endpoints and callers of platform/fake around them, and harms it on demand.
package fleet

import (
	"errors"
	"fmt"
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

	"github.com/clementinewing/clementinewing/internal/soak/judge"
	"github.com/clementinewing/clementinewing/internal/soak/proxy"
	"github.com/clementinewing/clementinewing/platform/fake"
)

const (
	seeds     = 2
	slots     = 4
	work      = 10 * time.Millisecond
	drainFor  = 500 * time.Millisecond
	noNew     = 300 * time.Millisecond
	readyWait = 200 * time.Millisecond
	// restartAfter is how long a process that ended stays away, as on the
	// platform.
	restartAfter = 300 * time.Millisecond
)

// Sizes are how many processes run.
type Sizes struct {
	Balancers int
	Sides     int
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
	// proxy is how processes reach the store.
	proxy  *proxy.Proxy
	mutex  sync.Mutex
	record judge.Record
	procs  map[netip.Addr]*exec.Cmd
	wanted map[netip.Addr]bool
	logs   map[netip.Addr]*os.File
	ends   []*fake.Endpoint
	// busy lets one event at a time have an endpoint.
	busy    []sync.Mutex
	lives   int
	ready   []netip.AddrPort
	closing chan struct{}
	group   sync.WaitGroup
}

// Services are what the endpoints serve, by the number of their machine.
var services = [...]string{"rota", "rota", "sheets"}

// Service is the service of a machine's endpoint.
func Service(side int) string {
	return services[side%len(services)]
}

// New starts a deployment in a folder, which takes settings and logs.
func New(binary, folder string, n byte, sizes Sizes, config []byte) (f *Fleet, err error) {
	defer func() { err = eris.Wrap(err, "starting a deployment") }()
	f = &Fleet{
		Net:     fake.Network{Number: n},
		Store:   fake.NewStore(uint64(n)),
		Account: fake.NewAccount(),
		sizes:   sizes,
		binary:  binary,
		folder:  folder,
		record: judge.Record{
			Sides: map[int][]judge.Harm{},
			Ended: map[string]time.Time{},
		},
		procs:   map[netip.Addr]*exec.Cmd{},
		wanted:  map[netip.Addr]bool{},
		logs:    map[netip.Addr]*os.File{},
		ends:    make([]*fake.Endpoint, sizes.Sides),
		busy:    make([]sync.Mutex, sizes.Sides),
		closing: make(chan struct{}),
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
	for i := range sizes.Sides {
		if err = f.Endpoint(i); err == nil {
			err = f.start(f.Net.Agent(i), fake.Zone(i), Service(i))
		}
		if err != nil {
			return nil, errors.Join(err, f.Close())
		}
	}
	f.group.Go(f.watchReady)
	return f, nil
}

// start runs a process and runs it again whenever it ends.
func (f *Fleet) start(a netip.Addr, zone, service string) error {
	path, err := f.Net.WriteSettings(f.folder, a, zone, service, seeds, false)
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
	f.group.Go(func() { f.keep(a, role, path, out) })
	return nil
}

func (f *Fleet) keep(a netip.Addr, role, path string, out *os.File) {
	for {
		c := exec.Command(f.binary, role, "--settings", path)
		c.Stdout = out
		c.Stderr = out
		f.mutex.Lock()
		if !f.wanted[a] {
			f.mutex.Unlock()
			return
		}
		err := c.Start()
		if err == nil {
			f.procs[a] = c
		}
		f.mutex.Unlock()
		if err != nil {
			f.Account.RecordViolation("process %s does not start: %v", a, err)
			return
		}
		// How it ended is in its log; it is started again in any case.
		_ = c.Wait()
		select {
		case <-f.closing:
			return
		case <-time.After(restartAfter):
		}
	}
}

// Signal sends a signal to the process at an address, if it runs.
func (f *Fleet) Signal(a netip.Addr, s syscall.Signal) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if c := f.procs[a]; c != nil && c.ProcessState == nil {
		// A process that has just ended needs no signal.
		_ = c.Process.Signal(s)
	}
}

// Endpoint starts a new life of a machine's endpoint.
func (f *Fleet) Endpoint(i int) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.lives++
	e := f.Net.Endpoint(i, fmt.Sprintf("e-%d-%d", i, f.lives), Service(i), time.Now().UnixMilli(), f.Account)
	e.Slots = slots
	e.Work = work
	e.DrainFor = drainFor
	e.NoNewAfter = noNew
	if err := e.Start(); err != nil {
		return err
	}
	f.ends[i] = e
	return nil
}

// Crash ends a machine's endpoint without a word.
func (f *Fleet) Crash(i int) {
	e := f.take(i)
	if e != nil {
		e.Crash()
	}
}

// Leave lets a machine's endpoint drain and end.
func (f *Fleet) Leave(i int) {
	e := f.take(i)
	if e != nil {
		e.Shutdown()
	}
}

func (f *Fleet) take(i int) *fake.Endpoint {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	e := f.ends[i]
	if e != nil {
		f.record.Ended[e.ID] = time.Now()
	}
	f.ends[i] = nil
	return e
}

// Harm notes what is done to a side process.
func (f *Fleet) Harm(side int, h judge.Harm) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.record.Sides[side] = append(f.record.Sides[side], h)
}

// HarmBalancer notes what is done to a balancer, HarmStore to the store.
func (f *Fleet) HarmBalancer(h judge.Harm) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.record.Balancers = append(f.record.Balancers, h)
}

// HarmStore notes what is done to the store.
func (f *Fleet) HarmStore(h judge.Harm) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.record.Store = append(f.record.Store, h)
}

// Judge calls check with the record so far.
func (f *Fleet) Judge(check func(r *judge.Record) error) {
	f.mutex.Lock()
	err := check(&f.record)
	f.mutex.Unlock()
	if err != nil {
		f.Account.RecordViolation("%v", err)
	}
}

// Rotation gives the balancers that said they are ready, or all if none did.
func (f *Fleet) Rotation() []netip.AddrPort {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if len(f.ready) > 0 {
		return f.ready
	}
	return f.all()
}

func (f *Fleet) all() (list []netip.AddrPort) {
	for i := range f.sizes.Balancers {
		list = append(list, fake.PacketAddr(f.Net.Balancer(i)))
	}
	return list
}

// watchReady asks every balancer whether it is ready, as routers do.
func (f *Fleet) watchReady() {
	client := http.Client{
		Timeout: readyWait,
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
		case <-time.After(readyWait):
		}
	}
}

// Close ends everything that the fleet started, by id.
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
	for i := range f.ends {
		f.Crash(i)
	}
	for _, l := range f.logs {
		err = errors.Join(err, l.Close())
	}
	return errors.Join(err, f.proxy.Close(), f.server.Close())
}
