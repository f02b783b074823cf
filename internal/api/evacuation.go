package api

import "errors"

// ErrUnknownDataCentre is wrapped by the errors of calls that name a data centre which the
// settings don't list.
var ErrUnknownDataCentre = errors.New("unknown data centre")
