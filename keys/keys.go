// Package keys holds what the system's processes know each other by: a key
// pair a process, the pins of its peers' public keys, and the key that signs
// session tokens and tickets.
//
// There is no certificate authority: a certificate counts only when the hash
// of its public key is pinned, so a revoked process is a removed line.
package keys

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/hex"
	"encoding/pem"
	"errors"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"

	"woaddoor/config"
	"woaddoor/contract"
)

// Pin is the SHA-256 of a public key, in hex.
type Pin string

// Set is what one process holds.
type Set struct {
	Certificate tls.Certificate
	// Pins gives the name of the peer that each pinned key belongs to.
	Pins map[Pin]string
	// Signing signs session tokens and tickets; the whole fleet shares it.
	Signing []byte
}

// Names of the files that Make writes.
const (
	PinsFile       = "pins.ini"
	SigningFile    = "signing.key"
	pinsSection    = "pins"
	signingKeySize = 32
)

// ErrUnknownPeer means that a peer showed no key of ours.
var ErrUnknownPeer = errors.New("peer's key is not pinned")

// lifetime of a certificate. Pins, not dates, end a key's use.
const certificateLifetime = 20 * 365 * 24 * time.Hour

// HashKey returns the hash by which a workspace's key is known.
func HashKey(key string) config.KeyHash {
	sum := sha256.Sum256([]byte(key))
	return config.KeyHash(hex.EncodeToString(sum[:]))
}

// PinOf returns the pin of a certificate in DER form.
func PinOf(der []byte) (Pin, error) {
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return "", err
	}
	sum := sha256.Sum256(cert.RawSubjectPublicKeyInfo)
	return Pin(hex.EncodeToString(sum[:])), nil
}

// Make writes a key pair for each name, their pins and a signing key into dir.
func Make(dir string, names []string) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	pins := strings.Builder{}
	fmt.Fprintf(&pins, "[%s]\n", pinsSection)
	for _, name := range names {
		pin, err := writeKeyPair(filepath.Join(dir, name+".pem"), name)
		if err != nil {
			return err
		}
		fmt.Fprintf(&pins, "%s = %s\n", pin, name)
	}
	if err := os.WriteFile(filepath.Join(dir, PinsFile), []byte(pins.String()), 0o600); err != nil {
		return err
	}
	signing := make([]byte, signingKeySize)
	if _, err := rand.Read(signing); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, SigningFile), []byte(hex.EncodeToString(signing)+"\n"), 0o600)
}

func writeKeyPair(path, name string) (Pin, error) {
	der, private, err := newCertificate(name)
	if err != nil {
		return "", err
	}
	encodedKey, err := x509.MarshalPKCS8PrivateKey(private)
	if err != nil {
		return "", err
	}
	text := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	text = append(text, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: encodedKey})...)
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return "", err
	}
	return PinOf(der)
}

// certificate returns a new certificate in DER form and its key.
func newCertificate(name string) ([]byte, ed25519.PrivateKey, error) {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return nil, nil, err
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		Subject:      pkix.Name{CommonName: name},
		DNSNames:     []string{name},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(certificateLifetime),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, public, private)
	return der, private, err
}

// Load reads a process's pair, the pins and the signing key.
func Load(pairFile, pinsFile, signingFile string) (*Set, error) {
	pair, err := tls.LoadX509KeyPair(pairFile, pairFile)
	if err != nil {
		return nil, contract.Fail(contract.StepSettings, pairFile, err)
	}
	pins, err := loadPins(pinsFile)
	if err != nil {
		return nil, contract.Fail(contract.StepSettings, pinsFile, err)
	}
	text, err := os.ReadFile(signingFile)
	if err != nil {
		return nil, contract.Fail(contract.StepSettings, signingFile, err)
	}
	signing, err := hex.DecodeString(strings.TrimSpace(string(text)))
	if err != nil || len(signing) != signingKeySize {
		return nil, contract.Fail(contract.StepSettings, signingFile, fmt.Errorf("expected %d bytes in hex", signingKeySize))
	}
	return &Set{Certificate: pair, Pins: pins, Signing: signing}, nil
}

func loadPins(path string) (map[Pin]string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	f, err := config.ReadFile(path, text)
	if err != nil {
		return nil, err
	}
	pins := make(map[Pin]string)
	for _, line := range strings.Split(string(f.Sections()[pinsSection]), "\n") {
		if pin, name, ok := strings.Cut(line, " = "); ok {
			pins[Pin(pin)] = name
		}
	}
	if len(pins) == 0 {
		return nil, fmt.Errorf("[%s] is empty: expected lines of pin = name", pinsSection)
	}
	return pins, nil
}

// Peer returns the name that a certificate is pinned under, or ErrUnknownPeer.
// Every pin is compared in constant time.
func (s *Set) Peer(raw [][]byte, _ net.Addr) (string, error) {
	if len(raw) == 0 {
		return "", ErrUnknownPeer
	}
	got, err := PinOf(raw[0])
	if err != nil {
		return "", ErrUnknownPeer
	}
	name := ""
	for pin, n := range s.Pins {
		if subtle.ConstantTimeCompare([]byte(pin), []byte(got)) == 1 {
			name = n
		}
	}
	if name == "" {
		return "", ErrUnknownPeer
	}
	return name, nil
}

// TLS returns the settings of a link: both sides show a pinned key.
func (s *Set) TLS(protocol string) *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{protocol},
		Certificates: []tls.Certificate{s.Certificate},
		ClientAuth:   tls.RequireAnyClientCert,
		// The chain is not checked by the library since there is no authority;
		// the pin is checked instead, on both sides.
		InsecureSkipVerify: true,
		VerifyPeerCertificate: func(raw [][]byte, _ [][]*x509.Certificate) error {
			_, err := s.Peer(raw, nil)
			return err
		},
	}
}
