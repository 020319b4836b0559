//go:build !race

package dispatcher_test

// maxClusterSizes is the number of sizes of simulated clusters that are played.
const maxClusterSizes = 3
