package wire

// Paths of the cloud API.
const (
	PathMachineTypes = "/flavors"
	PathMachines     = "/hosts"
	PathRelease      = "/hosts/release"
)

// Limits of the cloud API.
const (
	MaxScaleOut = 50  // machines per ScaleOutRequest
	MaxRelease  = 100 // machines per release request
	MaxList     = 500 // machines per page of a MachineList
)

// States of a machine in a MachineList.
const (
	MachineBooting = "starting"
	MachineRunning = "running"
	MachineFailed  = "failed"
)

// MachineType is one instance type of the cloud.
type MachineType struct {
	Name        string   `msgpack:"label"`
	CPUs        float64  `msgpack:"cores"`
	GPUs        float64  `msgpack:"gpus"`
	MemoryGB    float64  `msgpack:"mem_gb"`
	CacheGB     float64  `msgpack:"cache_gb"` // size of the image cache
	FetchGBPerS float64  `msgpack:"fetch_gb_per_s"`
	Price       float64  `msgpack:"price"`
	SpotPrice   float64  `msgpack:"low_price"`
	BootS       float64  `msgpack:"ready_s"` // usual boot time
	Zones       []string `msgpack:"halls"`
}

// MachineTypes lists the instance types that the cloud offers.
type MachineTypes struct {
	Types []MachineType `msgpack:"models"`
}

// ScaleOutRequest requests machines from the cloud. Repeating it with the same IdempotencyKey returns the same
// machines.
type ScaleOutRequest struct {
	IdempotencyKey string `msgpack:"hire"`
	Type           string `msgpack:"model"`
	Zone           string `msgpack:"hall"`
	Spot           bool   `msgpack:"loaners"`
	Count          int    `msgpack:"number"`
}

// MachineNames lists machines by name: in a response the machines that were provisioned, in a request the machines to
// release.
type MachineNames struct {
	Machines []string `msgpack:"boxes"`
}

// ListedMachine is one machine in a MachineList.
type ListedMachine struct {
	Name  string  `msgpack:"name_id"`
	Addr  string  `msgpack:"endpoint"`
	Type  string  `msgpack:"model"`
	Zone  string  `msgpack:"hall"`
	Spot  bool    `msgpack:"loaners"`
	State string  `msgpack:"status"`
	AgeS  float64 `msgpack:"held_s"` // time since the machine was provisioned
}

// MachineList is a page of the cloud's machine list. The list is eventually consistent: provisioned machines appear in
// it, and released machines disappear from it, with a delay.
type MachineList struct {
	Machines []ListedMachine `msgpack:"boxes"`
	More     bool            `msgpack:"truncated"`
}
