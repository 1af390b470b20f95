package protocol

// States of a machine in the cloud's list.
const (
	MachineBooting = "booting"
	MachineRunning = "running"
	MachineFailed  = "failed"
)

// MaxHire is the most machines one request may rent.
const MaxHire = 50

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

// Hire asks for machines.
type Hire struct {
	Request string `msgpack:"Hire"`
	Type    string `msgpack:"Rigtype"`
	Zone    string `msgpack:"Yard"`
	Spot    bool   `msgpack:"Loaner"`
	Count   int    `msgpack:"Number"`
}

// Names is a list of machine names.
type Names struct {
	Machines []string `msgpack:"Rigs"`
}

// Machine is one entry of the cloud's list.
type Machine struct {
	Name  string  `msgpack:"Ref"`
	Addr  string  `msgpack:"Addr"`
	Type  string  `msgpack:"Rigtype"`
	Zone  string  `msgpack:"Yard"`
	Spot  bool    `msgpack:"Loaner"`
	State string  `msgpack:"Status"`
	AgeS  float64 `msgpack:"HeldS"`
}

// MachineList is a page of the cloud's list.
type MachineList struct {
	Machines []Machine `msgpack:"Rigs"`
	More     bool      `msgpack:"More"`
}
