package contract

// VMInstance identifies one run of a VM by the name and the incarnation of the VM.
// The zero value means that there is no such VM.
type VMInstance struct {
	VM          VMID        `json:"vm" cbor:"1,keyasint"`
	Incarnation Incarnation `json:"incarnation" cbor:"2,keyasint"`
}
