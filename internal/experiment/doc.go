// Package experiment measures entry nodes under load and faults: the shipped
// policy and the plain baseline side by side in one run, on the same arrivals
// and the same service times, and the floor that a perfect choice would give.
package experiment
