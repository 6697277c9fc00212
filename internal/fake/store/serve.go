package store

import (
	"context"
	"errors"
	"net"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/clementinewing/clementinewing/internal/edge/kvpb"
	"github.com/clementinewing/clementinewing/internal/edge/store"
)

// maxMessageBytes allows for the largest value and the other fields of a message.
const maxMessageBytes = store.MaxValueBytes + 4<<10

// Serve serves gRPC calls from the service until ctx ends.
func Serve(ctx context.Context, listener net.Listener, s *Service, options ...grpc.ServerOption) (err error) {
	defer func() { err = eris.Wrap(err, "serving the fake store") }()
	options = append(options, grpc.MaxRecvMsgSize(maxMessageBytes))
	g := grpc.NewServer(options...)
	kvpb.RegisterKeyValueServer(g, &server{
		service: s,
	})
	stop := context.AfterFunc(ctx, g.Stop)
	defer stop()
	return g.Serve(listener)
}

type server struct {
	kvpb.UnimplementedKeyValueServer
	service *Service
}

// Get implements kvpb.KeyValueServer.
func (s *server) Get(ctx context.Context, q *kvpb.GetRequest) (*kvpb.GetReply, error) {
	e, err := s.service.Get(ctx, q.GetKey())
	if err != nil {
		return nil, statusFromError(err)
	}
	return &kvpb.GetReply{
		Entry: entryMessage(e),
	}, nil
}

// Swap implements kvpb.KeyValueServer.
func (s *server) Swap(ctx context.Context, q *kvpb.SwapRequest) (*kvpb.SwapReply, error) {
	e, err := s.service.Swap(ctx, q.GetKey(), q.GetVersion(), q.GetValue())
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		return &kvpb.SwapReply{
			Entry: entryMessage(conflict.Current),
		}, nil
	}
	if err != nil {
		return nil, statusFromError(err)
	}
	return &kvpb.SwapReply{
		Swapped: true,
		Entry:   entryMessage(e),
	}, nil
}

// Lease implements kvpb.KeyValueServer.
func (s *server) Lease(ctx context.Context, q *kvpb.LeaseRequest) (*kvpb.LeaseReply, error) {
	l, err := s.service.Lease(ctx, q.GetName(), q.GetHolder(), q.GetSeconds())
	var held *store.HeldError
	if err != nil && !errors.As(err, &held) {
		return nil, statusFromError(err)
	}
	return &kvpb.LeaseReply{
		Granted: err == nil,
		Holder:  l.Holder,
		Token:   l.Token,
	}, nil
}

// Watch implements kvpb.KeyValueServer.
func (s *server) Watch(ctx context.Context, q *kvpb.WatchRequest) (*kvpb.WatchReply, error) {
	e, err := s.service.Watch(ctx, q.GetKey(), q.GetAfter())
	if err != nil {
		return nil, statusFromError(err)
	}
	return &kvpb.WatchReply{
		Entry: entryMessage(e),
	}, nil
}

func entryMessage(e store.Entry) *kvpb.Entry {
	return &kvpb.Entry{
		Key:     e.Key,
		Value:   e.Value,
		Version: e.Version,
	}
}

func statusFromError(err error) error {
	if errors.Is(err, store.ErrTooLarge) {
		return status.Error(codes.InvalidArgument, store.ErrTooLarge.Error())
	}
	return status.Error(codes.Unavailable, err.Error())
}
