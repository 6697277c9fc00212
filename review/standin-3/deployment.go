package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/clementinewing/clementinewing/platform/fake"
)

const (
	// firstNetwork and lastNetwork bound the loopback networks 127.N.0.0 that are tried.
	firstNetwork = 210
	lastNetwork  = 249
	// seedCount is the number of balancers that the settings name as seeds.
	seedCount = 2
	// restartDelay is the time from the end of a process to its next start.
	restartDelay = 500 * time.Millisecond
	// readinessInterval is the interval of the readiness checks, maxMisses how many of them a
	// balancer may miss before it is out of rotation.
	readinessInterval = 500 * time.Millisecond
	maxMisses         = 2
)

var errNoNetwork = errors.New("no free loopback network")

// deployment is a small deployment: real processes, and a store and a router in this process.
type deployment struct {
	net     fake.Network
	store   *fake.Store
	account *fake.Account
	binary  string
	folder  string
	record  *record
	server  *http.Server

	mutex     sync.Mutex
	processes []*process
	ready     []netip.AddrPort
	closing   chan struct{}
	group     sync.WaitGroup
}

// process is one process of the system, which is started again whenever it ends.
type process struct {
	address netip.Addr
	role    string
	running *exec.Cmd
}

// newDeployment opens the store at the first loopback network that is free.
func newDeployment(binary, folder string, r *record) (d *deployment, err error) {
	for n := firstNetwork; n <= lastNetwork; n++ {
		d = &deployment{
			net:     fake.Network{Number: byte(n)},
			store:   fake.NewStore(uint64(n)),
			account: fake.NewAccount(),
			binary:  binary,
			folder:  folder,
			record:  r,
			closing: make(chan struct{}),
		}
		listener, err := net.Listen("tcp4", d.net.Store().String())
		if err != nil {
			continue
		}
		d.server = &http.Server{
			Handler:           d.store,
			ReadHeaderTimeout: time.Minute,
		}
		go func() { _ = d.server.Serve(listener) }()
		go d.awaitSignal()
		return d, nil
	}
	return nil, errNoNetwork
}

// awaitSignal ends everything when this program is told to end.
func (d *deployment) awaitSignal() {
	told := make(chan os.Signal, 1)
	signal.Notify(told, syscall.SIGTERM, syscall.SIGINT)
	<-told
	d.close()
	os.Exit(exitFailed)
}

// startBalancers starts balancers and the router's readiness checks.
func (d *deployment) startBalancers(count int) (err error) {
	for i := range count {
		if err = d.startProcess(d.net.Balancer(i), i, ""); err != nil {
			return err
		}
	}
	d.group.Go(func() { d.checkReadiness(count) })
	return nil
}

// startProcess starts a balancer, or the agent beside an endpoint of the service.
func (d *deployment) startProcess(a netip.Addr, machine int, service string) error {
	first := filepath.Join(d.folder, "first")
	if err := os.MkdirAll(first, 0o700); err != nil {
		return err
	}
	firstPath, err := d.net.WriteSettings(first, a, fake.Zone(machine), service, seedCount, true, "")
	if err != nil {
		return err
	}
	path, err := d.net.WriteSettings(d.folder, a, fake.Zone(machine), service, seedCount, false, "")
	if err != nil {
		return err
	}
	out, err := os.Create(filepath.Join(d.folder, a.String()+".log"))
	if err != nil {
		return err
	}
	p := &process{
		address: a,
		role:    "balancer",
	}
	if service != "" {
		p.role = "agent"
	}
	d.processes = append(d.processes, p)
	d.group.Go(func() {
		d.supervise(p, firstPath, path, out)
		_ = out.Close()
	})
	return nil
}

// supervise runs a process until the deployment is closed, at first with the settings of a system
// that starts for the first time.
func (d *deployment) supervise(p *process, firstPath, path string, out *os.File) {
	for settings := firstPath; ; settings = path {
		c := exec.Command(d.binary, p.role, "--settings", settings)
		c.Stdout = out
		c.Stderr = out
		d.mutex.Lock()
		if d.closed() {
			d.mutex.Unlock()
			return
		}
		err := c.Start()
		p.running = c
		d.mutex.Unlock()
		if err != nil {
			d.record.note("cannot start %s: %v", p.address, err)
			return
		}
		// Its end is caused by this program, or is in the log of the process.
		_ = c.Wait()
		select {
		case <-d.closing:
			return
		case <-time.After(restartDelay):
		}
	}
}

func (d *deployment) closed() bool {
	select {
	case <-d.closing:
		return true
	default:
		return false
	}
}

// signal sends a signal to the processes that match.
func (d *deployment) signal(s syscall.Signal, match func(p *process) bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, p := range d.processes {
		if match(p) && p.running != nil && p.running.Process != nil {
			// Fails only if the process has just ended.
			_ = p.running.Process.Signal(s)
		}
	}
}

// balancers returns the balancers in rotation, or all if there are none.
func (d *deployment) balancers() []netip.AddrPort {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.ready
}

// checkReadiness checks the readiness of every balancer, as the routers do.
func (d *deployment) checkReadiness(count int) {
	client := http.Client{
		Timeout: readinessInterval,
	}
	misses := make([]int, count)
	for !d.closed() {
		var list, all []netip.AddrPort
		for i := range count {
			a := d.net.Balancer(i)
			all = append(all, fake.PacketAddr(a))
			misses[i]++
			if r, err := client.Get(fmt.Sprintf("http://%s/v1/readiness", fake.ReadinessAddr(a))); err == nil {
				_ = r.Body.Close()
				if r.StatusCode == http.StatusOK {
					misses[i] = 0
				}
			}
			if misses[i] < maxMisses {
				list = append(list, fake.PacketAddr(a))
			}
		}
		if 2*len(list) < count {
			list = all
		}
		d.mutex.Lock()
		d.ready = list
		d.mutex.Unlock()
		select {
		case <-d.closing:
		case <-time.After(readinessInterval):
		}
	}
}

// close ends everything that the deployment started.
func (d *deployment) close() {
	d.mutex.Lock()
	close(d.closing)
	d.mutex.Unlock()
	d.signal(syscall.SIGKILL, func(*process) bool { return true })
	d.group.Wait()
	_ = d.server.Close()
}
