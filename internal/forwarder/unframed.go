package forwarder

import (
	"fmt"
	"net/http"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

var _ error = (*ServerEndedError)(nil)

// ServerEndedError reports an answer with neither a length nor chunks whose server ended with
// it, so that the rest may be missing.
type ServerEndedError struct{ Server identifier.VMID }

func (e *ServerEndedError) Error() string {
	return fmt.Sprintf("server %s ended with its answer", e.Server)
}

// endedWithServer reports whether an answer that was read to its end may lack its rest because
// the server ended. An answer with neither a length nor chunks ends with its connection, also if
// that is closed by the end of the server. An announced end may cut answers too.
func (x *exchange) endedWithServer(s messenger.SendExchange, response *http.Response) bool {
	return !isFramed(response) && x.r.Method != http.MethodHead && x.serverEnded(s, x.connection)
}

// isFramed reports whether an answer has a length or chunks, so that its end is not that of its
// connection.
func isFramed(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}
