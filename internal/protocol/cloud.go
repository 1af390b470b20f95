package protocol

// States of a machine in the cloud's list.
const (
	MachineBooting = "booting"
	MachineRunning = "running"
	MachineFailed  = "failed"
)

// MaxCreate is the most machines one request may rent.
const MaxCreate = 50

// MaxDelete is the most machines one request may delete.
const MaxDelete = 100

// MachineType is a kind of machine that can be rented.
type MachineType struct {
	Name      string   `msgpack:"Label"`
	CPUs      float64  `msgpack:"Cpus"`
	GPUs      float64  `msgpack:"Gpus"`
	MemoryGB  float64  `msgpack:"MemoryGb"`
	CacheGB   float64  `msgpack:"CacheGb"`
	FetchGBps float64  `msgpack:"FetchGbPerS"`
	Price     float64  `msgpack:"Hourly"`
	SpotPrice float64  `msgpack:"LowPrice"`
	BootS     float64  `msgpack:"StartupS"`
	Zones     []string `msgpack:"Yards"`
}

// MachineTypes is the answer to GET /machine_types, and what the leader keeps
// of it in the state service.
type MachineTypes struct {
	Types []MachineType `msgpack:"Rigtypes"`
	// Total is how many there are on all keys of the state service together.
	Total int `msgpack:"total,omitempty"`
}

// CreateMachinesRequest asks for machines.
type CreateMachinesRequest struct {
	RequestID string `msgpack:"Hire"`
	Type      string `msgpack:"Rigtype"`
	Zone      string `msgpack:"Yard"`
	Spot      bool   `msgpack:"Loaner"`
	Count     int    `msgpack:"Number"`
}

// MachineNames is a list of machine names.
type MachineNames struct {
	Machines []string `msgpack:"Rigs"`
}

// Instance is one entry of the cloud's list.
type Instance struct {
	Name  string  `msgpack:"Ref"`
	Addr  string  `msgpack:"Addr"`
	Type  string  `msgpack:"Rigtype"`
	Zone  string  `msgpack:"Yard"`
	Spot  bool    `msgpack:"Loaner"`
	State string  `msgpack:"Status"`
	AgeS  float64 `msgpack:"HeldS"`
}

// InstanceList is a page of the cloud's list.
type InstanceList struct {
	Machines []Instance `msgpack:"Rigs"`
	More     bool       `msgpack:"More"`
}
