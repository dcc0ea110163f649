// Package link keeps mutually authenticated links between hosts: TCP, TLS with
// certificates of the deployment's own authority, yamux and delimited protobuf
// messages. Heartbeats and bulk content travel on streams of their own.
package link

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// rereadInterval is how often the files are looked at for a change.
const rereadInterval = time.Second

// Credentials is what a host proves itself with, and the authorities that it trusts.
type Credentials struct {
	Certificate tls.Certificate
	Roots       *x509.CertPool
}

// CredentialSource gives the material in force. It is asked at each handshake, so that a rotation needs no restart.
type CredentialSource interface {
	Credentials() (*Credentials, error)
}

// Credentials implements [Source] with material that never changes.
func (m *Credentials) Credentials() (*Credentials, error) { return m, nil }

// CredentialFileError is a certificate, key or authority file that cannot be used.
type CredentialFileError struct {
	File  string
	Cause error
}

func (e *CredentialFileError) Error() string {
	return fmt.Sprintf("TLS file %q cannot be used: %v; correct the file, the last usable one stays in force", e.File, e.Cause)
}

// Unwrap returns the cause.
func (e *CredentialFileError) Unwrap() error { return e.Cause }

// CredentialFiles reads the material from PEM files and again when they change. A bad change leaves the last
// usable material in force. It is safe for concurrent use.
type CredentialFiles struct {
	CertFile, KeyFile, CAFile string

	mu      sync.Mutex
	checked time.Time
	stamp   [3]time.Time
	current *Credentials
	// failure is why the files as they are now cannot be used.
	failure error
}

// NewCredentialFiles returns the material of the files, which must be usable.
func NewCredentialFiles(cert, key, ca string) (*CredentialFiles, error) {
	f := &CredentialFiles{CertFile: cert, KeyFile: key, CAFile: ca}
	_, err := f.Credentials()
	return f, err
}

// Credentials implements [Source].
func (f *CredentialFiles) Credentials() (*Credentials, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now := time.Now(); f.current == nil || now.Sub(f.checked) >= rereadInterval {
		f.checked = now
		f.reread()
	}
	if f.current == nil {
		return nil, f.failure
	}
	return f.current, nil
}

// Failure returns why changed files could not be taken, or nil.
func (f *CredentialFiles) Failure() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.failure
}

func (f *CredentialFiles) reread() {
	var stamp [3]time.Time
	for i, name := range []string{f.CertFile, f.KeyFile, f.CAFile} {
		st, err := os.Stat(name)
		if err != nil {
			f.failure = &CredentialFileError{File: name, Cause: err}
			return
		}
		stamp[i] = st.ModTime()
	}
	if stamp == f.stamp {
		return
	}
	m, err := f.load()
	f.failure = err
	if err == nil {
		f.current, f.stamp = m, stamp
	}
}

func (f *CredentialFiles) load() (*Credentials, error) {
	cert, err := tls.LoadX509KeyPair(f.CertFile, f.KeyFile)
	if err != nil {
		return nil, &CredentialFileError{File: f.CertFile, Cause: err}
	}
	pem, err := os.ReadFile(f.CAFile)
	if err != nil {
		return nil, &CredentialFileError{File: f.CAFile, Cause: err}
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, &CredentialFileError{File: f.CAFile, Cause: errors.New("it holds no certificate")}
	}
	return &Credentials{Certificate: cert, Roots: roots}, nil
}

// serverConfig returns the configuration of accepting ends; each handshake takes the material in force.
func serverConfig(src CredentialSource) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			m, err := src.Credentials()
			if err != nil {
				return nil, err
			}
			return &tls.Config{
				MinVersion:             tls.VersionTLS13,
				Certificates:           []tls.Certificate{m.Certificate},
				ClientAuth:             tls.RequireAndVerifyClientCert,
				ClientCAs:              m.Roots,
				SessionTicketsDisabled: true,
			}, nil
		},
	}
}

// clientConfig returns the configuration of a dialling end. The name of the other host may be unknown
// while dialling a seed, so that here its chain is verified, and its name when it has said hello.
func clientConfig(m *Credentials) *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		Certificates:       []tls.Certificate{m.Certificate},
		InsecureSkipVerify: true, // VerifyConnection does it, apart from the name.
		VerifyConnection: func(cs tls.ConnectionState) error {
			return verifyChain(cs, m.Roots, x509.ExtKeyUsageServerAuth)
		},
	}
}

func verifyChain(cs tls.ConnectionState, roots *x509.CertPool, usage x509.ExtKeyUsage) error {
	if len(cs.PeerCertificates) == 0 {
		return errors.New("the peer sent no certificate")
	}
	between := x509.NewCertPool()
	for _, c := range cs.PeerCertificates[1:] {
		between.AddCert(c)
	}
	_, err := cs.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: roots, Intermediates: between, KeyUsages: []x509.ExtKeyUsage{usage},
	})
	return err
}
