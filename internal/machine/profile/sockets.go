package profile

const (
	// platformFiles is how many of the descriptors that the settings allow the platform keeps for files.
	platformFiles = 200
	// ownFiles covers the descriptors of the process that are no connections: its log, its listeners
	// and those of the runtime.
	ownFiles = 40
)

// Sockets returns how many descriptors connections may take, by the settings and by the limit of the system, which may be
// lower; zero for no bound.
func (p Profile) Sockets() int {
	bySettings, bySystem := max(p.Descriptors-platformFiles, 1), max(p.OpenFiles-ownFiles, 1)
	switch {
	case p.Descriptors <= 0 && p.OpenFiles <= 0:
		return 0
	case p.OpenFiles <= 0:
		return bySettings
	case p.Descriptors <= 0:
		return bySystem
	}
	return min(bySettings, bySystem)
}
