// Package bbrtls makes TLS configurations whose certificates are read again when
// their files change, so that no restart is needed.
//
// # Usage
//
//	r, err := bbrtls.NewReloader("cert.pem", "key.pem")
//	cfg := r.ServerConfig()
package bbrtls

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// recheckAfter is how long a certificate is used without a look at its files.
const recheckAfter = 5 * time.Second

// Reloader serves a certificate from files.
type Reloader struct {
	certFile, keyFile string

	mu        sync.Mutex
	cert      *tls.Certificate
	modified  time.Time
	checkedAt time.Time
}

// NewReloader reads a certificate and its key.
func NewReloader(certFile, keyFile string) (*Reloader, error) {
	r := &Reloader{certFile: certFile, keyFile: keyFile}
	if err := r.read(); err != nil {
		return nil, err
	}
	return r, nil
}

// modTime returns when the newer of the two files was changed.
func (r *Reloader) modTime() (time.Time, error) {
	var newest time.Time
	for _, f := range []string{r.certFile, r.keyFile} {
		info, err := os.Stat(f)
		if err != nil {
			return newest, errors.Wrap(err, "look at a certificate's file")
		}
		if info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	return newest, nil
}

func (r *Reloader) read() error {
	modified, err := r.modTime()
	if err != nil {
		return err
	}
	cert, err := tls.LoadX509KeyPair(r.certFile, r.keyFile)
	if err != nil {
		return errors.Wrapf(err, "read the certificate %s and its key", r.certFile)
	}
	r.cert, r.modified = &cert, modified
	return nil
}

// Certificate returns the present certificate. While new files can't be read,
// the old certificate stays.
func (r *Reloader) Certificate() *tls.Certificate {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if now.Sub(r.checkedAt) >= recheckAfter {
		r.checkedAt = now
		if modified, err := r.modTime(); err == nil && !modified.Equal(r.modified) {
			// A half-written pair fails and is tried again.
			_ = r.read()
		}
	}
	return r.cert
}

// ServerConfig returns a configuration for listeners.
func (r *Reloader) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return r.Certificate(), nil
		},
	}
}

// LoadPool reads certificates of authorities.
func LoadPool(file string) (*x509.CertPool, error) {
	pem, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read an authority's certificate")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.Errorf("%s holds no certificate", file)
	}
	return pool, nil
}

// MutualServer returns a configuration for a listener that asks for
// certificates of the authority.
func MutualServer(r *Reloader, authority *x509.CertPool) *tls.Config {
	cfg := r.ServerConfig()
	cfg.ClientAuth = tls.RequireAndVerifyClientCert
	cfg.ClientCAs = authority
	cfg.NextProtos = []string{"h2", "http/1.1"}
	return cfg
}

// MutualClient returns the configuration of the other side.
func MutualClient(r *Reloader, authority *x509.CertPool) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		RootCAs:    authority,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return r.Certificate(), nil
		},
	}
}
