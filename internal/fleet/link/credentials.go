// Package link maintains mutually authenticated connections between hosts, called
// links. A link is a yamux session over TLS and TCP, with certificates of the
// deployment's own certificate authority, that carries length-delimited protobuf
// messages. Both ends first send a Hello message with their host and protocol
// versions. Heartbeats and bulk content use separate streams.
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

// fileCheckInterval is the minimum time between two checks of the files for changes.
const fileCheckInterval = time.Second

// Credentials holds the certificate with which a host authenticates itself and the certificate authorities that it trusts.
type Credentials struct {
	Certificate tls.Certificate
	Roots       *x509.CertPool
}

// CredentialSource provides the current credentials. It is called for each handshake, so that certificates can be
// rotated without a restart.
type CredentialSource interface {
	Credentials() (*Credentials, error)
}

// Credentials implements [CredentialSource]. It always returns c.
func (c *Credentials) Credentials() (*Credentials, error) { return c, nil }

// CredentialFileError reports a certificate, key or CA file that cannot be used.
type CredentialFileError struct {
	File  string
	Cause error
}

func (e *CredentialFileError) Error() string {
	return fmt.Sprintf("cannot use TLS file %q: %v; correct the file (credentials loaded earlier stay in use)", e.File, e.Cause)
}

// Unwrap returns the cause.
func (e *CredentialFileError) Unwrap() error { return e.Cause }

// CredentialFiles reads credentials from PEM files and reloads them when the files change. If the changed files cannot
// be used, it keeps the last usable credentials. It is safe for concurrent use.
type CredentialFiles struct {
	CertFile, KeyFile, CAFile string

	mu        sync.Mutex
	checkedAt time.Time
	// modTimes are the modification times of the loaded files.
	modTimes [3]time.Time
	current  *Credentials
	// failure is why the present files cannot be used, or nil.
	failure error
}

// NewCredentialFiles loads the files. It returns an error if they cannot be used.
func NewCredentialFiles(cert, key, ca string) (*CredentialFiles, error) {
	f := &CredentialFiles{CertFile: cert, KeyFile: key, CAFile: ca}
	_, err := f.Credentials()
	return f, err
}

// Credentials implements [CredentialSource].
func (f *CredentialFiles) Credentials() (*Credentials, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now := time.Now(); f.current == nil || now.Sub(f.checkedAt) >= fileCheckInterval {
		f.checkedAt = now
		f.reload()
	}
	if f.current == nil {
		return nil, f.failure
	}
	return f.current, nil
}

// Failure returns why the last change of the files could not be loaded, or nil.
func (f *CredentialFiles) Failure() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.failure
}

// reload loads the files if their modification times differ from those of the loaded files. The caller holds f.mu.
func (f *CredentialFiles) reload() {
	var modTimes [3]time.Time
	for i, name := range []string{f.CertFile, f.KeyFile, f.CAFile} {
		info, err := os.Stat(name)
		if err != nil {
			f.failure = &CredentialFileError{File: name, Cause: err}
			return
		}
		modTimes[i] = info.ModTime()
	}
	if modTimes == f.modTimes {
		return
	}
	creds, err := f.load()
	f.failure = err
	if err == nil {
		f.current, f.modTimes = creds, modTimes
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
		return nil, &CredentialFileError{File: f.CAFile, Cause: errors.New("the file holds no PEM certificate")}
	}
	return &Credentials{Certificate: cert, Roots: roots}, nil
}

// serverConfig returns the TLS configuration of the accepting end. Each handshake uses the current credentials of src.
func serverConfig(src CredentialSource) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			creds, err := src.Credentials()
			if err != nil {
				return nil, err
			}
			return &tls.Config{
				MinVersion:             tls.VersionTLS13,
				Certificates:           []tls.Certificate{creds.Certificate},
				ClientAuth:             tls.RequireAndVerifyClientCert,
				ClientCAs:              creds.Roots,
				SessionTicketsDisabled: true,
			}, nil
		},
	}
}

// clientConfig returns the TLS configuration of the dialling end. The name of a host dialled by a seed address may be
// unknown, so the handshake verifies only the certificate chain; verifyPeer verifies the name that the peer's hello gives.
func clientConfig(creds *Credentials) *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		Certificates:       []tls.Certificate{creds.Certificate},
		InsecureSkipVerify: true, // VerifyConnection verifies the chain.
		VerifyConnection: func(cs tls.ConnectionState) error {
			return verifyChain(cs, creds.Roots, x509.ExtKeyUsageServerAuth)
		},
	}
}

// verifyChain verifies the peer's certificate chain, but not its name.
func verifyChain(cs tls.ConnectionState, roots *x509.CertPool, usage x509.ExtKeyUsage) error {
	if len(cs.PeerCertificates) == 0 {
		return errors.New("the peer sent no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, c := range cs.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := cs.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: roots, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{usage},
	})
	return err
}
