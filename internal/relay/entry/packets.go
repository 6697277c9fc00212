package entry

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"time"

	"github.com/clementinewing/clementinewing/internal/relay/frame"
	"github.com/clementinewing/clementinewing/internal/relay/roster"
	"github.com/clementinewing/clementinewing/internal/relay/router"
	"github.com/clementinewing/clementinewing/internal/world/link"
)

// readCallers handles the packets of callers until the socket is closed.
func (b *Balancer) readCallers() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, _, err := b.callers.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			b.logSocketError("reading from the caller socket", err)
			continue
		}
		p, err := b.codec.FromCaller(buffer[:n])
		now := time.Now()
		b.mutex.Lock()
		if err != nil {
			b.counts.malformed++
		} else {
			b.lastPacketAt = now
			b.counts.packets++
			b.execute(b.router.Step(now, router.Packet{
				Packet: p,
				Raw:    buffer[:n],
			}))
		}
		b.mutex.Unlock()
	}
}

// logSocketError logs a socket error, except during shutdown.
func (b *Balancer) logSocketError(doing string, err error) {
	if b.stopping.Load() {
		return
	}
	b.log.Important.Warn().Err(err).Msg(doing + " failed")
	time.Sleep(time.Millisecond)
}

// execute carries out the actions of the router.
func (b *Balancer) execute(actions []router.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case router.Send:
			b.counts.forwarded[a.Reason]++
			b.logForward(a)
			b.send(a.To, a.Forward)
		case router.OwnerQuery:
			b.counts.ownerQueries += uint64(len(a.To))
			b.logOwnerQuery(a)
			for _, h := range a.To {
				b.send(h, a.Query)
			}
		case router.OwnerBatch:
			b.counts.ownerBatches++
			b.counts.ownerFlows += uint64(len(a.Batch.Flows))
			b.send(a.To, a.Batch)
		case router.LookupSettled:
			b.counts.lookups[a.Outcome]++
			b.logLookup(a)
		case router.ReadRecord:
			b.recordWanted = true
		case router.CapacityChanged:
			b.recordCapacity(a)
		case router.OwnerFound:
			b.recordLatency(LatencyOpening, a.Latency)
		case router.Refuse:
			b.counts.rejected[a.Reason]++
			b.logOutcome("opening refused", a.Packet, a.Reason)
			b.sendReset(a.Packet)
		case router.Reset:
			b.counts.resets[a.Reason]++
			b.logOutcome("flow reset", a.Packet, a.Reason)
			b.sendReset(a.Packet)
		case router.Drop:
			b.counts.dropped[a.Reason]++
			b.logOutcome("packet dropped", a.Packet, a.Reason)
		}
	}
}

func (b *Balancer) sendReset(p link.Packet) {
	to := b.codec.Caller(p.Key)
	if _, err := b.callers.WriteToUDPAddrPort(b.codec.Reset(p), to); err != nil {
		b.logSocketError("sending a reset", err)
	}
}

func (b *Balancer) send(to frame.Host, m frame.Message) {
	b.sendBuffer = frame.Append(b.sendBuffer[:0], m)
	_, err := b.inner.WriteToUDPAddrPort(b.sendBuffer, netip.AddrPortFrom(to.Addr(), b.settings.InnerPort))
	if err != nil {
		b.counts.sendErrors++
		b.log.Routine.Warn().Err(err).Str("to", to.String()).Msg("sending to a process failed")
	}
}

// readInner handles the datagrams of other processes until the socket is closed.
func (b *Balancer) readInner(ctx context.Context) {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, _, err := b.inner.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			b.logSocketError("reading from the inner socket", err)
			continue
		}
		m, err := frame.Decode(buffer[:n])
		b.mutex.Lock()
		if err != nil {
			b.counts.malformed++
		} else {
			b.handleMessage(ctx, time.Now(), m)
		}
		b.mutex.Unlock()
	}
}

func (b *Balancer) handleMessage(ctx context.Context, now time.Time, m frame.Message) {
	b.observeTime(now)
	switch m := m.(type) {
	case frame.Owner:
		b.execute(b.router.Step(now, router.Hint{
			Owner: m,
		}))
	case frame.Return:
		p, err := b.codec.FromCaller(m.Packet)
		if err != nil {
			b.counts.malformed++
			return
		}
		b.execute(b.router.Step(now, router.Returned{
			Packet: p,
			Return: m,
		}))
	case frame.Denial:
		b.execute(b.router.Step(now, router.Denied{
			Denial: m,
		}))
	case frame.OwnerAnswers:
		b.execute(b.router.Step(now, router.BatchAnswered{
			OwnerAnswers: m,
		}))
	case frame.LoadReport:
		b.handleLoadReport(now, m)
	case frame.Heartbeat:
		b.handleHeartbeat(ctx, now, m)
	case frame.MemberList:
		b.handleMemberList(now, m)
	default:
		b.counts.malformed++
	}
}

