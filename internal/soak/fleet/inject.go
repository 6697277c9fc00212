package fleet

import (
	"syscall"
	"time"

	"github.com/clementinewing/clementinewing/internal/soak/judge"
	"github.com/clementinewing/clementinewing/internal/soak/plan"
	"github.com/clementinewing/clementinewing/internal/soak/proxy"
	"github.com/clementinewing/clementinewing/platform/fake"
)

// Strike carries out one event of a plan; it returns when the event is over.
// Changes of the plan in force are the caller's.
func (f *Fleet) Strike(e plan.Event) (err error) {
	now := time.Now()
	harm := judge.Harm{
		From:  now,
		Until: now.Add(e.For + restartAfter),
	}
	switch e.Kind {
	case plan.KillBalancer:
		f.HarmBalancer(harm)
		f.Signal(f.Net.Balancer(e.Target), syscall.SIGKILL)
	case plan.StopBalancer:
		f.Signal(f.Net.Balancer(e.Target), syscall.SIGTERM)
	case plan.PauseBalancer:
		f.HarmBalancer(harm)
		f.Signal(f.Net.Balancer(e.Target), syscall.SIGSTOP)
		time.Sleep(e.For)
		f.Signal(f.Net.Balancer(e.Target), syscall.SIGCONT)
	case plan.Hangup:
		f.Signal(f.Net.Balancer(e.Target), syscall.SIGHUP)
	case plan.KillSide:
		f.Harm(e.Target, harm)
		f.Signal(f.Net.Agent(e.Target), syscall.SIGKILL)
	case plan.StopSide:
		f.Signal(f.Net.Agent(e.Target), syscall.SIGTERM)
	case plan.PauseSide:
		f.Harm(e.Target, harm)
		f.Signal(f.Net.Agent(e.Target), syscall.SIGSTOP)
		time.Sleep(e.For)
		f.Signal(f.Net.Agent(e.Target), syscall.SIGCONT)
	case plan.KillAll:
		f.killAll(harm)
	case plan.CrashEndpoint, plan.LeaveEndpoint:
		return f.replace(e)
	case plan.LinkSilent, plan.LinkReset, plan.LinkOneWay, plan.LinkSlow:
		f.link(e, harm)
	default:
		f.store(e, harm)
	}
	return nil
}

// replace ends an endpoint and starts its next life.
func (f *Fleet) replace(e plan.Event) error {
	f.busy[e.Target].Lock()
	defer f.busy[e.Target].Unlock()
	if e.Kind == plan.LeaveEndpoint {
		f.Leave(e.Target)
		return f.Endpoint(e.Target)
	}
	f.Crash(e.Target)
	time.Sleep(e.For)
	return f.Endpoint(e.Target)
}

func (f *Fleet) killAll(harm judge.Harm) {
	f.HarmBalancer(harm)
	for i := range f.sizes.Sides {
		f.Harm(i, harm)
		f.Signal(f.Net.Agent(i), syscall.SIGKILL)
	}
	for i := range f.sizes.Balancers {
		f.Signal(f.Net.Balancer(i), syscall.SIGKILL)
	}
}

// link harms the connections to the store.
func (f *Fleet) link(e plan.Event, harm judge.Harm) {
	f.HarmStore(harm)
	switch e.Kind {
	case plan.LinkSilent:
		f.proxy.Silence()
	case plan.LinkReset:
		f.proxy.Reset()
	case plan.LinkOneWay:
		f.proxy.Set(proxy.OneWay)
		time.Sleep(e.For)
		f.proxy.Set(proxy.Pass)
	case plan.LinkSlow:
		f.proxy.Set(proxy.Slow)
		time.Sleep(e.For)
		f.proxy.Set(proxy.Pass)
	}
}

// slowStore is how long a slow store takes over each call.
const slowStore = 250 * time.Millisecond

func (f *Fleet) store(e plan.Event, harm judge.Harm) {
	modes := map[plan.Kind]fake.Mode{
		plan.StoreBusy:   fake.Unavailable,
		plan.StoreSilent: fake.Silent,
		plan.StoreReset:  fake.RequestLost,
		plan.StoreLost:   fake.AnswerLost,
		plan.StoreLate:   fake.AppliedLate,
	}
	mode, ok := modes[e.Kind]
	delay := time.Duration(0)
	if e.Kind == plan.StoreSlow {
		ok = true
		delay = slowStore
	}
	if !ok {
		return
	}
	f.HarmStore(harm)
	f.Store.SetMode(mode, 1, delay)
	time.Sleep(e.For)
	f.Store.SetMode(fake.Normal, 0, 0)
}
