package settings

// Ctl holds the settings of wigeonctl.
type Ctl struct {
	TLS TLS `ini:"tls"`
	// Controls lists the control processes, from [control NAME] sections.
	Controls []Peer `ini:"control"`
	// Entries lists the entry nodes, from [entry NAME] sections.
	Entries []EntryAddress `ini:"entry"`
}

// EntryAddress is the address at which an entry node serves operators.
type EntryAddress struct {
	ID         string `ini:"-"`
	Operators  string `ini:"operators" check:"required,hostport"`
	DataCentre string `ini:"data_centre"`
}
