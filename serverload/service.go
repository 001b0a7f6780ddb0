package serverload

import (
	"math"
	"time"

	"github.com/parsleylug/parsleylug/domain"
)

const (
	// recentPaceTime and usualPaceTime are the time constants of the averages of a pace. With the
	// first one, the average has made 95% of a change after 0.3 s.
	recentPaceTime = 100 * time.Millisecond
	usualPaceTime  = 10 * time.Second
	// minimumPaceSamples is the number of samples from which a learned pace is used. A single time
	// to first event varies by its prompt and the requests beside it: with 16 samples that vary by
	// half of their mean, the mean is known to 13%.
	minimumPaceSamples = 16
	// learnedPaceTime is the time in which the weight of the samples of a learned pace falls to 37%.
	learnedPaceTime = 20 * time.Second
	// A learned pace lies between these bounds, so that one slow response does not exclude a server.
	minimumLearnedPace, maximumLearnedPace = 0.5, 3
	// initialServiceTime is the service time that is assumed at first, with the weight of
	// initialSamples samples.
	initialServiceTime = time.Second
	initialSamples     = 4
	// maximumMeanSamples bounds the weight of the past in a mean, so that it follows a changed load.
	maximumMeanSamples = 64
	// initialPrefillRate is the number of prompt tokens that a server reads in a millisecond, until
	// the rate is learned. The learned rate lies between the two bounds.
	initialPrefillRate                     = 20.0
	minimumPrefillRate, maximumPrefillRate = 2.0, 400.0
	// prefillDecay is the weight of the past samples at each new one.
	prefillDecay = 0.99
	// priorTokens is the spread of prompt tokens, in tokens squared, that the initial rate weighs as
	// much as: that of eight prompts that differ from their mean by 300 tokens.
	priorTokens = 8 * 300 * 300
)

// paceAverage follows the pace that a server reports.
type paceAverage struct {
	recent, usual float64
	at            time.Time
}

// add adds a reported pace.
func (p *paceAverage) add(at time.Time, pace float64) {
	if p.at.IsZero() {
		p.recent, p.usual, p.at = pace, 1, at
		return
	}
	elapsed := at.Sub(p.at)
	if elapsed <= 0 {
		return
	}
	p.recent += (1 - math.Exp(-float64(elapsed)/float64(recentPaceTime))) * (pace - p.recent)
	p.usual += (1 - math.Exp(-float64(elapsed)/float64(usualPaceTime))) * (pace - p.usual)
	p.at = at
}

// value returns the expected pace. It goes from the recent to the usual pace while the reports age,
// because the pace of a shared machine changes within a second.
func (p *paceAverage) value(now time.Time) float64 {
	weight := max(0, 1-float64(now.Sub(p.at))/float64(ReportLifetime))
	return p.usual + weight*(p.recent-p.usual)
}

// learnedPace is the mean of the times to the first event at a server over those expected for the
// service.
type learnedPace struct {
	mean, samples float64
	at            time.Time
}

// add adds a number of samples with a mean.
func (l *learnedPace) add(now time.Time, mean, samples float64) {
	l.samples *= math.Exp(-max(0, float64(now.Sub(l.at))) / float64(learnedPaceTime))
	l.mean = (l.mean*l.samples + mean*samples) / (l.samples + samples)
	l.samples += samples
	l.at = now
}

// value returns the learned pace, or 0 while there are too few samples.
func (l *learnedPace) value(now time.Time) float64 {
	if l.samples*math.Exp(-max(0, float64(now.Sub(l.at)))/float64(learnedPaceTime)) < minimumPaceSamples {
		return 0
	}
	return min(max(l.mean, minimumLearnedPace), maximumLearnedPace)
}

// runningMean is a mean that follows slow changes.
type runningMean struct{ value, samples float64 }

func (m *runningMean) add(v float64) {
	m.samples = min(m.samples+1, maximumMeanSamples)
	m.value += (v - m.value) / m.samples
}

// service holds the statistics of one service at the usual pace of a server.
type service struct {
	// serviceTime is the mean time of a request at a server in seconds, size the mean size of the
	// requests in tokens.
	serviceTime, size runningMean
	// uncached is the mean number of tokens that a request adds to the cache of its server.
	uncached runningMean
	prefill  prefillLine
}

// meanServiceTime returns the mean service time.
func (s *service) meanServiceTime() time.Duration {
	weight := s.serviceTime.samples
	seconds := (initialServiceTime.Seconds()*initialSamples + s.serviceTime.value*weight) / (initialSamples + weight)
	return time.Duration(seconds * float64(time.Second))
}

// prefillLine fits the time to the first event as a linear function of the prompt tokens that are
// not cached.
type prefillLine struct {
	weight, tokens, milliseconds, tokensSquared, product float64
}

func (p *prefillLine) add(tokens, milliseconds float64) {
	for _, sum := range []*float64{&p.weight, &p.tokens, &p.milliseconds, &p.tokensSquared, &p.product} {
		*sum *= prefillDecay
	}
	p.weight++
	p.tokens += tokens
	p.milliseconds += milliseconds
	p.tokensSquared += tokens * tokens
	p.product += tokens * milliseconds
}

// rate returns the tokens that a server reads in a millisecond.
func (p *prefillLine) rate() float64 {
	if p.weight == 0 {
		return initialPrefillRate
	}
	spread := p.tokensSquared - p.tokens*p.tokens/p.weight
	covariance := p.product - p.tokens*p.milliseconds/p.weight
	slope := (covariance + priorTokens/initialPrefillRate) / (spread + priorTokens)
	return 1 / min(max(slope, 1/maximumPrefillRate), 1/minimumPrefillRate)
}

// expect returns the expected time to the first event in milliseconds, or 0 without samples.
func (p *prefillLine) expect(tokens float64) float64 {
	if p.weight == 0 {
		return 0
	}
	return p.milliseconds/p.weight + (tokens-p.tokens/p.weight)/p.rate()
}

// RecordFirstEvent records the time to the first event of a request of this node with the given
// number of prompt tokens that were not cached. Times of requests that probably waited do not count.
func (t *Table) RecordFirstEvent(now time.Time, k Key, name domain.ServiceName, uncached domain.Tokens, took time.Duration) {
	s, line := t.server(now, k), &t.service(name).prefill
	if took <= 0 || s.report.Waiting > 0 && now.Sub(s.reportedAt) < ReportLifetime {
		return
	}
	milliseconds := took.Seconds() * 1000
	if t.IsPaced(now, k) {
		milliseconds /= s.pace.value(now)
	} else if expected := line.expect(float64(uncached)); expected > 0 {
		s.learned.add(now, milliseconds/expected, 1)
		s.unsent.add(now, milliseconds/expected, 1)
	}
	line.add(float64(uncached), milliseconds)
}

// RecordServiceTime records how long a request of this node took at a server, from its sending to
// the end of its response. Times of requests that probably waited do not count.
func (t *Table) RecordServiceTime(now time.Time, k Key, name domain.ServiceName, took time.Duration) {
	s := t.server(now, k)
	if s.report.Waiting > 0 && now.Sub(s.reportedAt) < ReportLifetime {
		return
	}
	pace := 1.0
	if t.IsPaced(now, k) {
		pace = s.pace.value(now)
	}
	t.service(name).serviceTime.add(took.Seconds() / pace)
}
