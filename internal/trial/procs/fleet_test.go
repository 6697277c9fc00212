package procs_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	"github.com/clementinewing/clementinewing/internal/demo/calls"
	"github.com/clementinewing/clementinewing/internal/demo/score"
	"github.com/clementinewing/clementinewing/internal/fake/caller"
	"github.com/clementinewing/clementinewing/internal/fake/fabric"
	"github.com/clementinewing/clementinewing/internal/fake/origin"
)

const (
	balancers    = 3
	agents       = 3
	service      = "dienstplan"
	common       = "region = oberbayern\ndomain = freising\n"
	security     = "[tls]\ninsecure = yes\n[keys]\n"
	firstKey     = "1 = 6b1f3c9a5d7e2048b6c1f0e3a492d5870f1e2d3c4b5a69788796a5b4c3d2e1f0\n"
	secondKey    = "2 = 0f1e2d3c4b5a69788796a5b4c3d2e1f06b1f3c9a5d7e2048b6c1f0e3a492d587\n"
	eventTimeout = time.Minute
)

var target = netip.MustParseAddrPort("10.99.0.1:80")

// fleet is a deployment whose balancers, agents and store are separate processes;
// the fabric, the upstreams and the caller run in the test process.
type fleet struct {
	program  string
	fake     string
	folder   string
	fabric   *fabric.Fabric
	ledger   *origin.Ledger
	sessions map[string]*gexec.Session
	commands map[string][]string
	fabrics  map[string]netip.AddrPort
	status   map[string]netip.AddrPort
	store    netip.AddrPort
	loopback *loopback
	contacts string
	dead     sync.Map
	// killedAt is when an upstream's agent was killed, in Unix nanoseconds.
	killedAt atomic.Int64
	score    *score.Score
	load     sync.WaitGroup
	endLoad  context.CancelFunc
}

func newFleet(program, fake string) *fleet {
	f := &fleet{
		program:  program,
		fake:     fake,
		folder:   GinkgoT().TempDir(),
		ledger:   origin.NewLedger(),
		sessions: map[string]*gexec.Session{},
		commands: map[string][]string{},
		fabrics:  map[string]netip.AddrPort{},
		status:   map[string]netip.AddrPort{},
		score:    &score.Score{},
		loopback: reserveLoopback(),
	}
	var err error
	f.fabric, err = fabric.New(1, fabric.WithFaults(0.002, 0.002, 0.01))
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.fabric.Run(ctx)
	}()
	DeferCleanup(func() {
		cancel()
		<-done
	})
	DeferCleanup(f.killAll)
	f.startStore()
	f.startBalancers()
	for n := range agents {
		f.startAgent(n + 1)
	}
	f.applyFile()
	f.awaitBalancers()
	return f
}

const (
	// reservationPort is the port that a rig keeps open on the address that it has reserved.
	// The ports of its processes follow it, all below those that the kernel gives to sockets
	// which ask for none.
	reservationPort = 20_000
	// maxReservations bounds the addresses that a rig tries.
	maxReservations = 100
)

// loopback is a loopback address that belongs to one rig. A port number alone cannot be reserved
// for a process that binds it later: another rig may draw the same one.
type loopback struct {
	address netip.Addr
	port    uint16
}

// reserveLoopback reserves a loopback address until the end of the spec. The listener keeps the
// rigs of other specs and test processes from choosing the same address.
func reserveLoopback() *loopback {
	for range maxReservations {
		a := netip.AddrFrom4([4]byte{127, byte(64 + rand.IntN(60)), byte(rand.IntN(256)), byte(1 + rand.IntN(254))})
		l, err := net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(netip.AddrPortFrom(a, reservationPort)))
		if err != nil {
			continue
		}
		DeferCleanup(l.Close)
		return &loopback{
			address: a,
			port:    reservationPort,
		}
	}
	Fail("no loopback address is free")
	return nil
}

// next returns an address with a port that no other process of the rig has been given.
func (l *loopback) next() netip.AddrPort {
	l.port++
	return netip.AddrPortFrom(l.address, l.port)
}

func (f *fleet) start(name string, command ...string) {
	f.commands[name] = command
	s, err := gexec.Start(exec.Command(command[0], command[1:]...), GinkgoWriter, GinkgoWriter)
	Expect(err).NotTo(HaveOccurred())
	f.sessions[name] = s
}

func (f *fleet) killAll() {
	for _, s := range f.sessions {
		s.Kill().Wait(eventTimeout)
	}
}

func (f *fleet) write(name, text string) (path string) {
	path = filepath.Join(f.folder, name)
	Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	return path
}

