package lease

import (
	"testing"
	"time"
)

// timeToLive is how long the store keeps a member without a renewal.
const timeToLive = 2500 * time.Millisecond

// step is how often the tests ask a Candidacy for its decision.
const step = 50 * time.Millisecond

// never is what joinTime returns for a node that does not join.
const never = time.Hour

// joinTime returns when a node first becomes a member, never if it does not within that time. The
// function observe is called before each decision.
func joinTime(c *Candidacy, from time.Duration, observe func(now time.Duration)) time.Duration {
	for now := from; now < never; now += step {
		observe(now)
		if c.IsMember(now) {
			return now
		}
	}
	return never
}

func newStandby(spread float64) *Candidacy {
	c := &Candidacy{Standby: true, TimeToLive: timeToLive, Spread: spread}
	c.Start(0)
	return c
}

func TestNodeThatCanOwnIsAMemberFromItsStart(t *testing.T) {
	c := &Candidacy{}
	c.Start(0)
	if !c.IsMember(0) {
		t.Error("got no member at the start")
	}
}

// The renewals of hundreds of members cost calls, and a small one may become the owner.
func TestStandbyWithAnOwnerDoesNotJoin(t *testing.T) {
	c := newStandby(0)
	if got := joinTime(c, 0, func(now time.Duration) {
		if now >= time.Second {
			c.RecordOwner(now)
		}
	}); got != never {
		t.Errorf("joined after %v", got)
	}
}

func TestStandbyJoinsInTimeWhenAllOthersAreLost(t *testing.T) {
	for _, spread := range []float64{0, 0.5, 0.99} {
		c := newStandby(spread)
		c.RecordOwner(10 * time.Second)
		got := joinTime(c, 10*time.Second, func(now time.Duration) {
			c.RecordSurvey(now, Survey{HasOwner: true, Holders: 8, Candidates: 8})
		})
		if want := 10*time.Second + timeToLive; got > want {
			t.Errorf("spread %v: joined at %v, want %v, when the store gives up the lost members", spread, got, want)
		}
	}
}

// A standby that joined could get the shard before the members that can carry it.
func TestStandbyLeavesTheTakeoverToOtherMembers(t *testing.T) {
	c := newStandby(0)
	c.RecordOwner(10 * time.Second)
	survey := Survey{HasOwner: true, Holders: 7, Candidates: 7, Responds: true}
	observe := func(now time.Duration) { c.RecordSurvey(now, survey) }
	// The others take over within two times-to-live.
	got := joinTime(c, 10*time.Second, observe)
	if want := 10*time.Second + 2*timeToLive; got <= want {
		t.Errorf("joined at %v while another member responds, want later than %v", got, want)
	}
	// They may respond and not reach the store, and stay listed there.
	if want := 10*time.Second + 4*timeToLive; got > want {
		t.Errorf("joined at %v, want %v at most", got, want)
	}
	c = newStandby(0)
	c.RecordOwner(10 * time.Second)
	survey.HasOwner = false
	if got, want := joinTime(c, 10*time.Second, observe), 10*time.Second+unownedDelay; got > want {
		t.Errorf("joined at %v, want %v at most where the store gives the shard to no member", got, want)
	}
}

func TestStandbysOfADeploymentWithoutOthersJoin(t *testing.T) {
	for _, spread := range []float64{0, 0.99} {
		c := newStandby(spread)
		got := joinTime(c, 0, func(now time.Duration) { c.RecordSurvey(now, Survey{}) })
		if want := 2500 * time.Millisecond; got > want {
			t.Errorf("spread %v: joined at %v, want %v at most", spread, got, want)
		}
	}
}

