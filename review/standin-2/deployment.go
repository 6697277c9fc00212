package main

import (
	"context"
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

	"github.com/clementinewing/clementinewing/platform/fake"
)

// Sizes of the deployment, and times of its platform.
const (
	balancers = 3
	agents    = 3
	slots     = 7
	work      = 5 * time.Millisecond
	handshake = 15 * time.Millisecond
	service   = "rota"

	restartDelay      = 500 * time.Millisecond
	graceDuration     = 6 * time.Second
	readinessInterval = 500 * time.Millisecond
	// maxMisses is after how many failed checks a balancer is out of rotation.
	maxMisses = 2
	// firstNetwork is beyond the networks of the tests; maxNetworks bounds the search for free
	// addresses.
	firstNetwork = 200
	maxNetworks  = 50
)

// process is one process and the machine that it runs on.
type process struct {
	address netip.Addr
	role    string
	fields  fields
	path    string
	command *exec.Cmd
	// stopping is set while the platform stops the process, ended counts how often it has ended
	// by itself.
	stopping bool
	ended    int
}

// deployment is a small deployment on loopback addresses.
type deployment struct {
	net      fake.Network
	store    *fake.Store
	account  *fake.Account
	binary   string
	template string
	folder   string
	record   *os.File
	start    time.Time

	mutex     sync.Mutex
	processes []*process
	ready     []netip.AddrPort
	// readyCount is the number of balancers that are ready.
	readyCount int
	endpoints  []*server
	closing    chan struct{}
	closed     bool
	group      sync.WaitGroup
	server     *http.Server
}

// newDeployment starts the stand-ins and all processes.
func newDeployment(binary, template, folder string, record *os.File) (d *deployment, err error) {
	text, err := os.ReadFile(filepath.Clean(template))
	if err != nil {
		return nil, err
	}
	d = &deployment{
		store:    fake.NewStore(1),
		account:  fake.NewAccount(),
		binary:   binary,
		template: string(text),
		folder:   folder,
		record:   record,
		start:    time.Now(),
		closing:  make(chan struct{}),
	}
	if err = d.listenStore(); err != nil {
		return nil, err
	}
	d.store.Put("op/config", fake.Config(1, d.route()))
	for i := range agents {
		if err = d.startEndpoint(i); err != nil {
			d.close()
			return nil, err
		}
		d.add(d.net.Agent(i), fake.Zone(i), service)
	}
	for i := range balancers {
		d.add(d.net.Balancer(i), fake.Zone(i), "")
	}
	for _, p := range d.processes {
		d.group.Go(func() { d.supervise(p) })
	}
	d.group.Go(d.checkReadiness)
	return d, nil
}

// listenStore starts the store in a network whose addresses are free.
func (d *deployment) listenStore() (err error) {
	for n := range maxNetworks {
		d.net = fake.Network{Number: byte(firstNetwork + n)}
		var listener net.Listener
		at := netip.AddrPortFrom(d.net.Store().Addr(), storePort)
		if listener, err = net.Listen("tcp4", at.String()); err != nil {
			continue
		}
		d.server = &http.Server{
			Handler:           http.HandlerFunc(d.serveStore),
			ReadHeaderTimeout: time.Minute,
		}
		go func() { _ = d.server.Serve(listener) }()
		return nil
	}
	return err
}

// serveStore answers as the platform's pages say: without the header that tells the era.
func (d *deployment) serveStore(w http.ResponseWriter, q *http.Request) {
	d.store.ServeHTTP(plainWriter{w}, q)
}

// plainWriter leaves out the header of the project's own store that the pages do not know.
type plainWriter struct {
	http.ResponseWriter
}

const eraHeader = "Store-Era"

func (w plainWriter) WriteHeader(status int) {
	w.Header().Del(eraHeader)
	w.ResponseWriter.WriteHeader(status)
}

func (w plainWriter) Write(b []byte) (int, error) {
	w.Header().Del(eraHeader)
	return w.ResponseWriter.Write(b)
}

func (d *deployment) startEndpoint(i int) error {
	a := d.net.Agent(i)
	s := &server{
		id:        fmt.Sprintf("e-%d", i),
		at:        netip.AddrPortFrom(a, appPort),
		outbound:  netip.AddrPortFrom(a, outboundPort),
		control:   netip.AddrPortFrom(a, controlPort),
		handshake: handshake,
		work:      work,
		note:      d.note,
	}
	if err := s.run(); err != nil {
		return err
	}
	d.endpoints = append(d.endpoints, s)
	return nil
}

func (d *deployment) route() fake.Route {
	return fake.Route{
		Target:  netip.MustParseAddrPort("127.1.0.1:443"),
		Service: service,
	}
}

func (d *deployment) add(a netip.Addr, zone, of string) {
	p := &process{
		address: a,
		role:    "balancer",
		fields:  d.newFields(a, zone, of),
		path:    filepath.Join(d.folder, a.String()+".ini"),
	}
	if of != "" {
		p.role = "agent"
	}
	d.processes = append(d.processes, p)
}

