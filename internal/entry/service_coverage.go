package entry

// IncompleteServices returns the number of configured services for which no
// snapshot has a reachable replica of every shard.
func (s *State) IncompleteServices() int {
	incomplete := 0
	for _, svc := range s.services {
		if !svc.configured {
			continue
		}
		placement := svc.currentIndex().Pin()
		if placement == nil || !placement.Whole() {
			incomplete++
		}
	}
	return incomplete
}