func (f *fleet) startStore() {
	f.store = f.loopback.next()
	f.start("store", f.fake, "store", "--listen", f.store.String())
}

func (f *fleet) startBalancers() {
	var controls, contacts []string
	for range balancers {
		controls = append(controls, f.loopback.next().String())
	}
	contacts = append(contacts, controls...)
	f.contacts = strings.Join(contacts, ", ")
	for n := range balancers {
		name := fmt.Sprintf("balancer-%d", n+1)
		f.fabrics[name] = f.loopback.next()
		f.status[name] = f.loopback.next()
		path := f.write(name+".ini", fmt.Sprintf("[balancer]\nname = %s\n%sfabric = %s\ntunnel = %s\ncontrol = %s\nstatus = %s\ncontacts = %s\n[store]\naddress = %s\n%s",
			name, common, f.fabrics[name], f.loopback.next(), controls[n], f.status[name], f.contacts, f.store, security+firstKey))
		f.start(name, f.program, "balancer", "--settings", path)
	}
	f.updateFabric()
}

func (f *fleet) updateFabric() {
	var all []netip.AddrPort
	for _, a := range f.fabrics {
		all = append(all, a)
	}
	f.fabric.SetBalancers(all...)
}

func (f *fleet) startAgent(n int) {
	name := fmt.Sprintf("agent-%d", n)
	u, err := origin.New(service, name, netip.MustParseAddrPort("127.0.0.1:0"),
		origin.WithLedger(f.ledger), origin.WithWorkDuration(5*time.Millisecond))
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(u.Kill)
	path := f.write(name+".ini", fmt.Sprintf("[agent]\nname = %s\n%sfabric = %s\ntunnel = %s\ncontacts = %s\nservice = %s\nupstream = %s\n%s",
		name, common, f.fabric.AnswerAddress(), f.loopback.next(), f.contacts, service, u.Address(), security+firstKey))
	f.start(name, f.program, "agent", "--settings", path)
}

func (f *fleet) run(arguments ...string) string {
	out, err := exec.Command(f.program, arguments...).CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), string(out))
	return string(out)
}

func (f *fleet) applyFile() {
	key := filepath.Join(f.folder, "operator.key")
	public := f.run("keygen", "--key", key)
	path := f.write("file.ini", fmt.Sprintf("[file]\nname = suedhang\nbase = 0\nchair = alma\n[operator alma]\n%s[service %s]\naddress = %s\ncontract = once\n",
		public, service, target))
	f.run("apply", "--insecure", "--store", f.store.String(), "--key", key, path)
}

// awaitBalancers waits until every balancer has the file and knows every endpoint.
func (f *fleet) awaitBalancers() {
	for name := range f.fabrics {
		f.awaitBalancer(name)
	}
}

func (f *fleet) awaitBalancer(name string) {
	Eventually(func() string {
		out, _ := exec.Command(f.program, "show", f.status[name].String()).Output()
		return string(out)
	}).WithTimeout(eventTimeout).Should(And(
		ContainSubstring("revision 1"), ContainSubstring("agent-1"), ContainSubstring("agent-2"), ContainSubstring("agent-3")))
}

// startLoad starts the callers' requests and feeds.
func (f *fleet) startLoad() {
	c, err := caller.New(netip.MustParseAddr("10.1.0.1"), f.fabric.CallerAddress())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(c.Close)
	s := &calls.Service{
		Name:    service,
		Target:  target,
		Callers: []*caller.Caller{c},
		Ledger:  f.ledger,
		Once:    true,
		WasKilled: func(upstream string) bool {
			_, dead := f.dead.Load(upstream)
			return dead
		},
		KilledSince: func(at time.Time) bool {
			return f.killedAt.Load() >= at.UnixNano()
		},
		Score:           f.score,
		MinFeedDuration: time.Second,
		MaxFeedDuration: 4 * time.Second,
	}
	ctx, cancel := context.WithCancel(context.Background())
	f.endLoad = cancel
	f.load.Go(func() { s.Requests(ctx, 1, 100) })
	f.load.Go(func() { s.Feeds(ctx, 1, 9) })
}

// setKeys rewrites the keys of every balancer and agent and sends SIGHUP.
func (f *fleet) setKeys(keys string) {
	for name, s := range f.sessions {
		if name == "store" {
			continue
		}
		path := filepath.Join(f.folder, name+".ini")
		text, err := os.ReadFile(path)
		Expect(err).NotTo(HaveOccurred())
		kept, _, found := strings.Cut(string(text), "[keys]\n")
		Expect(found).To(BeTrue())
		f.write(name+".ini", kept+"[keys]\n"+keys)
		s.Signal(syscall.SIGHUP)
	}
}
