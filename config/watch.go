package config

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// pollJitter is the largest random deviation of a poll delay, as a share of
	// it in both directions.
	pollJitter = 0.2

	// attemptTimeout bounds one request to the store or to a peer.
	attemptTimeout = time.Second

	// retryDelay separates attempts to fetch an offered version, and is the
	// first delay after a failed poll.
	retryDelay = 500 * time.Millisecond

	// maxPollDoublings bounds how often failed polls in a row double the delay.
	maxPollDoublings = 4
)

// FetchFunc requests the version with that number and digest from peers. after
// is the number of the version in force here, 0 if there is none; the result
// holds the entries that follow it.
type FetchFunc func(ctx context.Context, after, number int64, digest string) (PeerVersion, error)

// WatcherOptions configure a Watcher. Without Fetch, versions come from the store
// alone. Plugins lists the plug-ins of this process; a version that needs others
// is refused.
type WatcherOptions struct {
	Store   Scanner
	Fetch   FetchFunc
	Plugins Plugins
}

// Watcher polls the store and brings new versions into force in one instance.
// The version number in force only ever increases, and the version stays in
// force when store and peers fail. The store is authoritative; while it is
// unreachable, a version is accepted from a peer if its entries continue the
// hash chain of the version in force, or if none is in force. It is safe for
// concurrent use.
type Watcher struct {
	options WatcherOptions
	current atomic.Pointer[Version]
	offers  offers
	notify  chan struct{}
	cancel  context.CancelFunc
	done    chan struct{}
	started sync.Once

	// failures counts failed polls in a row. Only the goroutine of run uses it.
	failures int

	mu           sync.Mutex
	subscribers  []func(*Version)
	canonical    []byte  // encoding of the document in force
	chain        []Entry // ends with the entry of the version in force
	installedAt  time.Time
	lastPoll     time.Time
	pollErr      error
	installErr   error
	installErrAt time.Time
}

// NewWatcher returns a watcher that has not started.
func NewWatcher(o WatcherOptions) *Watcher {
	return &Watcher{
		options: o,
		notify:  make(chan struct{}, 1),
		done:    make(chan struct{}),
	}
}

// Start starts polling the store in the background, until Stop. It does not wait
// for a first version. A second call returns an error.
func (w *Watcher) Start(ctx context.Context) error {
	err := error(&Error{Op: "start the watcher", Kind: KindInvalid, Err: eris.New("it was started before")})
	w.started.Do(func() {
		ctx, w.cancel = context.WithCancel(context.WithoutCancel(ctx))
		go w.run(ctx)
		err = nil
	})
	return err
}

// Stop stops the watcher and waits for it, until the context ends. Current still
// returns the version in force afterwards.
func (w *Watcher) Stop(ctx context.Context) error {
	w.started.Do(func() {
		w.cancel = func() {}
		close(w.done)
	})
	w.cancel()

	select {
	case <-w.done:
		return nil
	case <-ctx.Done():
		return &Error{Op: "stop the watcher", Kind: KindStore, Err: eris.Wrap(ctx.Err(), "a call has not ended")}
	}
}

// Done returns a channel that is closed when the watcher has stopped.
func (w *Watcher) Done() <-chan struct{} {
	return w.done
}

// Current returns the version in force, nil before the first. Callers must not
// modify it.
func (w *Watcher) Current() *Version {
	return w.current.Load()
}

// Ready reports whether a version is in force.
func (w *Watcher) Ready() bool {
	return w.Current() != nil
}

// Subscribe calls f with the version in force, if there is one, and later with
// each new one, in order and never concurrently. f must not block and must not
// call methods of the watcher that take its lock, such as Subscribe.
func (w *Watcher) Subscribe(f func(*Version)) {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.subscribers = append(w.subscribers, f)
	if v := w.Current(); v != nil {
		f(v)
	}
}

// Offer announces a version that a peer has in force. If its number is higher
// than the one in force here, the watcher reads the store at once; otherwise
// the offer is ignored. It is also ignored if the digest is malformed, if the
// store was lately found not to have that version, or if too many offers are
// pending.
func (w *Watcher) Offer(number int64, digest string) {
	if !digestPattern.MatchString(digest) || !w.isNewer(number) {
		return
	}
	if w.offers.add(number, digest) {
		w.signal()
	}
}

// signal makes run try the offers now. It never blocks.
func (w *Watcher) signal() {
	select {
	case w.notify <- struct{}{}:
	default:
	}
}

func (w *Watcher) isNewer(number int64) bool {
	v := w.Current()
	return number > 0 && (v == nil || number > v.Number)
}

func (w *Watcher) run(ctx context.Context) {
	defer close(w.done)

	nextPoll := time.Now()
	for ctx.Err() == nil {
		// Offers first, so that polls of an unresponsive store don't delay them.
		w.tryNextOffer(ctx)
		if !time.Now().Before(nextPoll) {
			nextPoll = time.Now().Add(w.poll(ctx))
		}
		w.sleep(ctx, w.delay(nextPoll))
	}
}

// delay returns the time until the next poll, or at most retryDelay while offers
// are pending.
func (w *Watcher) delay(nextPoll time.Time) time.Duration {
	delay := time.Until(nextPoll)
	if w.offers.pending() {
		delay = min(delay, retryDelay)
	}
	return max(delay, 0)
}

// sleep returns early when an offer arrives or the context ends.
func (w *Watcher) sleep(ctx context.Context, delay time.Duration) {
	timer := time.NewTimer(delay)
	defer timer.Stop()

	select {
	case <-timer.C:
	case <-w.notify:
	case <-ctx.Done():
	}
}

// poll polls the store and returns the delay until the next poll. After a failure
// the delay starts at retryDelay and doubles up to the poll interval, so that a
// change comes into force in time in spite of a few failures in a row.
func (w *Watcher) poll(ctx context.Context) time.Duration {
	if w.pollOnce(ctx) {
		w.failures = 0
		return jittered(w.interval())
	}

	delay := min(retryDelay<<min(w.failures, maxPollDoublings), w.interval())
	w.failures++
	return jittered(delay)
}

func (w *Watcher) interval() time.Duration {
	if v := w.Current(); v != nil {
		return v.Document.Intervals.ConfigPoll
	}
	return Default().Intervals.ConfigPoll
}

// jittered spreads the polls of instances that started at the same moment.
func jittered(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + pollJitter*(2*rand.Float64()-1)))
}

// recordPoll records the result of reading the head for Status.
func (w *Watcher) recordPoll(stored Entry, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.pollErr = err
	if err == nil {
		w.pollErr = checkHead(stored, w.lastEntry())
		w.lastPoll = time.Now()
	}
}
