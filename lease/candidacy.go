package lease

import "time"

const (
	// minimumCandidates is how many members of its kind or better the group must have besides a
	// member before that member may leave it as needless.
	minimumCandidates = 3
	// startupTime is how long a standby that starts waits for an owner before it counts the
	// time without a link.
	startupTime = 2 * time.Second
	// unownedDelay is how long the shard must have had no owner before a standby joins.
	unownedDelay = 500 * time.Millisecond
	// unlinkedDelay is how long a standby must have had no link to the owner before it joins.
	unlinkedDelay = time.Second
	// joinSpread is the range over which the standbys that miss the owner at the same time
	// spread their calls.
	joinSpread = time.Second
	// takeoverTimesToLive is how many times-to-live a standby leaves to members that respond.
	takeoverTimesToLive = 3
	// idleMemberTime is how long a member without a shard stays in a group of standbys, or in one
	// with more than maximumCandidates.
	idleMemberTime = 10 * time.Second
	// maximumCandidates is the number of candidates up to which all of them stay members: their
	// renewals cost little, and each change of the group may move a shard.
	maximumCandidates = 32
	// absenceSurveyInterval is the interval between surveys of a node that misses the owner,
	// and how long it waits before the first. needlessSurveyInterval is that of a member that
	// may be needless.
	absenceSurveyInterval  = 500 * time.Millisecond
	needlessSurveyInterval = 5 * time.Second
)

// Survey is what a node has seen of the group besides itself.
type Survey struct {
	// HasOwner means that the shard has an owner.
	HasOwner bool
	// Holders is the number of members with a shard, Candidates that of those which are no
	// standbys.
	Holders, Candidates int
	// Responds means that a member with a shard, other than the owner, has answered this node.
	// The store then has a member to give the shard to.
	Responds bool
}

// Candidacy decides whether a node is a member of the group among which the store picks the
// owners. A node that can carry the links of a large deployment is a member from its start. A
// standby joins only while the others leave the shard without an owner that it can reach, early
// enough to take over when the time-to-live of the lost members has passed. Members that are
// needless leave. Candidacy affects only who may become the owner: the store picks the owner.
//
// It is not safe for concurrent use. Times are of any clock that does not go back.
type Candidacy struct {
	// Standby is set on a node that cannot carry the links of a large deployment.
	Standby bool
	// TimeToLive is how long the store keeps a member without a renewal.
	TimeToLive time.Duration
	// Spread is this node's random share of joinSpread, from 0 to 1.
	Spread float64

	startedAt time.Duration
	started   bool
	// linkedAt is when this node last was linked to the owner, or was the owner.
	linkedAt time.Duration
	// unownedSince is since when the surveys have found no owner; isUnowned says that the last one did.
	unownedSince time.Duration
	isUnowned    bool
	// isMember is the last decision. memberSince is when it became true, shardAt when the member
	// last had a shard.
	isMember, hasLeft    bool
	memberSince, shardAt time.Duration
	// survey is the last one, taken at surveyedAt.
	survey     Survey
	surveyedAt time.Duration
	// linkedCandidates is what the owner last said, at candidatesAt.
	linkedCandidates int
	candidatesAt     time.Duration
}

// Start records the start of the node. Only the first call has an effect.
func (c *Candidacy) Start(now time.Duration) {
	if !c.started {
		c.started, c.startedAt = true, now
	}
}

// RecordOwner records that this node is linked to the owner, or is the owner.
func (c *Candidacy) RecordOwner(now time.Duration) { c.linkedAt, c.isUnowned = now, false }

// RecordGrant records the store's response to a membership call.
func (c *Candidacy) RecordGrant(now time.Duration, g Grant) {
	if len(g.Shards) > 0 {
		c.shardAt = now
	}
}

// RecordSurvey records what the node has seen of the group.
func (c *Candidacy) RecordSurvey(now time.Duration, s Survey) {
	if !s.HasOwner && !c.isUnowned {
		c.unownedSince = now
	}
	c.isUnowned = !s.HasOwner
	c.survey, c.surveyedAt = s, now
}

// RecordLinkedCandidates records how many nodes are linked to the owner that are no standbys, the
// owner included.
func (c *Candidacy) RecordLinkedCandidates(now time.Duration, count int) {
	c.linkedCandidates, c.candidatesAt = count, now
}

// NeedsSurvey reports whether the node should look at the group now: it misses the owner and is no
// member, or it is a member that may be needless.
func (c *Candidacy) NeedsSurvey(now time.Duration) bool {
	sinceSurvey := now - c.surveyedAt
	if c.isMember {
		mayBeNeedless := c.Standby || c.linkedCandidates > maximumCandidates
		return mayBeNeedless && c.isIdle(now) && sinceSurvey >= needlessSurveyInterval
	}
	return now-max(c.linkedAt, c.startedAt) >= absenceSurveyInterval && sinceSurvey >= absenceSurveyInterval
}

// IsMember decides whether the node is a member of the group from now on.
func (c *Candidacy) IsMember(now time.Duration) bool {
	switch {
	case c.isMember && c.mustLeave(now):
		c.isMember, c.hasLeft = false, true
		// The others get as long to take over as after the loss of an owner.
		c.linkedAt = now
	case !c.isMember && c.mustJoin(now):
		c.isMember, c.memberSince, c.shardAt = true, now, now
	}
	return c.isMember
}

func (c *Candidacy) mustLeave(now time.Duration) bool {
	if c.Standby && c.candidatesAt > c.memberSince && c.linkedCandidates >= minimumCandidates {
		return true
	}
	if !c.isIdle(now) || c.surveyedAt <= c.memberSince {
		return false
	}
	if c.Standby {
		return c.survey.Holders >= minimumCandidates
	}
	return c.survey.Candidates >= minimumCandidates && c.linkedCandidates > maximumCandidates
}

// isIdle reports whether the member has had no shard for idleMemberTime. Each node adds its part of
// joinSpread.
func (c *Candidacy) isIdle(now time.Duration) bool {
	return now-c.shardAt >= idleMemberTime+time.Duration(c.Spread*float64(joinSpread))
}

func (c *Candidacy) mustJoin(now time.Duration) bool {
	if !c.Standby && !c.hasLeft {
		return true
	}
	spread := time.Duration(c.Spread * float64(joinSpread))
	if c.isUnowned && now-c.unownedSince >= unownedDelay+spread {
		return true
	}
	wait := unlinkedDelay
	if c.survey.Responds {
		// A join in the middle of a takeover could win the shard, or move it once more. But
		// members that respond to this node may not reach the store.
		wait += takeoverTimesToLive * c.TimeToLive
	}
	return now-max(c.linkedAt, c.startedAt+startupTime) >= wait+spread
}
