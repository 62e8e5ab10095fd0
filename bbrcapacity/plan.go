package bbrcapacity

import "time"

// Plan is a size to design for.
type Plan struct {
	Nodes               int     `json:"nodes"`
	Databases           int     `json:"databases"`
	MembersPerDatabase  int     `json:"membersPerDatabase"`
	Callers             int     `json:"callers"`
	StatementsPerSecond int     `json:"statementsPerSecond"`
	ChangesPerDay       float64 `json:"changesPerDay"`
	ReplacementsPerDay  float64 `json:"replacementsPerDay"`
	PrimariesPerDay     float64 `json:"primariesPerDay"`
	// CellNodes is the number of instances that share a journal and serve the
	// same databases.
	CellNodes int    `json:"cellNodes"`
	Budget    Budget `json:"budget"`
}

// Budget bounds what a node may spend on control, and what the store takes.
type Budget struct {
	// CPUPercent is in percent of one core.
	CPUPercent float64 `json:"cpuPercent"`
	MemoryMB   float64 `json:"memoryMB"`
	// KBPerSecond counts sent and received bytes, 1 KB being 1,000 bytes.
	KBPerSecond          float64 `json:"kbPerSecond"`
	StoreReadsPerSecond  float64 `json:"storeReadsPerSecond"`
	StoreWritesPerSecond float64 `json:"storeWritesPerSecond"`
}

// PlannedSize returns the size of the next two years.
func PlannedSize() Plan {
	return Plan{
		Nodes: 800, Databases: 1900, MembersPerDatabase: 3, Callers: 2_200_000, StatementsPerSecond: 1_200_000,
		ChangesPerDay: 490, ReplacementsPerDay: 316, PrimariesPerDay: 2, CellNodes: 8,
		Budget: Budget{CPUPercent: 4.5, MemoryMB: 128, KBPerSecond: 27, StoreReadsPerSecond: 2000, StoreWritesPerSecond: 300},
	}
}

// Cells returns the number of cells.
func (p Plan) Cells() int { return (p.Nodes + p.CellNodes - 1) / p.CellNodes }

// CellSize returns the size of one cell, with its share of the databases.
func (p Plan) CellSize() Size {
	return Size{
		Instances: p.CellNodes, Groups: (p.Databases + p.Cells() - 1) / p.Cells(), Members: p.MembersPerDatabase,
		CallersEach: float64(p.Callers) / float64(p.Nodes), StatementsEach: float64(p.StatementsPerSecond) / float64(p.Nodes),
		Changes: perSecond(p.ChangesPerDay),
	}
}

// WholeSize returns the size of a fleet that is not divided.
func (p Plan) WholeSize() Size {
	s := p.CellSize()
	s.Instances, s.Groups = p.Nodes, p.Databases
	return s
}

func perSecond(perDay float64) float64 { return perDay / (24 * time.Hour).Seconds() }
