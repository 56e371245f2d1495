package keys

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net"
)

// AddressIdentity is the identity of a process whose deployment distributes no
// secrets. It generates a key pair at each start, and identifies a peer by its IP
// address, which has to belong to a known VM of the system. QUIC validates that a peer
// receives packets at its address before it accepts any data, so another machine
// cannot impersonate that peer. Links are encrypted.
type AddressIdentity struct {
	certificate tls.Certificate
	isKnown     func(ip string) bool
}

// NewAddressIdentity returns an AddressIdentity with a new key pair. isKnown returns whether
// an IP address belongs to a VM of the system.
func NewAddressIdentity(name string, isKnown func(ip string) bool) (*AddressIdentity, error) {
	der, privateKey, err := newCertificate(name)
	if err != nil {
		return nil, err
	}
	return &AddressIdentity{certificate: tls.Certificate{Certificate: [][]byte{der}, PrivateKey: privateKey}, isKnown: isKnown}, nil
}

// VerifyPeer returns the IP address of a peer,
// or ErrUnknownPeer if this address does not belong to a known VM.
func (a *AddressIdentity) VerifyPeer(_ [][]byte, address net.Addr) (string, error) {
	host, _, err := net.SplitHostPort(address.String())
	if err != nil {
		return "", fmt.Errorf("%w: %w", ErrUnknownPeer, err)
	}
	if !a.isKnown(host) {
		return "", fmt.Errorf("%w: %s", ErrUnknownPeer, host)
	}
	return host, nil
}

// TLSConfig returns the TLS configuration of a link. It accepts any peer certificate.
func (a *AddressIdentity) TLSConfig(protocol string) *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{protocol},
		Certificates: []tls.Certificate{a.certificate},
		// Allow only X25519. With the hybrid key exchange that Go prefers by
		// default, the first message needs two packets and the handshake takes
		// twice as long. That is too slow on a VM with a fifth of a core that
		// dozens of other VMs call at once after a loss of power.
		CurvePreferences: []tls.CurveID{tls.X25519},
		// There is no certificate authority and no pinned key: the address identifies the peer.
		InsecureSkipVerify: true,
		VerifyPeerCertificate: func([][]byte, [][]*x509.Certificate) error {
			return nil
		},
	}
}
