package fleet

import (
	"errors"
	"net/netip"
	"syscall"
	"time"

	"github.com/clementinewing/clementinewing/internal/soak/plan"
	"github.com/clementinewing/clementinewing/internal/soak/proxy"
	"github.com/clementinewing/clementinewing/internal/soak/verify"
	"github.com/clementinewing/clementinewing/platform/fake"
)

// Inject carries out one event of a plan and returns when the event is over.
// AddRoute and DropRoute are left to the caller.
func (f *Fleet) Inject(e plan.Event) (err error) {
	now := time.Now()
	w := verify.FaultWindow{
		From:  now,
		Until: now.Add(e.Duration + restartDelay),
	}
	switch e.Kind {
	case plan.KillBalancer:
		f.RecordBalancerFault(w)
		f.Signal(f.Net.Balancer(e.Target), syscall.SIGKILL)
	case plan.StopBalancer:
		f.Signal(f.Net.Balancer(e.Target), syscall.SIGTERM)
	case plan.PauseBalancer:
		f.RecordBalancerFault(w)
		f.pause(f.Net.Balancer(e.Target), e.Duration)
	case plan.Hangup:
		return errors.Join(f.changeSettings(f.Net.Balancer(e.Target)), f.changeSettings(f.Net.Agent(e.Target)))
	case plan.KillAgent:
		f.RecordAgentFault(e.Target, w)
		f.Signal(f.Net.Agent(e.Target), syscall.SIGKILL)
	case plan.StopAgent:
		f.Signal(f.Net.Agent(e.Target), syscall.SIGTERM)
	case plan.PauseAgent:
		f.RecordAgentFault(e.Target, w)
		f.pause(f.Net.Agent(e.Target), e.Duration)
	case plan.KillAll:
		f.killAll(w)
	case plan.RollBalancers:
		f.stopBalancers(e.Duration)
	case plan.RollAgent:
		f.stop(f.Net.Agent(e.Target), e.Duration)
	case plan.CrashEndpoint, plan.LeaveEndpoint:
		return f.replaceEndpoint(e)
	case plan.LinkSilent, plan.LinkReset, plan.LinkOneWay, plan.LinkSlow:
		f.injectLinkFault(e, w)
	case plan.StoreRestored:
		f.restoreStore(e, w)
	case plan.EvacuateZone:
		f.evacuate(e)
	default:
		f.injectStoreFault(e, w)
	}
	return nil
}

// pause suspends a process for a while.
func (f *Fleet) pause(a netip.Addr, duration time.Duration) {
	f.Signal(a, syscall.SIGSTOP)
	time.Sleep(duration)
	f.Signal(a, syscall.SIGCONT)
}

// replaceEndpoint ends an endpoint and starts its next incarnation.
func (f *Fleet) replaceEndpoint(e plan.Event) error {
	f.replacing[e.Target].Lock()
	defer f.replacing[e.Target].Unlock()
	if e.Kind == plan.LeaveEndpoint {
		f.ShutdownEndpoint(e.Target)
		return f.StartEndpoint(e.Target)
	}
	f.CrashEndpoint(e.Target)
	time.Sleep(e.Duration)
	return f.StartEndpoint(e.Target)
}

// stopBalancers ends all balancers with SIGTERM.
func (f *Fleet) stopBalancers(away time.Duration) {
	for i := range f.sizes.Balancers {
		f.stop(f.Net.Balancer(i), away)
	}
}

func (f *Fleet) killAll(w verify.FaultWindow) {
	f.RecordBalancerFault(w)
	for i := range f.sizes.Agents {
		f.RecordAgentFault(i, w)
		f.Signal(f.Net.Agent(i), syscall.SIGKILL)
	}
	for i := range f.sizes.Balancers {
		f.Signal(f.Net.Balancer(i), syscall.SIGKILL)
	}
}

// injectLinkFault injects a fault into the connections to the store.
func (f *Fleet) injectLinkFault(e plan.Event, w verify.FaultWindow) {
	f.RecordStoreFault(w)
	switch e.Kind {
	case plan.LinkSilent:
		f.proxy.SilenceOpen()
	case plan.LinkReset:
		f.proxy.ResetOpen()
	case plan.LinkOneWay:
		f.proxy.SetMode(proxy.OneWay)
		time.Sleep(e.Duration)
		f.proxy.SetMode(proxy.Pass)
	case plan.LinkSlow:
		f.proxy.SetMode(proxy.Slow)
		time.Sleep(e.Duration)
		f.proxy.SetMode(proxy.Pass)
	}
}

// rewriteDelay is the time from the return of a restored store until the operator has
// written its items again.
const rewriteDelay = 300 * time.Millisecond

// restoreStore takes the store away and brings it back from an older copy.
func (f *Fleet) restoreStore(e plan.Event, w verify.FaultWindow) {
	w.Until = w.Until.Add(rewriteDelay)
	f.RecordStoreFault(w)
	f.Store.SetMode(fake.RequestLost, 1, 0)
	time.Sleep(e.Duration)
	f.Store.LoseChanges(uint64(e.Target))
	f.mutex.Lock()
	f.record.Restores = append(f.record.Restores, time.Now())
	f.mutex.Unlock()
	f.Store.SetMode(fake.Normal, 0, 0)
	time.Sleep(rewriteDelay)
	f.Store.Rewrite()
}

// slowStoreDelay is the delay of each call to a slow store.
const slowStoreDelay = 250 * time.Millisecond

func (f *Fleet) injectStoreFault(e plan.Event, w verify.FaultWindow) {
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
		delay = slowStoreDelay
	}
	if !ok {
		return
	}
	f.RecordStoreFault(w)
	f.Store.SetMode(mode, 1, delay)
	time.Sleep(e.Duration)
	f.Store.SetMode(fake.Normal, 0, 0)
}
