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
	// pollJitter is the share by which a poll comes earlier or later.
	pollJitter = 0.2

	// attemptTimeout bounds one try at one source.
	attemptTimeout = time.Second

	// retryDelay separates tries at a version that could not be had.
	retryDelay = 500 * time.Millisecond

	// maxPollDoublings bounds the growth of the delay after failed polls.
	maxPollDoublings = 4
)

// FetchFunc gets a version from a peer, with the entries after the one in
// force here, whose number is 0 if there is none.
type FetchFunc func(ctx context.Context, after, number int64, digest string) (PeerVersion, error)

// WatcherOptions configure a watcher. Fetch may be nil; Plugins hold the
// plug-ins of this process.
type WatcherOptions struct {
	Store   Scanner
	Fetch   FetchFunc
	Plugins Plugins
}

// Watcher brings new versions into force. It only ever takes a higher number
// than the one in force and keeps what it has when sources fail. The store
// decides what was accepted; while it is away, a peer is believed whose hash
// chain leads on from the version in force. It is safe for concurrent use.
type Watcher struct {
	options WatcherOptions
	current atomic.Pointer[Version]
	offers  offers
	wake    chan struct{}
	cancel  context.CancelFunc
	done    chan struct{}
	started sync.Once

	// failures counts the failed polls in a row; only run uses it.
	failures int

	mu          sync.Mutex
	subscribers []func(*Version)
	canonical   []byte  // the document in force
	chain       []Entry // to the version in force, that one last
	since       time.Time
	lastPoll    time.Time
	pollErr     error
	takeErr     error
	takeErrAt   time.Time
}

// NewWatcher returns a watcher that has not started.
func NewWatcher(o WatcherOptions) *Watcher {
	return &Watcher{
		options: o,
		wake:    make(chan struct{}, 1),
		done:    make(chan struct{}),
	}
}

// Start begins to poll the store. It does not wait for a first version.
func (w *Watcher) Start(ctx context.Context) error {
	err := error(&Error{Op: "start the watcher", Kind: KindInvalid, Err: eris.New("it was started before")})
	w.started.Do(func() {
		ctx, w.cancel = context.WithCancel(context.WithoutCancel(ctx))
		go w.run(ctx)
		err = nil
	})
	return err
}

// Stop ends the watcher and waits for that until the context ends. The
// version in force stays readable.
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

// Done is closed when the watcher has ended.
func (w *Watcher) Done() <-chan struct{} {
	return w.done
}

// Current returns the version in force, nil before the first. It must not be
// changed.
func (w *Watcher) Current() *Version {
	return w.current.Load()
}

// Ready tells whether a version is in force.
func (w *Watcher) Ready() bool {
	return w.Current() != nil
}

// Subscribe calls f with the version in force, if there is one, and with
// each one after it, in order and one at a time. f must not block and must
// not subscribe.
func (w *Watcher) Subscribe(f func(*Version)) {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.subscribers = append(w.subscribers, f)
	if v := w.Current(); v != nil {
		f(v)
	}
}

// Offer tells of a version that a peer has in force. A higher number than
// the one in force is looked for at once; every other is ignored.
func (w *Watcher) Offer(number int64, digest string) {
	if !digestPattern.MatchString(digest) || !w.isNewer(number) {
		return
	}
	if w.offers.add(number, digest) {
		w.signal()
	}
}

func (w *Watcher) signal() {
	select {
	case w.wake <- struct{}{}:
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
		// Offers go first: a store that is silent must not hold them up.
		w.takeOffer(ctx)
		if !time.Now().Before(nextPoll) {
			nextPoll = time.Now().Add(w.poll(ctx))
		}
		w.sleep(ctx, w.delay(nextPoll))
	}
}

func (w *Watcher) delay(nextPoll time.Time) time.Duration {
	delay := time.Until(nextPoll)
	if w.offers.pending() {
		delay = min(delay, retryDelay)
	}
	return max(delay, 0)
}

func (w *Watcher) sleep(ctx context.Context, delay time.Duration) {
	timer := time.NewTimer(delay)
	defer timer.Stop()

	select {
	case <-timer.C:
	case <-w.wake:
	case <-ctx.Done():
	}
}

// poll returns the time to the next one. After a failure that is shorter
// than the interval at first, so that some failures in a row still leave a
// change in force in time.
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

func jittered(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + pollJitter*(2*rand.Float64()-1)))
}

func (w *Watcher) polled(stored Entry, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()

	w.pollErr = err
	if err == nil {
		w.pollErr = checkHead(stored, w.lastEntry())
		w.lastPoll = time.Now()
	}
}