// supervise runs a process and starts it again whenever it has ended, with the settings in effect
// at that moment.
func (d *deployment) supervise(p *process) {
	for {
		d.mutex.Lock()
		if d.closed {
			d.mutex.Unlock()
			return
		}
		err := os.WriteFile(p.path, []byte(render(d.template, p.fields)), 0o600)
		p.fields["bootstrap"] = "false"
		c := exec.Command(d.binary, p.role, "--settings", p.path)
		p.command = c
		if err == nil {
			err = c.Start()
		}
		d.mutex.Unlock()
		if err != nil {
			d.note("cannot start %s: %v", p.address, err)
			return
		}
		err = c.Wait()
		d.mutex.Lock()
		p.command = nil
		if !p.stopping && !d.closed {
			p.ended++
			d.noteLocked("%s %s ended by itself (%v), time %d", p.role, p.address, err, p.ended)
		}
		p.stopping = false
		d.mutex.Unlock()
		select {
		case <-d.closing:
		case <-time.After(restartDelay):
		}
	}
}

func (d *deployment) signalLocked(p *process, s syscall.Signal) {
	if p.command != nil && p.command.Process != nil {
		// Fails only if the process has just ended.
		_ = p.command.Process.Signal(s)
	}
}

// stop ends a process as the platform does, with SIGTERM and then SIGKILL. It is started again.
func (d *deployment) stop(p *process) {
	d.mutex.Lock()
	c := p.command
	if c != nil {
		p.stopping = true
		d.signalLocked(p, syscall.SIGTERM)
	}
	d.mutex.Unlock()
	time.AfterFunc(graceDuration, func() {
		d.mutex.Lock()
		defer d.mutex.Unlock()
		if c != nil && p.command == c {
			d.signalLocked(p, syscall.SIGKILL)
		}
	})
}

// change sets a field of a process's settings and tells the process.
func (d *deployment) change(p *process, name, to string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	p.fields[name] = to
	if err := os.WriteFile(p.path, []byte(render(d.template, p.fields)), 0o600); err != nil {
		d.noteLocked("writing %s: %v", p.path, err)
	}
	d.signalLocked(p, syscall.SIGHUP)
}

// checkReadiness checks the balancers as the platform's routers do.
func (d *deployment) checkReadiness() {
	client := http.Client{
		Timeout: readinessInterval,
	}
	misses := map[netip.Addr]int{}
	for i := range balancers {
		misses[d.net.Balancer(i)] = maxMisses
	}
	for {
		var in, all []netip.AddrPort
		for i := range balancers {
			a := d.net.Balancer(i)
			if misses[a]++; isReady(&client, a) {
				misses[a] = 0
			}
			all = append(all, fake.PacketAddr(a))
			if misses[a] < maxMisses {
				in = append(in, fake.PacketAddr(a))
			}
		}
		ready := len(in)
		if 2*len(in) < len(all) {
			in = all
		}
		d.mutex.Lock()
		d.ready = in
		d.readyCount = ready
		d.mutex.Unlock()
		select {
		case <-d.closing:
			return
		case <-time.After(readinessInterval):
		}
	}
}

func isReady(client *http.Client, a netip.Addr) bool {
	r, err := client.Get("http://" + fake.ReadinessAddr(a).String() + "/v1/readiness")
	if err != nil {
		return false
	}
	return errors.Join(r.Body.Close()) == nil && r.StatusCode == http.StatusOK
}

func (d *deployment) inRotation() []netip.AddrPort {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.ready
}

var errNotReady = errors.New("the balancers are not ready")

// awaitReady waits until the deployment has warmed up.
func (d *deployment) awaitReady() error {
	time.Sleep(warmUp)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.readyCount < balancers {
		return errNotReady
	}
	return nil
}

// holds reports whether an endpoint holds the open flow on which it ran a request.
func (d *deployment) holds(endpoint, request string) bool {
	for _, s := range d.endpoints {
		if s.id == endpoint {
			return s.holds(request)
		}
	}
	return false
}

// note writes a line of the record.
func (d *deployment) note(format string, args ...any) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.noteLocked(format, args...)
}

func (d *deployment) noteLocked(format string, args ...any) {
	line := fmt.Sprintf("%7.3f s  %s\n", time.Since(d.start).Seconds(), fmt.Sprintf(format, args...))
	_, _ = d.record.WriteString(line)
	fmt.Print(line)
}

// close ends everything that was started.
func (d *deployment) close() {
	d.mutex.Lock()
	if d.closed {
		d.mutex.Unlock()
		return
	}
	d.closed = true
	for _, p := range d.processes {
		d.signalLocked(p, syscall.SIGKILL)
	}
	d.mutex.Unlock()
	close(d.closing)
	d.group.Wait()
	for _, e := range d.endpoints {
		e.close()
	}
	_ = d.server.Shutdown(context.Background())
}