func TestStandbyLeavesWhenOthersAreBack(t *testing.T) {
	c := newStandby(0)
	now := joinTime(c, 0, func(now time.Duration) { c.RecordSurvey(now, Survey{}) })
	c.RecordGrant(now, Grant{Shards: []Shard{0}})
	c.RecordOwner(now)
	c.RecordLinkedCandidates(now+step, minimumCandidates-1)
	if !c.IsMember(now + step) {
		t.Error("left the group to too few candidates")
	}
	c.RecordLinkedCandidates(now+2*step, minimumCandidates)
	if c.IsMember(now + 2*step) {
		t.Error("a standby is still a member beside enough candidates")
	}
	if c.IsMember(now + 3*step) {
		t.Error("joined again at once")
	}
}

// What a node learned before it joined may be of members that are lost.
func TestOldNewsEndsNoMembership(t *testing.T) {
	c := newStandby(0)
	c.RecordOwner(10 * time.Second)
	c.RecordSurvey(11*time.Second, Survey{HasOwner: true, Holders: 8, Candidates: 8})
	c.RecordLinkedCandidates(10*time.Second, 9)
	now := joinTime(c, 11*time.Second, func(time.Duration) {})
	for _, at := range []time.Duration{now + step, now + 2*idleMemberTime} {
		if !c.IsMember(at) {
			t.Errorf("left the group %v after it joined, by news from before", at-now)
		}
	}
}

// Without large nodes, all standbys join when they miss the owner at once.
func TestNeedlessStandbyLeavesOthersOfItsKind(t *testing.T) {
	c := newStandby(0)
	now := joinTime(c, 0, func(now time.Duration) { c.RecordSurvey(now, Survey{}) })
	c.RecordSurvey(now+idleMemberTime, Survey{HasOwner: true, Holders: 8})
	c.RecordOwner(now + idleMemberTime)
	if c.IsMember(now + idleMemberTime) {
		t.Error("a standby without a shard stays beside enough others")
	}
}

// Pattern: a thousand equal nodes, all of which can own. Only a few need to be members.
func TestNeedlessMemberLeavesAndReturns(t *testing.T) {
	c := &Candidacy{}
	c.Start(0)
	survey := Survey{HasOwner: true, Holders: 8, Candidates: 8}
	for now := time.Duration(0); now < idleMemberTime; now += step {
		c.RecordOwner(now)
		c.RecordLinkedCandidates(now, 1000)
		c.RecordSurvey(now, survey)
		if !c.IsMember(now) {
			t.Fatalf("left after %v, want %v at least", now, idleMemberTime)
		}
	}
	now := idleMemberTime + step
	c.RecordSurvey(now, survey)
	if c.IsMember(now) {
		t.Error("a member without a shard stays beside enough candidates")
	}
	lost := now
	now = joinTime(c, now, func(now time.Duration) { c.RecordSurvey(now, survey) })
	if want := lost + timeToLive; now > want {
		t.Errorf("joined at %v after the loss of all at %v, want %v at most", now, lost, want)
	}
}

// Each change of the group may move a shard, and the renewals of a few members cost little.
func TestMembersOfASmallGroupStay(t *testing.T) {
	c := &Candidacy{}
	c.Start(0)
	for now := time.Duration(0); now < time.Minute; now += step {
		c.RecordOwner(now)
		c.RecordLinkedCandidates(now, 18)
		c.RecordSurvey(now, Survey{HasOwner: true, Holders: 8, Candidates: 8})
		if !c.IsMember(now) || c.NeedsSurvey(now) {
			t.Fatalf("after %v: member %v, needs a survey %v, want true and false", now, c.IsMember(now), c.NeedsSurvey(now))
		}
	}
}

// A member with a shard must not leave: the group has few of them.
func TestMemberWithAShardStays(t *testing.T) {
	c := &Candidacy{}
	c.Start(0)
	for now := time.Duration(0); now < time.Minute; now += step {
		c.RecordGrant(now, Grant{Shards: []Shard{3}})
		c.RecordSurvey(now, Survey{HasOwner: true, Holders: 8, Candidates: 8})
		if !c.IsMember(now) {
			t.Fatalf("left after %v", now)
		}
	}
}
