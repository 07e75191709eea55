package oplog

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"fieldhill/internal/platform/msgpackhttp"
	"fieldhill/wire"
)

// The write budget in transactions: a burst is what may go at once after a pause.
const (
	minWriteBurst     = 3
	writeBurstSeconds = 0.7
)

func writeBurst(writeRPS float64) int { return max(minWriteBurst, int(writeRPS*writeBurstSeconds)) }

func newWriteLimiter(writeRPS float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(writeRPS), writeBurst(writeRPS))
}

func (s *store) setWriteRate(writeRPS float64) {
	s.writes.SetLimit(rate.Limit(writeRPS))
	s.writes.SetBurst(writeBurst(writeRPS))
}

// The pauses between the repeats of a write whose outcome is unknown: they double from the first to the last.
const (
	firstRetryPause = 20 * time.Millisecond
	maxRetryPause   = 300 * time.Millisecond
)

// commit repeats a transaction, unchanged, until its fate is known. If conditions failed the result is that of
// onConflict, which is given their keys.
func (s *store) commit(ctx context.Context, txn *wire.Txn, onConflict func(failed []string) error) error {
	pause := firstRetryPause
	for {
		if err := s.writes.WaitN(ctx, min(max(1, len(txn.Then)), s.writes.Burst())); err != nil {
			return err
		}
		err := s.send(ctx, txn)
		if failed := s.failedConditions(err); len(failed) > 0 {
			return onConflict(failed)
		}
		switch {
		case err == nil:
			return nil
		case msgpackhttp.StatusCode(err) == http.StatusBadRequest:
			return fmt.Errorf("%w: %w", ErrWriteRejected, err)
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		s.logger.Debug("write outcome unknown, retrying", "err", err)
		s.lastUnanswered.Store(time.Now().UnixNano())
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pause):
		}
		pause = min(2*pause, maxRetryPause)
	}
}

// failedConditions gives the keys of the conditions that failed, if that is what a transaction's error says.
func (s *store) failedConditions(err error) []string {
	var statusErr *msgpackhttp.StatusError
	if !errors.As(err, &statusErr) || statusErr.Code != http.StatusConflict {
		return nil
	}
	var answer wire.TxnResponse
	if err := wire.Unmarshal(statusErr.Body, &answer); err != nil || len(answer.Failed) == 0 {
		// It can't be told which condition failed: the transaction is sent again.
		s.logger.Warn("write conflict without failed conditions", "err", err)
		return nil
	}
	return answer.Failed
}

// resendAfter is after how long without an answer a transaction is sent once more at the earliest,
// resendLatencyFactor after how many times the usual time, and maxCopies how many copies may be under way.
const (
	resendAfter         = 400 * time.Millisecond
	resendLatencyFactor = 4
	maxCopies           = 3
)

// send sends a transaction, and again, unchanged, if the answer is long in coming: it may be lost, and everybody who
// waits for the log would wait for two seconds. The first answer that decides the transaction's fate counts; the
// other copies are like any that come late. Every transaction that is sent here may be repeated, see commit.
//
// The copies end with the context, and find room in the channel of results also when nobody reads it any more.
func (s *store) send(ctx context.Context, txn *wire.Txn) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan error, maxCopies)
	attempt := func() {
		_, err := s.client.Txn(ctx, txn)
		results <- err
	}
	go attempt()
	resend := time.NewTicker(max(resendAfter, resendLatencyFactor*s.client.TxnLatency()))
	defer resend.Stop()
	sent := 1
	for inFlight := 1; ; {
		select {
		case err := <-results:
			if isDecided(err) || inFlight == 1 {
				return err
			}
			inFlight--
		case <-resend.C:
			if sent < maxCopies && s.writes.AllowN(time.Now(), max(1, len(txn.Then))) {
				s.lastUnanswered.Store(time.Now().UnixNano())
				sent, inFlight = sent+1, inFlight+1
				go attempt()
			}
		}
	}
}

// isDecided tells whether a transaction's answer says that it was applied, or never will be.
func isDecided(err error) bool {
	code := msgpackhttp.StatusCode(err)
	return err == nil || code == http.StatusConflict || code == http.StatusBadRequest
}

// commitPaced commits what nobody waits for: it takes only what the budget has left over, so that a batch for which
// users wait finds room at once. When little is ever left over it goes on slowly all the same, or the log would grow
// without bound.
func (s *store) commitPaced(ctx context.Context, txn *wire.Txn, onConflict func(failed []string) error) error {
	const pollInterval, maxWait = 100 * time.Millisecond, 3 * time.Second
	burst := float64(s.writes.Burst())
	needed := min(float64(len(txn.Then)), burst)
	wantedTokens := min(burst, needed+burst/2)
	for waited := time.Duration(0); s.writes.Tokens() < wantedTokens && waited < maxWait; waited += pollInterval {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pollInterval):
		}
	}
	return s.commit(ctx, txn, onConflict)
}
