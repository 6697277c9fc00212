// Package certs is an in-memory certificate authority for tests and for demonstrations
// on one machine.
package certs

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"time"

	"github.com/rotisserie/eris"

	"github.com/clementinewing/clementinewing/internal/edge/mtls"
)

const (
	certificateTTL = 24 * time.Hour
	serialBits     = 120
)

// Authority issues certificates.
type Authority struct {
	key         *ecdsa.PrivateKey
	certificate *x509.Certificate
	// PEM is the certificate of the authority.
	PEM []byte
}

// Pair is a certificate and its private key, both in PEM.
type Pair struct {
	Certificate []byte
	Key         []byte
}

// New returns an authority whose certificate is valid for a day.
func New() (a *Authority, err error) {
	defer func() { err = eris.Wrap(err, "making a certificate authority") }()
	a = &Authority{}
	a.key, err = ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	template, err := newTemplate("authority")
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &a.key.PublicKey, a.key)
	if err != nil {
		return nil, err
	}
	a.certificate, err = x509.ParseCertificate(der)
	a.PEM = encodePEM("CERTIFICATE", der)
	return a, err
}

// Issue returns a server and client certificate with name as its common name.
func (a *Authority) Issue(name string) (p Pair, err error) {
	defer func() { err = eris.Wrapf(err, "issuing a certificate for %s", name) }()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return p, err
	}
	template, err := newTemplate(name)
	if err != nil {
		return p, err
	}
	template.DNSNames = []string{mtls.ServerName}
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return p, err
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return p, err
	}
	return Pair{
		Certificate: encodePEM("CERTIFICATE", der),
		Key:         encodePEM("PRIVATE KEY", private),
	}, nil
}

// TLS parses the pair into a tls.Certificate.
func (p Pair) TLS() (tls.Certificate, error) {
	return tls.X509KeyPair(p.Certificate, p.Key)
}

func newTemplate(name string) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, err
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject: pkix.Name{
			CommonName: name,
		},
		NotBefore: now.Add(-time.Hour),
		NotAfter:  now.Add(certificateTTL),
		KeyUsage:  x509.KeyUsageDigitalSignature,
	}, nil
}

func encodePEM(kind string, der []byte) []byte {
	var b bytes.Buffer
	_ = pem.Encode(&b, &pem.Block{
		Type:  kind,
		Bytes: der,
	})
	return b.Bytes()
}
