// Package kvpb is the generated protocol of the platform's key-value service.
package kvpb

//go:generate protoc --go_out=. --go_opt=paths=source_relative --go-grpc_out=. --go-grpc_opt=paths=source_relative kv.proto
