package bbrintegration

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net/http"
	"os"
	"testing"

	"github.com/jackc/pgx/v5"
	"github.com/matryer/is"

	"github.com/bluebellroute/bluebellroute/bbrtesthelpers"
)

// security is the TLS of a fleet: instances, operators and callers use
// certificates of one authority.
type security struct {
	authority *bbrtesthelpers.Authority
	// operatorCert and operatorKey are the operator's files.
	operatorCert, operatorKey string
	client                    *http.Client
}

func newSecurity(t *testing.T) *security {
	t.Helper()
	is := is.New(t)
	s := &security{authority: bbrtesthelpers.NewAuthority(t)}
	s.operatorCert, s.operatorKey, _ = s.authority.Issue(t, "operator")
	cert, err := tls.LoadX509KeyPair(s.operatorCert, s.operatorKey)
	is.NoErr(err)
	s.client = &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: s.roots(t), Certificates: []tls.Certificate{cert}}}}
	return s
}

func (s *security) roots(t *testing.T) *x509.CertPool {
	t.Helper()
	pem, err := os.ReadFile(s.authority.CA)
	if err != nil {
		t.Fatal(err)
	}
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(pem)
	return pool
}

// settings issues the instances' certificate and returns the settings with it.
func (s *security) settings(t *testing.T) string {
	t.Helper()
	cert, key, _ := s.authority.Issue(t, "instance")
	return fmt.Sprintf("[tls]\ncallerCert = %s\ncallerKey = %s\nrequireCallers = true\npeerCert = %s\npeerKey = %s\npeerCA = %s\n",
		cert, key, cert, key, s.authority.CA)
}

// serial returns the serial number of the certificate that callers are shown.
func (f *fleet) serial(n int) (int64, error) {
	cfg, err := pgx.ParseConfig(f.url(n))
	if err != nil {
		return 0, err
	}
	serial := int64(0)
	cfg.TLSConfig.VerifyConnection = func(s tls.ConnectionState) error {
		serial = s.PeerCertificates[0].SerialNumber.Int64()
		return nil
	}
	conn, err := pgx.ConnectConfig(f.ctx, cfg)
	if err != nil {
		return 0, err
	}
	return serial, conn.Close(f.ctx)
}

// With TLS everywhere the fleet serves; who has no certificate, or speaks in the
// clear, is turned away; and new certificates need no restart.
func TestTLS(t *testing.T) {
	is := is.New(t)
	s := newSecurity(t)
	f := newFleet(t, options{instances: 2, settings: s.settings(t), security: s})
	f.makeTable()
	conn := f.connect(0)
	_, err := conn.Exec(f.ctx, "INSERT INTO orders (id, shop) VALUES (1, 1)")
	is.NoErr(err)
	token := conn.PgConn().ParameterStatus("bbr.token")
	other := f.connect(1)
	_, err = other.Exec(f.ctx, "SET bbr.token = '"+token+"'")
	is.NoErr(err)
	var n int
	is.NoErr(other.QueryRow(f.ctx, "SELECT count(*) FROM orders").Scan(&n))
	is.Equal(n, 1)

	inClear, err := pgx.ParseConfig(f.url(0))
	is.NoErr(err)
	inClear.TLSConfig, inClear.Fallbacks = nil, nil
	_, err = pgx.ConnectConfig(f.ctx, inClear)
	is.True(err != nil) // a caller in the clear

	stranger := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: s.roots(t)}}}
	resp, err := stranger.Get("https://" + f.instances[0].control() + "/status")
	if err == nil {
		_ = resp.Body.Close()
	}
	is.True(err != nil) // nobody without a certificate
	plain, err := http.Get("http://" + f.instances[0].control() + "/status")
	is.NoErr(err)
	_ = plain.Body.Close()
	is.Equal(plain.StatusCode, http.StatusBadRequest) // nor in the clear

	before, err := f.serial(0)
	is.NoErr(err)
	_, _, renewed := s.authority.Issue(t, "instance")
	is.True(before != renewed)
	f.eventually("callers are shown the new certificate", func() error {
		now, err := f.serial(0)
		if err == nil && now != renewed {
			err = fmt.Errorf("certificate %d", now)
		}
		return err
	})
	_, err = conn.Exec(f.ctx, "INSERT INTO orders (id, shop) VALUES (2, 1)")
	is.NoErr(err) // sessions go on
	f.awaitService()
}
