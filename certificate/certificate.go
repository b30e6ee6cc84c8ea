// Package certificate makes TLS configurations from files that may change.
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

// lookInterval is how often a file's time of change is looked at.
const lookInterval = time.Second

// Server gives the configuration of a listener, nil without a certificate.
func Server(files settings.Certificate, logger log.Interface) (config *tls.Config, err error) {
	defer pomelospring.Annotate(&err, "certificate of a listener")
	if files.Certificate == "" {
		return nil, nil
	}
	pair, err := newPair(files, logger)
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
	config.ClientCAs, err = authority(files.Authority)
	return config, err
}

// Client gives the configuration of a caller, nil without an authority.
func Client(files settings.Certificate, logger log.Interface) (config *tls.Config, err error) {
	defer pomelospring.Annotate(&err, "certificate of a client")
	if files.Authority == "" {
		return nil, nil
	}
	config = &tls.Config{
		MinVersion: tls.VersionTLS12,
	}
	if config.RootCAs, err = authority(files.Authority); err != nil || files.Certificate == "" {
		return config, err
	}
	pair, err := newPair(files, logger)
	if err != nil {
		return nil, err
	}
	config.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
		return pair.get(), nil
	}
	return config, nil
}

func authority(path string) (pool *x509.CertPool, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	pool = x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, fmt.Errorf("%s has no certificate", path)
	}
	return pool, nil
}

// pair is a certificate that is read again once its file changes.
type pair struct {
	files  settings.Certificate
	logger log.Interface

	mu      sync.Mutex
	held    *tls.Certificate
	changed time.Time
	look    time.Time
}

func newPair(files settings.Certificate, logger log.Interface) (p *pair, err error) {
	p = &pair{
		files:  files,
		logger: logger,
	}
	return p, p.read()
}

func (p *pair) read() (err error) {
	info, err := os.Stat(p.files.Certificate)
	if err != nil {
		return err
	}
	p.changed = info.ModTime()
	held, err := tls.LoadX509KeyPair(p.files.Certificate, p.files.Key)
	if err != nil {
		return err
	}
	p.held = &held
	return nil
}

// get returns the certificate; one that can't be read again leaves the former.
func (p *pair) get() *tls.Certificate {
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Now().Before(p.look) {
		return p.held
	}
	p.look = time.Now().Add(lookInterval)
	info, err := os.Stat(p.files.Certificate)
	if err == nil && info.ModTime().Equal(p.changed) {
		return p.held
	}
	if err == nil {
		err = p.read()
	}
	if err != nil {
		events.Log(p.logger, events.CertificateFailed, log.Fields{
			"file":  p.files.Certificate,
			"error": err.Error(),
		})
	}
	return p.held
}
