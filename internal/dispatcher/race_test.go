//go:build race

package dispatcher_test

// maxClusterSizes is the number of sizes of simulated clusters that are played under the race
// detector. Each cluster runs in one goroutine, so it would find nothing more in larger ones.
const maxClusterSizes = 1
