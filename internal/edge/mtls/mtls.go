// Package mtls secures the gRPC links between balancers and agents with mutual
// TLS 1.3. One certificate authority must have signed the certificates of both ends.
package mtls

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

// ServerName is the DNS name in the certificate of every balancer and agent. It is
// verified instead of an address because addresses change with each replaced VM.
const ServerName = "clementinewing"

// ErrNoAuthority means that the file of the certificate authority holds no
// certificate.
var ErrNoAuthority = errors.New("no certificate in the file of the certificate authority")

// Files holds the paths of the PEM files of a balancer or agent.
type Files struct {
	Certificate string
	Key         string
	Authority   string
}

// keyPair loads a certificate with its key and reloads both when the file of the
// certificate changes, so that they can be rotated without a restart.
type keyPair struct {
	files       Files
	mutex       sync.Mutex
	modifiedAt  time.Time
	certificate *tls.Certificate
}

// Load creates the credentials of both ends of a link from PEM files.
func Load(f Files) (server, client credentials.TransportCredentials, err error) {
	defer func() { err = eris.Wrap(err, "loading TLS files") }()
	authority, err := os.ReadFile(f.Authority)
	if err != nil {
		return nil, nil, err
	}
	p := &keyPair{
		files: f,
	}
	if _, err = p.currentCertificate(); err != nil {
		return nil, nil, err
	}
	return buildCredentials(authority, p.currentCertificate)
}

// NewCredentials creates the credentials of both ends of a link from a certificate
// in memory.
func NewCredentials(authority []byte, certificate tls.Certificate) (server, client credentials.TransportCredentials, err error) {
	defer func() { err = eris.Wrap(err, "creating TLS credentials") }()
	return buildCredentials(authority, func() (*tls.Certificate, error) {
		return &certificate, nil
	})
}

func buildCredentials(authority []byte, current func() (*tls.Certificate, error)) (server, client credentials.TransportCredentials, err error) {
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return nil, nil, ErrNoAuthority
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
		ServerName: ServerName,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return current()
		},
	})
	return server, client, nil
}

// currentCertificate returns the certificate and reloads it first if its file has
// changed. If the file cannot be read, the last valid certificate stays in use.
func (p *keyPair) currentCertificate() (*tls.Certificate, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	info, err := os.Stat(p.files.Certificate)
	if err == nil && p.certificate != nil && info.ModTime().Equal(p.modifiedAt) {
		return p.certificate, nil
	}
	if err == nil {
		err = p.reload(info.ModTime())
	}
	if p.certificate == nil {
		return nil, err
	}
	return p.certificate, nil
}

func (p *keyPair) reload(modifiedAt time.Time) error {
	c, err := tls.LoadX509KeyPair(p.files.Certificate, p.files.Key)
	if err != nil {
		return err
	}
	p.certificate = &c
	p.modifiedAt = modifiedAt
	return nil
}
