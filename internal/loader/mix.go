package loader

import (
	"fmt"

	"github.com/dotterelhollow/dotterelhollow/internal/bencher"
	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

// Kind is a kind of work. Its numbers are those of a kind of package bencher.
type Kind struct {
	Service catalog.Service
	// Rate is the mean number of requests a second, over all accounts.
	Rate float64
	// Prompt and Answer bound the tokens of a model service.
	Prompt [2]int
	Answer [2]int
	// AccountBlocks of a prompt are shared by the requests of an account,
	// DocumentBlocks by those about one of Documents documents.
	AccountBlocks  int
	DocumentBlocks int
	Documents      int
	// Accounts are the accounts that send it, with their shares.
	Accounts []bencher.AccountSpec
}

// Keyed tells that a request must run at most once.
func (k Kind) Keyed() bool {
	return k.Service.Kind == catalog.PlainService && !k.Service.Idempotent
}

// Mix is the work of a deployment.
type Mix struct {
	Deployment string
	Kinds      []Kind
	Accounts   []bencher.AccountSpec
}

// Scale thins the work of package bencher out, whose pools are larger than
// those of the example folders.
type Scale struct {
	// Plain and Model are factors to the rates of plain and of model services.
	// Keyed calls keep their rate, of which there are few.
	Plain float64
	Model float64
	// LongAnswer is a factor to the answers of long services, so that a short
	// run sees their ends.
	LongAnswer float64
}

// source tells which kind of package bencher a service takes its numbers from,
// and its part of that kind's rate.
type source struct {
	service identifier.ServiceName
	kind    identifier.ServiceName
	part    float64
	// most is the account that sends most of it, where there is one.
	most identifier.AccountID
}

// deployment names the services and accounts of an example folder, the accounts
// in the order of the shares.
type deployment struct {
	accounts []identifier.AccountID
	sources  []source
}

var deployments = map[string]deployment{
	"quillmark": {
		accounts: []identifier.AccountID{"portal", "dashboard", "monday_reports", "harbor_agency", "lighthouse_agency"},
		sources: []source{
			{service: "portal_lookup", kind: "lookup", part: 0.7, most: ""},
			{service: "status_ping", kind: "lookup", part: 0.3, most: ""},
			{service: "rejection_email", kind: "rejection", part: 1, most: ""},
			{service: "genre_tag", kind: "tag", part: 1, most: ""},
			{service: "query_summary", kind: "summary", part: 1, most: ""},
			{service: "manuscript_report", kind: "report", part: 1, most: "monday_reports"},
		},
	},
	"cooperative": {
		accounts: []identifier.AccountID{"wholesale", "members", "delis", "cellar_doors", "depot_desk"},
		sources: []source{
			{service: "stock_check", kind: "stock", part: 0.5, most: ""},
			{service: "slot_lookup", kind: "stock", part: 0.5, most: ""},
			{service: "slot_booking", kind: "booking", part: 1, most: ""},
			{service: "quote", kind: "quote", part: 1, most: ""},
			{service: "batch_history", kind: "history", part: 1, most: ""},
		},
	},
}

// mostWeight is how much heavier than its share an account counts that sends
// most of a kind.
const mostWeight = 20

// DeploymentError reports a deployment that there is no mix for, or a folder
// that lacks one of its services or accounts.
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

// NewMix returns the work of a deployment for the services of a catalog. Its
// error is a *DeploymentError.
func NewMix(name string, c *catalog.Catalog, scale Scale) (Mix, error) {
	d, ok := deployments[name]
	if !ok {
		return Mix{}, &DeploymentError{Deployment: name}
	}
	numbers := numbersOf(name)
	mix := Mix{
		Deployment: name,
		Accounts:   sharesOf(d.accounts, numbers.Accounts),
	}
	for _, s := range d.sources {
		service, ok := c.Services[s.service]
		if !ok {
			return Mix{}, &DeploymentError{
				Deployment: name,
				Missing:    "service " + string(s.service),
			}
		}
		kind := kindOf(service, s, numbers, scale)
		kind.Accounts = sendersOf(s, mix.Accounts, c)
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

func numbersOf(name string) bencher.Deployment {
	for _, d := range bencher.Deployments() {
		if d.Name == name {
			return d
		}
	}
	return bencher.Deployment{}
}

// sharesOf gives accounts the shares of package bencher's accounts.
func sharesOf(ids []identifier.AccountID, specs []bencher.AccountSpec) []bencher.AccountSpec {
	shares := make([]bencher.AccountSpec, 0, len(ids))
	for i, id := range ids {
		shares = append(shares, bencher.AccountSpec{
			ID:    id,
			Share: specs[i].Share,
		})
	}
	return shares
}

func kindOf(service catalog.Service, s source, numbers bencher.Deployment, scale Scale) Kind {
	k := Kind{Service: service}
	for _, from := range numbers.Kinds {
		if from.Service.Name != s.kind {
			continue
		}
		k.Rate = from.Rate * s.part
		k.Prompt = from.Prompt
		k.Answer = from.Answer
		k.AccountBlocks = from.AccountBlocks
		k.DocumentBlocks = from.DocumentBlocks
		k.Documents = from.Documents
	}
	switch {
	case k.Keyed():
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

// sendersOf returns the accounts that are owed something for a service.
func sendersOf(s source, accounts []bencher.AccountSpec, c *catalog.Catalog) []bencher.AccountSpec {
	var senders []bencher.AccountSpec
	for _, a := range accounts {
		if _, owed := c.Accounts[a.ID].Targets[s.service]; !owed {
			continue
		}
		if a.ID == s.most {
			a.Share *= mostWeight
		}
		senders = append(senders, a)
	}
	return senders
}
