package bbrtesthelpers

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// Authority signs certificates for tests.
type Authority struct {
	// Dir is where the files are, CA the authority's certificate.
	Dir string
	CA  string

	cert   *x509.Certificate
	key    *ecdsa.PrivateKey
	serial int64
}

// NewAuthority makes an authority whose files lie in a directory of the test.
func NewAuthority(t *testing.T) *Authority {
	t.Helper()
	a := &Authority{Dir: t.TempDir()}
	a.CA = filepath.Join(a.Dir, "ca.pem")
	template := a.template("authority")
	template.IsCA, template.BasicConstraintsValid, template.KeyUsage = true, true, x509.KeyUsageCertSign
	var err error
	if a.key, err = ecdsa.GenerateKey(elliptic.P256(), rand.Reader); err != nil {
		t.Fatal(err)
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &a.key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	if a.cert, err = x509.ParseCertificate(der); err != nil {
		t.Fatal(err)
	}
	a.write(t, a.CA, "CERTIFICATE", der)
	return a
}

func (a *Authority) template(name string) *x509.Certificate {
	a.serial++
	return &x509.Certificate{
		SerialNumber: big.NewInt(a.serial), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
}

// Issue writes a certificate for this machine, and its key, and returns the
// files' names and the serial number. An earlier one of the same name is
// replaced.
func (a *Authority) Issue(t *testing.T, name string) (cert, key string, serial int64) {
	t.Helper()
	template := a.template(name)
	template.IPAddresses = []net.IP{net.IPv4(127, 0, 0, 1), Host()}
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &private.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	encoded, err := x509.MarshalPKCS8PrivateKey(private)
	if err != nil {
		t.Fatal(err)
	}
	cert, key = filepath.Join(a.Dir, name+".pem"), filepath.Join(a.Dir, name+".key")
	a.write(t, cert, "CERTIFICATE", der)
	a.write(t, key, "PRIVATE KEY", encoded)
	return cert, key, a.serial
}

func (a *Authority) write(t *testing.T, file, kind string, der []byte) {
	t.Helper()
	if err := os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		t.Fatal(err)
	}
}
