package settings

import "net/netip"

// SeedAddresses returns the addresses of the peers listeners of the seeds, IP:port.
// It skips seeds that don't parse.
func (d Discovery) SeedAddresses() []string {
	addresses := make([]string, 0, len(d.Seeds))
	for _, seed := range d.Seeds {
		parsed, err := netip.ParseAddrPort(seed)
		if err != nil {
			// Can't happen in loaded settings: loading checks the seeds.
			continue
		}
		if d.Port != 0 {
			parsed = netip.AddrPortFrom(parsed.Addr(), uint16(d.Port))
		}
		addresses = append(addresses, parsed.String())
	}
	return addresses
}
