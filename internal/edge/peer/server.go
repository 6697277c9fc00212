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
	// fetchLife is the deadline of fetching a file.
	fetchLife = 3 * time.Second
	// serverIdle is after how long a server closes a link without calls.
	serverIdle = 2 * time.Minute
)

// Files gives the content of accepted files to other balancers.
type Files interface {
	// File finds the file with the given hash.
	File(hash string) (content []byte, ok bool)
}

// WithFiles sets where the files come from that other balancers ask for.
func WithFiles(f Files) Option {
	return func(o *options) {
		o.files = f
	}
}

// Handler takes the calls of other nodes.
type Handler interface {
	Renewed(m lease.Renew) lease.RenewReply
	Exchanged(m member.Exchange) member.ExchangeReply
}

// Server takes calls at a listener.
type Server struct {
	UnimplementedFleetServer
	handler Handler
	files   Files
	grpc    *grpc.Server
}

// NewServer makes a server that brings calls to the handler.
func NewServer(h Handler, opts ...Option) (s *Server, err error) {
	o, err := gather(opts)
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
				MaxConnectionIdle: serverIdle,
			}),
		),
	}
	RegisterFleetServer(s.grpc, s)
	return s
}

// Serve takes calls until Stop.
func (s *Server) Serve(l net.Listener) error {
	return s.grpc.Serve(l)
}

// Stop ends all links at once.
func (s *Server) Stop() {
	s.grpc.Stop()
}

// Renew implements FleetServer.
func (s *Server) Renew(_ context.Context, in *RenewRequest) (*RenewResponse, error) {
	m, err := readRenew(in)
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	return writeRenewReply(s.handler.Renewed(m)), nil
}

// Exchange implements FleetServer.
func (s *Server) Exchange(_ context.Context, in *ExchangeRequest) (*ExchangeResponse, error) {
	m, err := readExchange(in)
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	return writeExchangeReply(s.handler.Exchanged(m)), nil
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
