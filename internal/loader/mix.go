package loader

import (
	"fmt"

	"github.com/dotterelhollow/dotterelhollow/internal/bencher"
	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

// Kind is the workload of one service, with rates and sizes from package
// bencher.
type Kind struct {
	Service catalog.Service
	// Rate is the mean number of requests per second of all accounts together.
	Rate float64
	// Prompt and Answer are the minimum and maximum length, in tokens, of the
	// prompts and answers of a model service.
	Prompt [2]int
	Answer [2]int
	// AccountBlocks is the number of prefix cache blocks that all prompts of an
	// account share, DocumentBlocks the number shared by the prompts about one
	// of Documents documents.
	AccountBlocks  int
	DocumentBlocks int
	Documents      int
	// Accounts are the accounts that send these requests, with their shares.
	Accounts []bencher.AccountSpec
}

// AtMostOnce reports whether each request must run at most once.
func (k Kind) AtMostOnce() bool {
	return k.Service.Kind == catalog.PlainService && !k.Service.Idempotent
}

// Mix is the workload of a deployment.
type Mix struct {
	Deployment string
	Kinds      []Kind
	Accounts   []bencher.AccountSpec
}

// Scale adapts the workload of package bencher to the pools of the example
// folders, which are smaller.
type Scale struct {
	// Plain and Model are factors of the rates of plain and of model services.
	// The low rates of at-most-once calls are not scaled.
	Plain float64
	Model float64
	// LongAnswer is a factor of the answer lengths of long services, so that
	// their answers end within a short run.
	LongAnswer float64
}

// source maps a service to the kind of package bencher whose rates and sizes it
// uses, and to its fraction of that kind's rate.
type source struct {
	service      identifier.ServiceName
	kind         identifier.ServiceName
	rateFraction float64
	// heaviestAccount, if set, sends most of the service's requests.
	heaviestAccount identifier.AccountID
}

// deployment lists the services and accounts of an example folder. The accounts
// have the order of package bencher's accounts, whose shares they receive.
type deployment struct {
	accounts []identifier.AccountID
	sources  []source
}

var deployments = map[string]deployment{
	"quillmark": {
		accounts: []identifier.AccountID{"portal", "dashboard", "monday_reports", "harbor_agency", "lighthouse_agency"},
		sources: []source{
			{service: "portal_lookup", kind: "lookup", rateFraction: 0.7, heaviestAccount: ""},
			{service: "status_ping", kind: "lookup", rateFraction: 0.3, heaviestAccount: ""},
			{service: "rejection_email", kind: "rejection", rateFraction: 1, heaviestAccount: ""},
			{service: "genre_tag", kind: "tag", rateFraction: 1, heaviestAccount: ""},
			{service: "query_summary", kind: "summary", rateFraction: 1, heaviestAccount: ""},
			{service: "manuscript_report", kind: "report", rateFraction: 1, heaviestAccount: "monday_reports"},
		},
	},
	"cooperative": {
		accounts: []identifier.AccountID{"wholesale", "members", "delis", "cellar_doors", "depot_desk"},
		sources: []source{
			{service: "stock_check", kind: "stock", rateFraction: 0.5, heaviestAccount: ""},
			{service: "slot_lookup", kind: "stock", rateFraction: 0.5, heaviestAccount: ""},
			{service: "slot_booking", kind: "booking", rateFraction: 1, heaviestAccount: ""},
			{service: "quote", kind: "quote", rateFraction: 1, heaviestAccount: ""},
			{service: "batch_history", kind: "history", rateFraction: 1, heaviestAccount: ""},
		},
	},
}

// heaviestAccountWeight is the factor of the share of a source's heaviest
// account.
const heaviestAccountWeight = 20

// DeploymentError reports an unknown deployment, or a folder that lacks one of
// the deployment's services or targets.
type DeploymentError struct {
	Deployment string
	Missing    string
}

func (e *DeploymentError) Error() string {
	if e.Missing == "" {
		return fmt.Sprintf("deployment %q: expected quillmark or cooperative", e.Deployment)
	}
	return fmt.Sprintf("deployment %q: the folder has no %s", e.Deployment, e.Missing)
}

// NewMix returns the workload of a deployment for the services of a catalog.
// Its error is a *DeploymentError.
func NewMix(name string, c *catalog.Catalog, scale Scale) (Mix, error) {
	d, ok := deployments[name]
	if !ok {
		return Mix{}, &DeploymentError{Deployment: name}
	}
	base := benchDeployment(name)
	mix := Mix{
		Deployment: name,
		Accounts:   assignShares(d.accounts, base.Accounts),
	}
	for _, s := range d.sources {
		service, ok := c.Services[s.service]
		if !ok {
			return Mix{}, &DeploymentError{
				Deployment: name,
				Missing:    "service " + string(s.service),
			}
		}
		kind := newKind(service, s, base, scale)
		kind.Accounts = sendingAccounts(s, mix.Accounts, c)
		if len(kind.Accounts) == 0 {
			return Mix{}, &DeploymentError{
				Deployment: name,
				Missing:    "target for service " + string(s.service),
			}
		}
		mix.Kinds = append(mix.Kinds, kind)
	}
	return mix, nil
}

func benchDeployment(name string) bencher.Deployment {
	for _, d := range bencher.Deployments() {
		if d.Name == name {
			return d
		}
	}
	return bencher.Deployment{}
}

// assignShares returns the accounts ids with the shares of specs, by position.
func assignShares(ids []identifier.AccountID, specs []bencher.AccountSpec) []bencher.AccountSpec {
	shares := make([]bencher.AccountSpec, 0, len(ids))
	for i, id := range ids {
		shares = append(shares, bencher.AccountSpec{
			ID:    id,
			Share: specs[i].Share,
		})
	}
	return shares
}

func newKind(service catalog.Service, s source, base bencher.Deployment, scale Scale) Kind {
	k := Kind{Service: service}
	for _, spec := range base.Kinds {
		if spec.Service.Name != s.kind {
			continue
		}
		k.Rate = spec.Rate * s.rateFraction
		k.Prompt = spec.Prompt
		k.Answer = spec.Answer
		k.AccountBlocks = spec.AccountBlocks
		k.DocumentBlocks = spec.DocumentBlocks
		k.Documents = spec.Documents
	}
	switch {
	case k.AtMostOnce():
	case service.Kind == catalog.PlainService:
		k.Rate *= scale.Plain
	default:
		k.Rate *= scale.Model
	}
	if service.Long {
		k.Answer = [2]int{
			int(float64(k.Answer[0]) * scale.LongAnswer),
			int(float64(k.Answer[1]) * scale.LongAnswer),
		}
	}
	return k
}

// sendingAccounts returns the accounts that have targets for a service.
func sendingAccounts(s source, accounts []bencher.AccountSpec, c *catalog.Catalog) []bencher.AccountSpec {
	var senders []bencher.AccountSpec
	for _, a := range accounts {
		if _, hasTarget := c.Accounts[a.ID].Targets[s.service]; !hasTarget {
			continue
		}
		if a.ID == s.heaviestAccount {
			a.Share *= heaviestAccountWeight
		}
		senders = append(senders, a)
	}
	return senders
}
