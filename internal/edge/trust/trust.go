// Package trust secures the gRPC links between the roles: TLS 1.3 on both sides,
// with one authority that both ends' certificates must come from.
package trust

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc/credentials"
)

// Name is the DNS name that the certificate of every role carries; addresses
// change with each replaced VM.
const Name = "clementinewing"

// ErrAuthority means that the authority's file holds no certificate.
var ErrAuthority = errors.New("no certificate in the authority's file")

// Files names the PEM files of one role.
type Files struct {
	Certificate string
	Key         string
	Authority   string
}

// pair is a certificate that is read anew when its file changes, so that it can
// be rotated without a restart.
type pair struct {
	files   Files
	mutex   sync.Mutex
	changed time.Time
	loaded  *tls.Certificate
}

// Load makes the credentials of both ends of a link.
func Load(f Files) (server, client credentials.TransportCredentials, err error) {
	defer func() { err = eris.Wrap(err, "loading TLS files") }()
	authority, err := os.ReadFile(f.Authority)
	if err != nil {
		return nil, nil, err
	}
	p := &pair{
		files: f,
	}
	if _, err = p.current(); err != nil {
		return nil, nil, err
	}
	return build(authority, p.current)
}

// Make makes the credentials of both ends from a certificate in memory.
func Make(authority []byte, certificate tls.Certificate) (server, client credentials.TransportCredentials, err error) {
	defer func() { err = eris.Wrap(err, "making TLS credentials") }()
	return build(authority, func() (*tls.Certificate, error) {
		return &certificate, nil
	})
}

func build(authority []byte, current func() (*tls.Certificate, error)) (server, client credentials.TransportCredentials, err error) {
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return nil, nil, ErrAuthority
	}
	server = credentials.NewTLS(&tls.Config{
		MinVersion: tls.VersionTLS13,
		ClientAuth: tls.RequireAndVerifyClientCert,
		ClientCAs:  pool,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return current()
		},
	})
	client = credentials.NewTLS(&tls.Config{
		MinVersion: tls.VersionTLS13,
		RootCAs:    pool,
		ServerName: Name,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return current()
		},
	})
	return server, client, nil
}

// current gives the certificate, read anew if its file has changed. A file that
// cannot be read leaves the last good certificate in use.
func (p *pair) current() (*tls.Certificate, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	info, err := os.Stat(p.files.Certificate)
	if err == nil && p.loaded != nil && info.ModTime().Equal(p.changed) {
		return p.loaded, nil
	}
	if err == nil {
		err = p.reload(info.ModTime())
	}
	if p.loaded == nil {
		return nil, err
	}
	return p.loaded, nil
}

func (p *pair) reload(changed time.Time) error {
	c, err := tls.LoadX509KeyPair(p.files.Certificate, p.files.Key)
	if err != nil {
		return err
	}
	p.loaded = &c
	p.changed = changed
	return nil
}
