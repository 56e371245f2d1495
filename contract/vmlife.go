package contract

// VMLife names one life of a VM: its name and its incarnation. The zero value is none.
type VMLife struct {
	VM          VMID        `json:"vm" cbor:"1,keyasint"`
	Incarnation Incarnation `json:"incarnation" cbor:"2,keyasint"`
}
