package contract

// Load is what an engine reports of itself. It lags.
type Load struct {
	// Incarnation tells the lives of an upstream under one address apart.
	Incarnation Incarnation `json:"incarnation"`
	Draining    bool        `json:"draining"`
	Running     int         `json:"running"`
	Waiting     int         `json:"waiting"`
	// Versions are those it holds now. Routing rests on this, not on orders.
	Versions []VersionID `json:"versions"`
	// AgeMillis is how old the figures were when the report was answered.
	AgeMillis int64 `json:"age_ms"`
}

// ObjectVersion is the version of one object of the platform's store. It rises
// with each update of it.
type ObjectVersion uint64

// VMState is what the platform's list says of a VM.
type VMState string

// The states in the VM list.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VMEntry is one line of the VM list.
type VMEntry struct {
	ID         VMID         `json:"id"`
	DataCentre DataCentreID `json:"data_centre"`
	// Address is the IP and port that the VM serves at. For a VM of the system
	// it is the link address of its control process.
	Address string  `json:"address"`
	State   VMState `json:"state"`
	// Upstream is true for a VM that carries an upstream.
	Upstream bool `json:"upstream"`
}
