package peer

import (
	"context"
	"net"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"github.com/clementinewing/clementinewing/internal/fleet/lease"
	"github.com/clementinewing/clementinewing/internal/fleet/member"
)

const (
	// fetchTimeout bounds a call that fetches a file.
	fetchTimeout = 3 * time.Second
	// serverIdleTimeout is the time after which a server closes a link without calls.
	serverIdleTimeout = 2 * time.Minute
)

// Files provides the content of accepted files to other balancers.
type Files interface {
	// File returns the file with the given hash.
	File(hash string) (content []byte, ok bool)
}

// WithFiles sets the source of the files that other balancers fetch.
func WithFiles(f Files) Option {
	return func(o *options) {
		o.files = f
	}
}

// Handler answers the calls of other nodes.
type Handler interface {
	HandleRenew(m lease.Renew) lease.RenewReply
	HandleExchange(m member.Exchange) member.ExchangeReply
}

// Server accepts calls at a listener.
type Server struct {
	UnimplementedFleetServer
	handler Handler
	files   Files
	grpc    *grpc.Server
}

// NewServer creates a server that passes calls to the handler.
func NewServer(h Handler, opts ...Option) (s *Server, err error) {
	o, err := applyOptions(opts)
	if err != nil {
		return nil, err
	}
	return newServer(h, o), nil
}

func newServer(h Handler, o options) *Server {
	s := &Server{
		handler: h,
		files:   o.files,
		grpc: grpc.NewServer(
			grpc.Creds(o.server),
			grpc.MaxRecvMsgSize(maxMessageBytes),
			grpc.WaitForHandlers(true),
			grpc.InitialWindowSize(windowBytes),
			grpc.InitialConnWindowSize(windowBytes),
			grpc.ConnectionTimeout(connectTimeout),
			grpc.KeepaliveParams(keepalive.ServerParameters{
				MaxConnectionIdle: serverIdleTimeout,
			}),
		),
	}
	RegisterFleetServer(s.grpc, s)
	return s
}

// Serve accepts calls until Stop.
func (s *Server) Serve(l net.Listener) error {
	return s.grpc.Serve(l)
}

// Stop closes all links at once and cancels their calls.
func (s *Server) Stop() {
	s.grpc.Stop()
}

// Renew implements FleetServer.
func (s *Server) Renew(_ context.Context, in *RenewRequest) (*RenewResponse, error) {
	m, err := decodeRenew(in)
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	return encodeRenewReply(s.handler.HandleRenew(m)), nil
}

// Exchange implements FleetServer.
func (s *Server) Exchange(_ context.Context, in *ExchangeRequest) (*ExchangeResponse, error) {
	m, err := decodeExchange(in)
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	return encodeExchangeReply(s.handler.HandleExchange(m)), nil
}

// FetchFile implements FleetServer.
func (s *Server) FetchFile(_ context.Context, in *FetchFileRequest) (*FetchFileResponse, error) {
	if s.files == nil {
		return &FetchFileResponse{}, nil
	}
	content, ok := s.files.File(in.GetHash())
	return &FetchFileResponse{
		Found:   ok,
		Content: content,
	}, nil
}
