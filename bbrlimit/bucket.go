package bbrlimit

import (
	"math"
	"time"

	"github.com/bluebellroute/bluebellroute/bbrtype"
)

const (
	// MaxRetryAfter bounds the time to wait that is stated with a rejection.
	MaxRetryAfter = Window
	// spareLevel is the part of a bucket's capacity up to which no spare tokens are
	// granted: they may expire unused.
	spareLevel = 0.5
)

// Request is what an instance asks of an owner.
type Request struct {
	// Needed is the number of operations that wait for a token.
	Needed int
	// Spare is the number of further tokens that the instance can use soon.
	Spare int
}

// Grant is the reply of an owner.
type Grant struct {
	Tokens int
	// RetryAfter is when a further token can be had, if there were fewer than needed.
	RetryAfter time.Duration
}

// Bucket is an owner's part of a tenant's limit.
type Bucket struct {
	// rate is in tokens per second.
	rate, capacity float64
	level          float64
	// filledAt is the time for which level holds.
	filledAt bbrtype.Mono
	// promisedUntil is the time up to which the coming tokens were promised to
	// instances by Grant.RetryAfter.
	promisedUntil bbrtype.Mono
}

// newBucket returns the bucket of one of a number of owners, as it is if it was empty at
// startedAt and nothing was taken since.
func newBucket(l Limit, owners int, startedAt bbrtype.Mono) *Bucket {
	b := &Bucket{filledAt: startedAt}
	b.setLimit(startedAt, l, owners)
	return b
}

// setLimit changes the limit. Tokens beyond a lower capacity are lost.
func (b *Bucket) setLimit(now bbrtype.Mono, l Limit, owners int) {
	b.fill(now)
	b.rate = l.refill() / float64(owners)
	b.capacity = l.capacity() / float64(owners)
	b.level = min(b.level, b.capacity)
}

// fill adds the tokens that have come since the last call.
func (b *Bucket) fill(now bbrtype.Mono) {
	if now <= b.filledAt {
		return
	}
	b.level = min(b.capacity, b.level+b.rate*now.Sub(b.filledAt).Seconds())
	b.filledAt = now
}

// take removes the tokens for a request.
func (b *Bucket) take(now bbrtype.Mono, r Request) Grant {
	b.fill(now)
	needed := max(0, r.Needed)
	tokens := min(needed, int(b.level))
	if tokens < needed {
		b.level -= float64(tokens)
		return Grant{Tokens: tokens, RetryAfter: b.promise(now)}
	}
	spare := min(max(0, r.Spare), int(max(0, b.level-float64(tokens)-spareLevel*b.capacity)))
	b.level -= float64(tokens + spare)
	return Grant{Tokens: tokens + spare}
}

// promise returns the time until a token comes that was not yet promised to another
// instance.
func (b *Bucket) promise(now bbrtype.Mono) time.Duration {
	interval := time.Duration(float64(time.Second) / b.rate)
	missing := time.Duration((1 - b.level) * float64(interval))
	b.promisedUntil = min(max(b.promisedUntil.Add(interval), now.Add(missing)), now.Add(MaxRetryAfter))
	return max(0, b.promisedUntil.Sub(now))
}

// give removes up to wanted tokens for another owner, at most half of those there are.
func (b *Bucket) give(now bbrtype.Mono, wanted int) Grant {
	b.fill(now)
	tokens := max(0, min(wanted, int(math.Ceil(b.level/2)), int(b.level)))
	b.level -= float64(tokens)
	return Grant{Tokens: tokens}
}

// receive adds tokens of another owner. Tokens beyond the capacity are lost.
func (b *Bucket) receive(now bbrtype.Mono, tokens int) {
	b.fill(now)
	b.level = min(b.capacity, b.level+float64(max(0, tokens)))
}

// shortage returns how many tokens the owner wants from the other owners before it grants a
// number of tokens, and whether it has fewer than that.
func (b *Bucket) shortage(now bbrtype.Mono, needed int) (wanted int, urgent bool) {
	b.fill(now)
	left := b.level - float64(needed)
	if left >= shortLevel*b.capacity {
		return 0, false
	}
	return max(1, int(math.Ceil(spareLevel*b.capacity-left))), left < 0
}
