package adapter

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/dotterelhollow/dotterelhollow/internal/adapter/encoder"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// Lister is a client of the platform's list of VMs. It is safe for concurrent use.
type Lister struct {
	config PlatformConfig
	client *client
}

// NewLister returns a Lister for the given platform.
func NewLister(c PlatformConfig) *Lister {
	return &Lister{
		config: c,
		client: newClient(c.Timeouts),
	}
}

// Close closes the idle connections.
func (l *Lister) Close() { l.client.close() }

// List returns the list with its time by this process's clock. Its error is an
// *UnavailableError.
func (l *Lister) List(ctx context.Context) (messenger.ListRead, error) {
	sentAt := l.config.clock().Now()
	var reply encoder.ListResponse
	if err := l.client.get(ctx, l.config.Address, "/vms", &reply, 0); err != nil {
		return messenger.ListRead{}, readError(err)
	}
	read := messenger.ListRead{
		// Counted from before the call, so that the list never seems newer than it is.
		AsOf: sentAt.Add(-timekeeper.Duration(reply.AgeMS)),
		VMs:  make([]messenger.VMState, 0, len(reply.VMs)),
	}
	for _, v := range reply.VMs {
		read.VMs = append(read.VMs, messenger.VMState{
			VM:      v.VM,
			Zone:    v.Zone,
			Class:   v.Class,
			Market:  v.Market,
			Pool:    v.Pool,
			Address: v.Address,
			Leaving: v.Leaving,
		})
	}
	return read, nil
}

// Cloud is a client of the platform's cloud API. It is safe for concurrent use.
type Cloud struct{ platformClient }

// NewCloud returns a Cloud for the given platform.
func NewCloud(c PlatformConfig) *Cloud { return &Cloud{platformClient: newPlatformClient(c)} }

// Buy buys a VM. If its error is a *BuyRefusedError, a *RateLimitedError or an
// *UnavailableError, nothing was bought; an *AmbiguousError means that it may have
// been. The caller must check its lease first.
func (c *Cloud) Buy(ctx context.Context, b messenger.BuyVM) (identifier.VMID, error) {
	req, err := postJSON(c.config.Address, "/cloud/vms", encoder.BuyRequest{
		ClientToken: b.ClientToken,
		Class:       b.Class,
		Zone:        b.Zone,
		Market:      b.Market,
		Pool:        b.Pool,
	})
	if err != nil {
		return "", effectError(err)
	}
	var reply encoder.VM
	err = c.writers.callJSONWithTimeout(ctx, req, &reply, 0)
	var status *StatusError
	if errors.As(err, &status) && status.Status == http.StatusConflict {
		return "", &BuyRefusedError{Text: status.Text}
	}
	if err != nil {
		return "", effectError(err)
	}
	return reply.VM, nil
}

// Release returns a VM to the cloud. It succeeds if the cloud does not know the VM. Its
// errors are *RateLimitedError, *UnavailableError and *AmbiguousError.
func (c *Cloud) Release(ctx context.Context, vm identifier.VMID) error {
	req := call{
		method:  http.MethodDelete,
		address: c.config.Address,
		path:    "/cloud/vms/" + url.PathEscape(string(vm)),
	}
	err := c.writers.callJSONWithTimeout(ctx, req, nil, 0)
	var status *StatusError
	if errors.As(err, &status) && status.Status == http.StatusNotFound {
		return nil
	}
	return effectError(err)
}

// Notice is a reclaim notice for a VM.
type Notice struct {
	Seq      uint64
	VM       identifier.VMID
	Deadline timekeeper.Time
}

// Notices returns the reclaim notices after a sequence number. If there are none, it
// waits up to wait for the first one. Its error is an *UnavailableError.
func (c *Cloud) Notices(ctx context.Context, after uint64, wait timekeeper.Duration) ([]Notice, error) {
	values := url.Values{}
	values.Set("after", strconv.FormatUint(after, 10))
	values.Set("wait_ms", strconv.FormatInt(int64(wait), 10))
	var reply encoder.NoticesResponse
	path := "/cloud/notices?" + values.Encode()
	if err := c.readers.get(ctx, c.config.Address, path, &reply, wait); err != nil {
		return nil, readError(err)
	}
	now := c.config.clock().Now()
	notices := make([]Notice, 0, len(reply.Notices))
	for _, n := range reply.Notices {
		notices = append(notices, Notice{
			Seq:      n.Seq,
			VM:       n.VM,
			Deadline: now.Add(timekeeper.Duration(n.DeadlineMSLeft)),
		})
	}
	return notices, nil
}

// Weights is a client of the platform's weight store. It is safe for concurrent use.
type Weights struct {
	config PlatformConfig
	client *client
}

// NewWeights returns a Weights for the given platform.
func NewWeights(c PlatformConfig) *Weights {
	return &Weights{
		config: c,
		client: newUnpooledClient(c.Timeouts),
	}
}

// Fetch copies the weights of a model to w. It has no timeout except that of ctx. Its
// error is an *UnavailableError.
func (s *Weights) Fetch(ctx context.Context, model identifier.ModelName, w io.Writer) (identifier.Bytes, error) {
	response, err := s.client.do(ctx, call{
		method:  http.MethodGet,
		address: s.config.Address,
		path:    "/weights/" + url.PathEscape(string(model)),
	})
	if err != nil {
		return 0, readError(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return 0, readError(statusError(s.config.Address, response))
	}
	n, err := io.Copy(w, response.Body)
	return identifier.Bytes(n), readError(err)
}
