// Package certificate builds TLS configurations from certificate files and
// reloads the files when they change.
package certificate

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/pomelospring/pomelospring"
	"github.com/pomelospring/pomelospring/events"
	"github.com/pomelospring/pomelospring/settings"
)

// checkInterval is the minimum time between two checks of a file's
// modification time.
const checkInterval = time.Second

// Server returns the TLS configuration of a listener, or nil if no certificate
// is set. With an authority, clients must present a certificate that it signed.
func Server(files settings.Certificate, logger log.Interface) (config *tls.Config, err error) {
	defer pomelospring.Annotate(&err, "TLS configuration of a listener")
	if files.Certificate == "" {
		return nil, nil
	}
	pair, err := newReloadingPair(files, logger)
	if err != nil {
		return nil, err
	}
	config = &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return pair.get(), nil
		},
	}
	if files.Authority == "" {
		return config, nil
	}
	config.ClientAuth = tls.RequireAndVerifyClientCert
	config.ClientCAs, err = loadAuthority(files.Authority)
	return config, err
}

// Client returns the TLS configuration of a client, or nil if no authority is
// set. With a certificate, the client presents it to servers.
func Client(files settings.Certificate, logger log.Interface) (config *tls.Config, err error) {
	defer pomelospring.Annotate(&err, "TLS configuration of a client")
	if files.Authority == "" {
		return nil, nil
	}
	config = &tls.Config{
		MinVersion: tls.VersionTLS12,
	}
	if config.RootCAs, err = loadAuthority(files.Authority); err != nil || files.Certificate == "" {
		return config, err
	}
	pair, err := newReloadingPair(files, logger)
	if err != nil {
		return nil, err
	}
	config.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
		return pair.get(), nil
	}
	return config, nil
}

// loadAuthority reads a PEM file of certificate authorities.
func loadAuthority(path string) (pool *x509.CertPool, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	pool = x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, fmt.Errorf("no certificate found in %s", path)
	}
	return pool, nil
}

// reloadingPair is a certificate and its key, reloaded when the certificate file
// changes.
type reloadingPair struct {
	files  settings.Certificate
	logger log.Interface

	mu        sync.Mutex
	current   *tls.Certificate
	modTime   time.Time
	nextCheck time.Time
}

func newReloadingPair(files settings.Certificate, logger log.Interface) (p *reloadingPair, err error) {
	p = &reloadingPair{
		files:  files,
		logger: logger,
	}
	return p, p.load()
}

// load reads the certificate and its key. It records the modification time even
// if the files are invalid; get then tries them again only after the certificate
// file's next change.
func (p *reloadingPair) load() (err error) {
	info, err := os.Stat(p.files.Certificate)
	if err != nil {
		return err
	}
	p.modTime = info.ModTime()
	current, err := tls.LoadX509KeyPair(p.files.Certificate, p.files.Key)
	if err != nil {
		return err
	}
	p.current = &current
	return nil
}

// get returns the certificate and reloads it first if its file changed. If the
// reload fails, the previous certificate stays in use.
func (p *reloadingPair) get() *tls.Certificate {
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Now().Before(p.nextCheck) {
		return p.current
	}
	p.nextCheck = time.Now().Add(checkInterval)
	info, err := os.Stat(p.files.Certificate)
	if err == nil && info.ModTime().Equal(p.modTime) {
		return p.current
	}
	if err == nil {
		err = p.load()
	}
	if err != nil {
		events.Log(p.logger, events.CertificateFailed, log.Fields{
			"file":  p.files.Certificate,
			"error": err.Error(),
		})
	}
	return p.current
}
