package protocol

// States of a machine in the cloud's list of instances.
const (
	MachineBooting = "booting"
	MachineRunning = "running"
	MachineFailed  = "failed"
)

// MaxCreate is the maximum number of machines that one request may create.
const MaxCreate = 50

// MaxDelete is the maximum number of machines that one request may delete.
const MaxDelete = 100

// MachineType is a type of machine that the cloud rents out.
type MachineType struct {
	Name      string   `msgpack:"Label"`
	CPUs      float64  `msgpack:"Cpus"`
	GPUs      float64  `msgpack:"Gpus"`
	MemoryGB  float64  `msgpack:"MemoryGb"`
	CacheGB   float64  `msgpack:"CacheGb"`     // capacity of the image cache
	FetchGBps float64  `msgpack:"FetchGbPerS"` // rate at which a machine pulls images, in gigabytes per second
	Price     float64  `msgpack:"Hourly"`      // price of an on-demand instance per hour
	SpotPrice float64  `msgpack:"LowPrice"`    // price of a spot instance per hour
	BootS     float64  `msgpack:"StartupS"`    // usual boot time, in seconds
	Zones     []string `msgpack:"Yards"`       // zones that offer the type
}

// MachineTypes is the response to GET /machine_types. The leader also stores the machine types in
// the state service in this form, distributed over several keys if they don't fit into one value.
type MachineTypes struct {
	Types []MachineType `msgpack:"Rigtypes"`
	// Total is the number of machine types in all keys of the state service together. It is 0 in the
	// cloud's response.
	Total int `msgpack:"total,omitempty"`
}

// CreateMachinesRequest asks the cloud to create Count machines.
type CreateMachinesRequest struct {
	RequestID string `msgpack:"Hire"` // idempotency key: a repeated request returns the machines of the first one
	Type      string `msgpack:"Rigtype"`
	Zone      string `msgpack:"Yard"`
	Spot      bool   `msgpack:"Loaner"`
	Count     int    `msgpack:"Number"`
}

// MachineNames is a list of machine names in requests to the cloud and its responses.
type MachineNames struct {
	Machines []string `msgpack:"Rigs"`
}

// Instance is a rented machine in the cloud's list.
type Instance struct {
	Name  string  `msgpack:"Ref"`
	Addr  string  `msgpack:"Addr"`
	Type  string  `msgpack:"Rigtype"`
	Zone  string  `msgpack:"Yard"`
	Spot  bool    `msgpack:"Loaner"`
	State string  `msgpack:"Status"`
	AgeS  float64 `msgpack:"HeldS"` // seconds since its creation, when the list was made
}

// InstanceList is a page of the cloud's list of instances.
type InstanceList struct {
	Machines []Instance `msgpack:"Rigs"`
	More     bool       `msgpack:"More"`
}
