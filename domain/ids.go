// Package domain holds the named ids and units that every other package
// shares. It has no behaviour that needs input, output or a clock.
package domain

// NodeID names one start of one parsleylug process. A restarted process gets
// a new NodeID, so a NodeID never comes back to life.
type NodeID string

// ServerID names one backend server VM as the platform lists it. The platform
// never gives the id of a VM that is gone to another VM, even where the new VM
// has the old address.
type ServerID string

// Region names a region, for example "brisbane".
type Region string

// Zone names an availability zone within a region.
type Zone string

// ModelName names a base model in the operators' configuration.
type ModelName string

// AdapterName names an adapter of one base model.
type AdapterName string

// ServiceName names a plain service beside the model engines.
type ServiceName string

// TeamName names a team that shares the platform.
type TeamName string

// RequestID names one caller's request across nodes and backend servers.
type RequestID string

// AttemptID names one attempt at a request; late output of another attempt is
// discarded by it.
type AttemptID string

// IdempotencyKey is the caller's name for a command that must run at most once.
type IdempotencyKey string

// VersionName names a version of a model or adapter checkpoint.
type VersionName string

// Offset is a position in a stream of the platform's log. The first record of a
// stream has offset 1, so that the zero Offset means "before every record".
type Offset uint64

// Fence is a fencing number: the offset of the lease record that made a node
// the owner of a backend server. A larger Fence is newer.
type Fence uint64

// Sequence numbers the proposals of one node, from 1.
type Sequence uint64
