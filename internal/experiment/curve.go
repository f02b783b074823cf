package experiment

import (
	"context"
	"fmt"
	"time"

	"wigeonbay/internal/testbed"
)

// curveName is the experiment name in the results of the load curve.
const curveName = "load-curve"

// curveStepDuration is the measuring time at each load.
const curveStepDuration = 4 * time.Second

// curveLoads are the loads of the curve, as fractions of the slots' capacity.
var curveLoads = []float64{0.2, 0.4, 0.6, 0.75, 0.9, 1.05, 1.3}

// Curve measures both policies and the floor at increasing loads.
func Curve(ctx context.Context, entry testbed.NewEntryFunc, seed uint64) ([]Result, error) {
	e := defaultExperiment(curveName, "the load rises from 0.2 to 1.3 of the slots' capacity", Phase{})
	e.Services[0].ServiceTime = overloadServiceTime
	runs, err := start(ctx, e, entry, seed)
	if err != nil {
		return nil, err
	}
	defer stop(runs)
	var results []Result
	for _, loadFraction := range curveLoads {
		e.During = Phase{Length: curveStepDuration, Load: loadFraction}
		e.Before = Phase{}
		stepResults, err := measurePhase(ctx, e, runs, e.During, seed+1)
		if err != nil {
			return nil, fmt.Errorf("%s at load %g: %w", curveName, loadFraction, err)
		}
		results = append(results, stepResults...)
		results = append(results, floorResult(e, seed))
	}
	return results, nil
}
