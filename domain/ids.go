// Package domain defines the named ids, units and deadlines that all other packages share. It
// imports none of them, does no I/O and reads no clock.
package domain

// NodeID identifies one run of a parsleylug process. A restarted process gets a new NodeID,
// and a NodeID is never reused.
type NodeID string

// ServerID identifies a backend server VM as listed by the platform. The platform never
// reuses the id of a removed VM, even if a new VM gets the old address.
type ServerID string

// Region is the name of a region, for example "brisbane".
type Region string

// Zone is the name of an availability zone within a region.
type Zone string

// ModelName is the name of a base model in the operators' configuration.
type ModelName string

// AdapterName is the name of an adapter of one base model.
type AdapterName string

// ServiceName is the name of a plain service: one whose backend servers are not model engines.
type ServiceName string

// TeamName is the name of a team that shares the platform.
type TeamName string

// WorkspaceName is the name of a workspace: a group of callers with API keys of their own.
type WorkspaceName string

// RequestID identifies one caller's request across nodes and backend servers.
type RequestID string

// AttemptID identifies one attempt at a request, so that late output of an earlier attempt can
// be discarded.
type AttemptID string

// IdempotencyKey identifies a command that must run at most once. The caller chooses it.
type IdempotencyKey string

// VersionName is the name of a version of a model or adapter checkpoint.
type VersionName string

// Offset is a position in a stream of the platform's log. The first record of a stream has
// offset 1; the zero Offset is the position before it. An offset names its Era in its upper bits,
// so that each offset of a later era is larger than all of the earlier ones.
type Offset uint64

// Fence is a fencing token: the offset of the lease record that made a node the owner of a
// backend server. A larger Fence is newer.
type Fence uint64

// Sequence numbers the proposals of one node, starting at 1.
type Sequence uint64
