// Package keys provides the keys with which the system's processes authenticate each
// other: a key pair for each process, the pinned public keys of its peers, and the key
// that signs session tokens and tickets.
//
// There is no certificate authority. A certificate is accepted only if the hash of its
// public key is pinned, so removing a line from the pins file revokes a process.
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

// Pin is the hex-encoded SHA-256 hash of a public key.
type Pin string

// KeySet holds the keys of one process.
type KeySet struct {
	Certificate tls.Certificate
	// Pins maps each pinned key to the name of the peer that it belongs to.
	Pins map[Pin]string
	// SigningKey is the key that signs session tokens and tickets.
	// All processes of the fleet share it.
	SigningKey []byte
}

// Names and formats of the files that GenerateFiles writes.
const (
	PinsFile       = "pins.ini"
	SigningFile    = "signing.key"
	pinsSection    = "pins"
	signingKeySize = 32 // bytes
)

// ErrUnknownPeer means that a peer presented no pinned key,
// or that its IP address belongs to no known VM.
var ErrUnknownPeer = errors.New("peer's key is not pinned")

// certificateLifetime is long because keys are revoked by removing their pins, not by expiry.
const certificateLifetime = 20 * 365 * 24 * time.Hour

// HashAPIKey returns the hash of a workspace's API key. Settings identify the API key by this hash.
func HashAPIKey(key string) config.KeyHash {
	sum := sha256.Sum256([]byte(key))
	return config.KeyHash(hex.EncodeToString(sum[:]))
}

// PinOf returns the pin of the public key in a DER-encoded certificate.
func PinOf(der []byte) (Pin, error) {
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return "", err
	}
	sum := sha256.Sum256(cert.RawSubjectPublicKeyInfo)
	return Pin(hex.EncodeToString(sum[:])), nil
}

// GenerateFiles writes into dir a new key pair for each name, a file with the pins of all key
// pairs, and a new signing key.
func GenerateFiles(dir string, names []string) error {
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
	signingKey := make([]byte, signingKeySize)
	if _, err := rand.Read(signingKey); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, SigningFile), []byte(hex.EncodeToString(signingKey)+"\n"), 0o600)
}

// writeKeyPair generates a certificate and its private key,
// writes both to a PEM file, and returns the pin.
func writeKeyPair(path, name string) (Pin, error) {
	der, privateKey, err := newCertificate(name)
	if err != nil {
		return "", err
	}
	encodedKey, err := x509.MarshalPKCS8PrivateKey(privateKey)
	if err != nil {
		return "", err
	}
	pemText := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	pemText = append(pemText, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: encodedKey})...)
	if err := os.WriteFile(path, pemText, 0o600); err != nil {
		return "", err
	}
	return PinOf(der)
}

// newCertificate returns a new self-signed certificate in DER encoding, and its private key.
func newCertificate(name string) ([]byte, ed25519.PrivateKey, error) {
	publicKey, privateKey, err := ed25519.GenerateKey(rand.Reader)
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
	der, err := x509.CreateCertificate(rand.Reader, template, template, publicKey, privateKey)
	return der, privateKey, err
}

// Load reads the key pair of a process, the pins and the signing key from files.
func Load(keyPairFile, pinsFile, signingFile string) (*KeySet, error) {
	keyPair, err := tls.LoadX509KeyPair(keyPairFile, keyPairFile)
	if err != nil {
		return nil, contract.WrapStep(contract.StepSettings, keyPairFile, err)
	}
	pins, err := loadPins(pinsFile)
	if err != nil {
		return nil, contract.WrapStep(contract.StepSettings, pinsFile, err)
	}
	encodedKey, err := os.ReadFile(signingFile)
	if err != nil {
		return nil, contract.WrapStep(contract.StepSettings, signingFile, err)
	}
	signingKey, err := hex.DecodeString(strings.TrimSpace(string(encodedKey)))
	if err != nil || len(signingKey) != signingKeySize {
		return nil, contract.WrapStep(contract.StepSettings, signingFile, fmt.Errorf("expected %d bytes in hex", signingKeySize))
	}
	return &KeySet{Certificate: keyPair, Pins: pins, SigningKey: signingKey}, nil
}

// loadPins reads the pins file.
func loadPins(path string) (map[Pin]string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	f, err := config.ParseINI(path, text)
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
		return nil, fmt.Errorf("section [%s] is empty: expected lines \"pin = name\"", pinsSection)
	}
	return pins, nil
}

// VerifyPeer returns the name of the peer whose pinned key is in the first certificate, or
// ErrUnknownPeer if that key is not pinned.
// It compares the key with every pin, each in constant time.
func (s *KeySet) VerifyPeer(raw [][]byte, _ net.Addr) (string, error) {
	if len(raw) == 0 {
		return "", ErrUnknownPeer
	}
	got, err := PinOf(raw[0])
	if err != nil {
		return "", ErrUnknownPeer
	}
	name := ""
	for pin, pinnedName := range s.Pins {
		if subtle.ConstantTimeCompare([]byte(pin), []byte(got)) == 1 {
			name = pinnedName
		}
	}
	if name == "" {
		return "", ErrUnknownPeer
	}
	return name, nil
}

// TLSConfig returns the TLS configuration of a link. Both sides have to present a pinned key.
func (s *KeySet) TLSConfig(protocol string) *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{protocol},
		Certificates: []tls.Certificate{s.Certificate},
		ClientAuth:   tls.RequireAnyClientCert,
		// crypto/tls cannot verify a certificate chain, because there is no
		// certificate authority. Both sides verify the pin instead.
		InsecureSkipVerify: true,
		VerifyPeerCertificate: func(raw [][]byte, _ [][]*x509.Certificate) error {
			_, err := s.VerifyPeer(raw, nil)
			return err
		},
	}
}
