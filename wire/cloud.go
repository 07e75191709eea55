package wire

// Paths of the cloud's interface.
const (
	PathTypes    = "/flavors"
	PathMachines = "/hosts"
	PathRelease  = "/hosts/release"
)

// Limits of the cloud's interface.
const (
	MaxScaleOut = 50  // machines in one ScaleOutRequest
	MaxRelease  = 100 // machines released by one request
	MaxList     = 500 // machines on one page of a MachineList
)

// States of a machine in the cloud's list.
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
	CacheGB     float64  `msgpack:"cache_gb"` // for images
	FetchGBPerS float64  `msgpack:"fetch_gb_per_s"`
	Price       float64  `msgpack:"price"`
	SpotPrice   float64  `msgpack:"low_price"`
	BootS       float64  `msgpack:"ready_s"` // how long a machine usually takes to boot
	Zones       []string `msgpack:"halls"`
}

// MachineTypes lists what the cloud offers.
type MachineTypes struct {
	Types []MachineType `msgpack:"models"`
}

// ScaleOutRequest asks the cloud for machines. A repeated one with the same name is answered with the same machines.
type ScaleOutRequest struct {
	Request string `msgpack:"hire"` // its idempotency key
	Type    string `msgpack:"model"`
	Zone    string `msgpack:"hall"`
	Spot    bool   `msgpack:"loaners"`
	Count   int    `msgpack:"number"`
}

// MachineNames lists machines by name: those that were provisioned, or those to be released.
type MachineNames struct {
	Machines []string `msgpack:"boxes"`
}

// ListedMachine is one row of the cloud's machine list.
type ListedMachine struct {
	Name  string  `msgpack:"name_id"`
	Addr  string  `msgpack:"endpoint"`
	Type  string  `msgpack:"model"`
	Zone  string  `msgpack:"hall"`
	Spot  bool    `msgpack:"loaners"`
	State string  `msgpack:"status"`
	AgeS  float64 `msgpack:"held_s"` // since it was provisioned
}

// MachineList is a page of the cloud's machine list, which lags behind what was provisioned and released.
type MachineList struct {
	Machines []ListedMachine `msgpack:"boxes"`
	More     bool            `msgpack:"truncated"`
}
