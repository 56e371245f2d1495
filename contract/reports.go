package contract

// LoadReport is the load report of an engine. The figures of a load report are slightly out of
// date: AgeMillis is their age.
type LoadReport struct {
	// Incarnation distinguishes the runs of an upstream at the same address.
	Incarnation Incarnation `json:"incarnation"`
	Draining    bool        `json:"draining"`
	Running     int         `json:"running"`
	Waiting     int         `json:"waiting"`
	// Versions are the model versions that the engine has loaded.
	// Routing relies on these versions, not on the orders (to load or unload a version) that
	// were sent to the engine.
	Versions []VersionID `json:"versions"`
	// AgeMillis is how old the figures were when the engine sent the report.
	AgeMillis int64 `json:"age_ms"`
}

// ObjectVersion is the version of an object in the platform's object store.
// The version increases with each update of the object. Where the store names an era,
// the version is the Revision of the object, and that of an object that does not exist
// is the Revision with the number zero in the era.
type ObjectVersion uint64

// Era returns the era of the store to which the version belongs.
func (v ObjectVersion) Era() uint64 { return Revision(v).Era() }

// Missing reports whether the version is that of an object that does not exist.
func (v ObjectVersion) Missing() bool { return Revision(v).Counter() == 0 }

// MissingVersion returns the version of an object that does not exist in an era.
func MissingVersion(era uint64) ObjectVersion { return ObjectVersion(NewRevision(era, 0)) }

// VMState is the state of a VM in the platform's VM list.
type VMState string

// The states that a VM can have in the VM list.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VMEntry is one entry of the platform's VM list.
type VMEntry struct {
	ID         VMID         `json:"id"`
	DataCentre DataCentreID `json:"data_centre"`
	// Address is the IP address and port at which the VM serves.
	// For a VM that runs the router, Address is the link address of the VM's control process.
	Address string  `json:"address"`
	State   VMState `json:"state"`
	// Upstream is true for a VM that runs an upstream.
	Upstream bool `json:"upstream"`
}
