package exchange

import (
	"errors"
	"fmt"
	"net/http"
)

// ErrStatus means that a response is none, because its status is none of HTTP's (RFC 9110, section 15), or says that the
// connection speaks another protocol, which no request asks for. Whether the request has run is not known.
var ErrStatus = errors.New("response has no valid status")

// Bounds of the statuses that HTTP has.
const (
	minStatus = 100
	maxStatus = 599
)

// CheckStatus returns ErrStatus if no response may have the status.
func CheckStatus(status int) error {
	if status < minStatus || status > maxStatus || status == http.StatusSwitchingProtocols {
		return fmt.Errorf("%w: %03d", ErrStatus, status)
	}
	return nil
}
