package experiment

import (
	"context"
	"fmt"
	"time"

	"wigeonbay/internal/testbed"
)

// curveName is the name of the curve of latency against load.
const curveName = "load-curve"

// curveLength is the time measured at each load.
const curveLength = 4 * time.Second

// curveLoads are the loads of the curve, as shares of what the slots carry.
var curveLoads = []float64{0.2, 0.4, 0.6, 0.75, 0.9, 1.05, 1.3}

// Curve measures both policies and the floor at rising loads.
func Curve(ctx context.Context, entry testbed.NewEntryFunc, seed uint64) ([]Result, error) {
	e := common(curveName, "the load rises from 0.2 to 1.3 of the slots", Part{})
	e.Services[0].ServiceTime = overloadServiceTime
	runs, err := start(ctx, e, entry, seed)
	if err != nil {
		return nil, err
	}
	defer stop(runs)
	var results []Result
	for _, share := range curveLoads {
		e.During = Part{Length: curveLength, Load: share}
		e.Before = Part{}
		part, err := measurePart(ctx, e, runs, e.During, seed+1)
		if err != nil {
			return nil, fmt.Errorf("%s at load %g: %w", curveName, share, err)
		}
		results = append(results, part...)
		results = append(results, floorResult(e, seed))
	}
	return results, nil
}
