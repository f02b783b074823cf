package tickets

import (
	gocmp "github.com/google/go-cmp/cmp"
)

// allowUnexported lets go-cmp compare unexported fields of State.
var allowUnexported = gocmp.AllowUnexported(State{}, limits{}, lastTicket{}, acceptedTicket{}, refusals{}, refusalKey{}, history{})
