package entry

// Unserved returns how many configured services can't be searched whole: no
// snapshot has a replica of each of its shards.
func (s *State) Unserved() int {
	unserved := 0
	for _, svc := range s.services {
		if !svc.configured {
			continue
		}
		placement := svc.indexOf().Pin()
		if placement == nil || !placement.Whole() {
			unserved++
		}
	}
	return unserved
}
