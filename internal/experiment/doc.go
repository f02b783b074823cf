// Package experiment measures entry nodes under load and faults. Each run
// measures the shipped policy and the baseline policy at the same time, with
// the same arrivals (unless Experiment.EvenArrivals is set) and the same seeds for
// the service times, and compares them with the floor: the simulated result of
// scheduling with complete information.
package experiment
