package agent

import (
	"errors"
	"net"
	"net/netip"
	"syscall"
	"time"

	"github.com/clementinewing/clementinewing/internal/relay/admit"
	"github.com/clementinewing/clementinewing/internal/relay/frame"
	"github.com/clementinewing/clementinewing/internal/world/link"
)

// readSocket passes each datagram of a socket to handle until the socket is closed. Log
// lines begin with doing.
func (a *Agent) readSocket(c *net.UDPConn, doing string, handle func(b []byte)) {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, _, err := c.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			a.logSocketError(doing, err)
			continue
		}
		a.mutex.Lock()
		handle(buffer[:n])
		a.mutex.Unlock()
	}
}

// logSocketError logs a socket error, except during shutdown.
func (a *Agent) logSocketError(doing string, err error) {
	if a.stopping.Load() {
		return
	}
	a.log.Important.Warn().Err(err).Msg(doing + " failed")
	time.Sleep(time.Millisecond)
}

func (a *Agent) readInner() {
	a.readSocket(a.inner, "reading from the inner socket", func(b []byte) {
		m, err := frame.Decode(b)
		if err != nil {
			a.counts.malformed++
			return
		}
		a.handleMessage(time.Now(), m)
	})
}

// endpointRefuses reports whether the endpoint's address refuses connections. Only a refused
// connection proves that no process listens there; a timeout proves nothing.
func (a *Agent) endpointRefuses() (refused bool) {
	c, err := net.DialTimeout("tcp4", a.settings.Upstream.String(), probeTimeout)
	if err == nil {
		_ = c.Close()
	}
	refused = errors.Is(err, syscall.ECONNREFUSED)
	a.log.Important.Info().Bool("refused", refused).AnErr("error", err).Msg("endpoint probed")
	return refused
}

// probeEndpoint checks whether a process listens at the endpoint's address.
func (a *Agent) probeEndpoint() {
	start := time.Now()
	refused := a.endpointRefuses()
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.counts.probes++
	if refused {
		a.execute(a.controller.Step(time.Now(), admit.EndpointUnreachable{
			ProbedAt: start,
		}))
	}
}

func (a *Agent) readOutbound() {
	a.readSocket(a.outbound, "reading from the outbound socket", func(b []byte) {
		p, mark, bounced, err := a.codec.FromEndpoint(b)
		if err != nil {
			a.counts.malformed++
			return
		}
		now := time.Now()
		a.codec.ClearMark(b)
		if bounced {
			a.execute(a.controller.Step(now, admit.PacketBounced{
				Packet: p,
				Raw:    b,
				Mark:   mark,
			}))
			return
		}
		a.execute(a.controller.Step(now, admit.PacketFromEndpoint{
			Packet: p,
			Raw:    b,
		}))
	})
}

func (a *Agent) handleMessage(now time.Time, m frame.Message) {
	switch m := m.(type) {
	case *frame.Forward:
		p, err := a.codec.FromCaller(m.Packet)
		if err != nil {
			a.counts.malformed++
			return
		}
		a.counts.arrived++
		a.execute(a.controller.Step(now, admit.PacketForEndpoint{
			Packet:  p,
			Forward: m,
		}))
	case frame.Owner:
		a.execute(a.controller.Step(now, admit.OwnerAnnounced{
			Owner: m,
		}))
	case frame.OwnerQuery:
		a.execute(a.controller.Step(now, admit.OwnerQueried{
			OwnerQuery: m,
		}))
	case frame.OwnerBatch:
		a.counts.ownerBatches++
		a.counts.ownerFlows += uint64(len(m.Flows))
		a.execute(a.controller.Step(now, admit.OwnersQueried{
			OwnerBatch: m,
		}))
	case frame.Heartbeat:
		a.handleHeartbeat(now, m)
	case frame.MemberList:
		a.handleMemberList(now, m)
	case frame.Registration:
		a.execute(a.controller.Step(now, admit.RegistrationKnown{
			Status: m.Status,
		}))
	case frame.Evacuations:
		a.execute(a.controller.Step(now, admit.EvacuationsReceived{
			Evacuations: m,
		}))
	default:
		a.counts.malformed++
	}
}

// execute carries out the actions of the controller.
func (a *Agent) execute(actions []admit.Action) {
	for _, x := range actions {
		switch x := x.(type) {
		case admit.Deliver:
			a.codec.SetMark(x.Raw, x.Mark)
			if _, err := a.upstream.Write(x.Raw); err != nil {
				a.counts.sendErrors++
			}
		case admit.SendToCaller:
			a.sendToCaller(x.Key, x.Raw)
		case admit.ForwardToCandidate:
			a.counts.forwarded[x.Reason]++
			a.logForward(x)
			a.send(x.To, x.Forward)
		case admit.ReturnToBalancer:
			a.counts.returned[x.Reason]++
			a.logReturn(x)
			a.send(x.To, x.Return)
		case admit.AnnounceOwner, admit.DenyOwnership, admit.AnswerOwners:
			a.sendAnswer(x)
		case admit.OpeningShed, admit.RequestQueued, admit.RequestAbandoned:
			a.recordQueue(x)
		case admit.FlowAccepted:
			a.recordAccepted(x)
		case admit.RequestStarted:
			a.counts.requests++
			a.logRequestStarted(x)
		case admit.RequestAnswered:
			a.recordLatency(LatencyRequest, x.Latency)
		case admit.ReportRefused:
			a.recordReportRefused(x)
		case admit.EvacuationChanged:
			a.recordEvacuationChange(x)
		case admit.SuspicionChanged:
			a.applySuspicion(x)
		case admit.StateChanged:
			a.applyStateChange(x)
		}
	}
}

// sendAnswer tells a balancer or another agent who owns flows.
func (a *Agent) sendAnswer(x admit.Action) {
	switch x := x.(type) {
	case admit.AnnounceOwner:
		a.send(x.To, x.Owner)
	case admit.DenyOwnership:
		a.send(x.To, x.Denial)
	case admit.AnswerOwners:
		a.countAnswers(x.Answers.Verdicts)
		a.send(x.To, x.Answers)
	}
}

// recordQueue counts and logs what happens to queued SYNs and requests.
func (a *Agent) recordQueue(x admit.Action) {
	switch x := x.(type) {
	case admit.OpeningShed:
		a.counts.shed++
		a.logShed(x)
	case admit.RequestQueued:
		a.counts.queued++
		a.logRequestQueued(x)
	case admit.RequestAbandoned:
		a.counts.abandoned++
		a.logRequestAbandoned(x)
	}
}

func (a *Agent) sendToCaller(k link.Key, raw []byte) {
	if _, err := a.outbound.WriteToUDPAddrPort(raw, a.codec.Caller(k)); err != nil {
		a.counts.sendErrors++
		a.log.Routine.Warn().Err(err).Msg("sending to a caller failed")
	}
}

func (a *Agent) send(to frame.Host, m frame.Message) {
	a.sendBuffer = frame.Append(a.sendBuffer[:0], m)
	_, err := a.inner.WriteToUDPAddrPort(a.sendBuffer, netip.AddrPortFrom(to.Addr(), a.settings.InnerPort))
	if err != nil {
		a.counts.sendErrors++
		a.log.Routine.Warn().Err(err).Str("to", to.String()).Msg("sending to a process failed")
	}
}
