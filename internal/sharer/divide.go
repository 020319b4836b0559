package sharer

import (
	"maps"
	"slices"

	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

// excessTolerance is the multiple of its share up to which an account's load counts as within
// it. The measured load of an account with few requests varies by as much.
const excessTolerance = 1.2

// Claim is what one account asks of a service.
type Claim struct {
	Account identifier.AccountHash
	// Rank orders accounts: those of a lower rank are served first.
	Rank int
	// Weight is the account's weight within its rank. Zero or less stands for the
	// largest weight of the claims.
	Weight float64
	// Load is the work that the account offers, in servers.
	Load float64
}

// FairLevel returns the part of total for each unit of weight.
func FairLevel(total float64, weights []float64) float64 {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	return total / max(sum, 1)
}

// Divide returns the share of each claim: a weighted max-min division of capacity within
// each rank, where each rank has what those before it leave. No share exceeds the claim.
func Divide(capacity float64, claims []Claim) []float64 {
	weights := weightsOf(claims)
	shares := make([]float64, len(claims))
	byRank := map[int][]int{}
	for i, c := range claims {
		byRank[c.Rank] = append(byRank[c.Rank], i)
	}
	for _, rank := range slices.Sorted(maps.Keys(byRank)) {
		capacity -= fill(max(capacity, 0), byRank[rank], claims, weights, shares)
	}
	return shares
}

// fill sets the shares of the claims with the given indexes and returns their sum. In each
// round the claims that ask for no more than their proportional part get all that they ask
// for, and the rest is divided between the others.
func fill(capacity float64, open []int, claims []Claim, weights, shares []float64) float64 {
	remaining := capacity
	for len(open) > 0 {
		openWeights := make([]float64, len(open))
		for k, i := range open {
			openWeights[k] = weights[i]
		}
		level := FairLevel(remaining, openWeights)
		var unsatisfied []int
		satisfied := 0.0
		for k, i := range open {
			if fair := level * openWeights[k]; claims[i].Load > fair {
				unsatisfied = append(unsatisfied, i)
				shares[i] = fair
				continue
			}
			shares[i] = claims[i].Load
			satisfied += claims[i].Load
		}
		if len(unsatisfied) == len(open) {
			return capacity
		}
		remaining -= satisfied
		open = unsatisfied
	}
	return capacity - remaining
}

// weightsOf returns the weights of claims, at least one.
func weightsOf(claims []Claim) []float64 {
	largest := 1.0
	for _, c := range claims {
		largest = max(largest, c.Weight)
	}
	weights := make([]float64, len(claims))
	for i, c := range claims {
		weights[i] = max(c.Weight, 1)
		if c.Weight <= 0 {
			weights[i] = largest
		}
	}
	return weights
}

// excess returns the fraction of the load of each account that is beyond its share, of those
// accounts that offer more than excessTolerance times their share.
func excess(capacity float64, claims []Claim) map[identifier.AccountHash]float64 {
	out := map[identifier.AccountHash]float64{}
	for i, share := range Divide(capacity, claims) {
		if load := claims[i].Load; load > excessTolerance*share {
			out[claims[i].Account] = 1 - share/load
		}
	}
	return out
}
