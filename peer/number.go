package peer

// messageNumber names a message type on the wire. Numbers are never reused.
type messageNumber uint16

const (
	numberNone messageNumber = iota
	numberPing
	numberPong
	numberFailed
	numberWake
	numberReplicas
	numberLoad
	numberLoaded
	numberAcquirePace
	numberPaced
	numberReleasePace
	numberReports
	numberCommandQuery
	numberCommandAnswer
	numberSuspects
	numberSnapshotRequest
	numberSnapshot
	numberLogRecords
	numberApplied
	numberUsage
	numberStatusRequest
	numberStatus
	numberLeave
	numberHello
	numberWelcome
	numberGossip
	numberCompare
	numberDiffers
	numberReleasePermit
	numberReleased
	numberCompareReports
	numberReportVersions
	numberSubscribe
	numberLoads
	numberAppendRecords
	numberAppended
)

// frameKind tells what a frame is.
type frameKind uint8

const (
	frameOneWay frameKind = iota
	frameRequest
	frameAnswer
	// frameCancel says that nobody waits for the answer any more.
	frameCancel
)
