package peer

// messageNumber identifies a message type on the wire. Numbers are never reused.
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

// frameKind distinguishes requests, responses, cancellations and one-way messages.
type frameKind uint8

const (
	frameOneWay frameKind = iota
	frameRequest
	frameResponse
	// frameCancel cancels a request whose caller no longer waits for the response.
	frameCancel
)
