package certificate_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/pomelospring/pomelospring/certificate"
	"github.com/pomelospring/pomelospring/settings"
)

// authority is a certificate authority with its files in a temporary folder.
type authority struct {
	t      *testing.T
	folder string
	cert   *x509.Certificate
	key    *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	a := &authority{
		t:      t,
		folder: t.TempDir(),
	}
	a.key = a.newKey()
	a.cert = &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		NotAfter:              time.Now().Add(time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, a.cert, a.cert, &a.key.PublicKey, a.key)
	a.must(err)
	a.write("authority.pem", "CERTIFICATE", der)
	return a
}

func (a *authority) must(err error) {
	a.t.Helper()
	if err != nil {
		a.t.Fatal(err)
	}
}

func (a *authority) newKey() *ecdsa.PrivateKey {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	a.must(err)
	return key
}

func (a *authority) path(name string) string { return filepath.Join(a.folder, name) }

func (a *authority) write(name, kind string, der []byte) {
	a.must(os.WriteFile(a.path(name), pem.EncodeToMemory(&pem.Block{
		Type:  kind,
		Bytes: der,
	}), 0o600))
}

// sign writes a certificate with the given serial number, and its key, to the
// same files on each call.
func (a *authority) sign(serial int64) settings.Certificate {
	key := a.newKey()
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial),
		Subject: pkix.Name{
			CommonName: "instance",
		},
		NotAfter:    time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	a.must(err)
	encoded, err := x509.MarshalECPrivateKey(key)
	a.must(err)
	a.write("key.pem", "EC PRIVATE KEY", encoded)
	a.write("cert.pem", "CERTIFICATE", der)
	return settings.Certificate{
		Certificate: a.path("cert.pem"),
		Key:         a.path("key.pem"),
		Authority:   a.path("authority.pem"),
	}
}

// serve accepts TLS connections and writes one byte to each.
func (a *authority) serve(config *tls.Config) string {
	listener, err := tls.Listen("tcp", "127.0.0.1:0", config)
	a.must(err)
	a.t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = conn.Write([]byte{1})
				_ = conn.Close()
			}()
		}
	}()
	return listener.Addr().String()
}

// serial connects and returns the serial number of the server's certificate.
func serial(address string, config *tls.Config) (number int64, err error) {
	conn, err := tls.Dial("tcp", address, config)
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	if _, err = conn.Read(make([]byte, 1)); err != nil {
		return 0, err
	}
	return conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), nil
}

// Client and server each verify the other's certificate.
func TestMutualAuthentication(t *testing.T) {
	logger := &log.Logger{
		Handler: discard.New(),
	}
	own, other := newAuthority(t), newAuthority(t)
	files := own.sign(7)
	server, err := certificate.Server(files, logger)
	own.must(err)
	address := own.serve(server)

	client, err := certificate.Client(files, logger)
	own.must(err)
	if number, err := serial(address, client); err != nil || number != 7 {
		t.Errorf("client with a valid certificate: serial %d, error %v", number, err)
	}
	anonymous, err := certificate.Client(settings.Certificate{
		Authority: own.path("authority.pem"),
	}, logger)
	own.must(err)
	if _, err := serial(address, anonymous); err == nil {
		t.Error("the server accepts a client without a certificate")
	}
	foreign, err := certificate.Client(other.sign(8), logger)
	own.must(err)
	if _, err := serial(address, foreign); err == nil {
		t.Error("the client trusts a server of another authority")
	}
}

// An invalid file leaves the previous certificate in use, and a valid one replaces
// it without a restart.
func TestReloadsChangedCertificate(t *testing.T) {
	logger := &log.Logger{
		Handler: discard.New(),
	}
	a := newAuthority(t)
	files := a.sign(7)
	server, err := certificate.Server(files, logger)
	a.must(err)
	address := a.serve(server)
	client, err := certificate.Client(files, logger)
	a.must(err)

	a.must(os.WriteFile(files.Certificate, []byte("broken"), 0o600))
	time.Sleep(1100 * time.Millisecond)
	if number, err := serial(address, client); err != nil || number != 7 {
		t.Errorf("with an invalid file, want the previous certificate: serial %d, error %v", number, err)
	}
	a.sign(9)
	time.Sleep(1100 * time.Millisecond)
	if number, err := serial(address, client); err != nil || number != 9 {
		t.Errorf("want the changed certificate: serial %d, error %v", number, err)
	}
}

// Without files there is no TLS configuration, so the listener uses plain TCP.
func TestServerWithoutCertificate(t *testing.T) {
	server, err := certificate.Server(settings.Certificate{}, log.Log)
	if server != nil || err != nil {
		t.Errorf("%v, %v", server, err)
	}
}