// handleLoadReport applies the load report of an agent. If the agent requests it or its
// list of balancers differs, the answer is a member list with the last known state of the
// agent's endpoint.
func (b *Balancer) handleLoadReport(now time.Time, l frame.LoadReport) {
	known := b.members.LiveBalancers(now)
	answer := frame.MemberList{
		Balancers: known,
	}
	registered := b.members.Registered(l.Host)
	if s := b.members.Agent(l.Host); s != nil && s.Service == l.Service {
		answer.State = s.State
		answer.StartedAt = s.StartedAt
	}
	if b.members.ApplyReport(now, l) {
		b.log.Important.Info().
			Str("side", l.Host.String()).
			Uint64("service_id", uint64(l.Service)).
			Str("state", l.State.String()).
			Bool("proven", l.Proven).
			Uint64("born", l.StartedAt).
			Msg("endpoint changed")
	}
	if l.WantsMembers || l.BalancersDigest != frame.NoDigest && l.BalancersDigest != roster.Digest(known) {
		b.send(l.Host, answer)
	}
	if l.WantsRegistration {
		b.sendRegistration(l.Host, registered)
	}
	b.answerEvacuations(now, &l)
}

// handleHeartbeat applies the heartbeat of another balancer.
func (b *Balancer) handleHeartbeat(ctx context.Context, now time.Time, p frame.Heartbeat) {
	if b.members.ApplyHeartbeat(now, p) {
		b.log.Important.Info().Str("balancer", p.Host.String()).Msg("balancer discovered")
	}
	first := b.mergeEvacuations(&p)
	if p.StoreAgeMS != frame.StoreAgeUnknown && b.evacuations.source.TellsStoreAge(now, &p) {
		b.pollSchedule.RecordPoll(now.Add(-time.Duration(p.StoreAgeMS) * time.Millisecond))
	}
	if first {
		b.answerWaitingAgents(now)
	}
	if p.WantsMembers {
		b.send(p.Host, frame.MemberList{
			Balancers: b.members.LiveBalancers(now),
			Agents:    b.members.PresentAgents(),
		})
		b.send(p.Host, b.newHeartbeat(now, false))
	}
	newer := p.PlanVersion > b.activePlan.Version()
	if p.PlanVersion == 0 {
		// The heartbeat of an earlier release tells the revision only.
		newer = p.Revision > b.activePlan.Revision()
	}
	if newer && !b.fetchingPlan {
		b.fetchingPlan = true
		go b.fetchPlan(ctx, p.PlanVersion)
	}
}

// handleMemberList adds the members that another balancer knows and sends a heartbeat to
// the new ones.
func (b *Balancer) handleMemberList(now time.Time, r frame.MemberList) {
	heartbeat := b.newHeartbeat(now, true)
	for _, h := range r.Balancers {
		if b.members.AddBalancer(now, h) {
			b.send(h, heartbeat)
		}
	}
	for _, h := range r.Agents {
		if b.members.ExpectAgent(now, h) {
			b.send(h, heartbeat)
		}
	}
}

func (b *Balancer) newHeartbeat(now time.Time, wantsMembers bool) frame.Heartbeat {
	age := uint32(frame.StoreAgeUnknown)
	if at := b.pollSchedule.LastOwnPoll(); !at.IsZero() {
		age = uint32(now.Sub(at).Milliseconds())
	}
	return frame.Heartbeat{
		Host:         b.self,
		Process:      b.process,
		PlanVersion:  b.activePlan.Version(),
		Revision:     b.activePlan.Revision(),
		StoreAgeMS:   age,
		Leaving:      b.leaving,
		StoreLost:    b.fitness(now).StoreLost,
		WantsMembers: wantsMembers,
		Evacuations:  b.evacuations.source.Told(),
	}
}

// sendHeartbeats sends a heartbeat to every other balancer.
func (b *Balancer) sendHeartbeats(now time.Time) {
	p := b.newHeartbeat(now, false)
	for _, h := range b.members.Balancers() {
		b.send(h, p)
	}
}
