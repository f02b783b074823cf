package settings

import "net/netip"

// SeedAddresses returns where the seeds' peers listeners are, IP:port.
func (d Discovery) SeedAddresses() []string {
	addresses := make([]string, 0, len(d.Seeds))
	for _, seed := range d.Seeds {
		parsed, err := netip.ParseAddrPort(seed)
		if err != nil {
			// The settings are checked when they are read.
			continue
		}
		if d.Port != 0 {
			parsed = netip.AddrPortFrom(parsed.Addr(), uint16(d.Port))
		}
		addresses = append(addresses, parsed.String())
	}
	return addresses
}
