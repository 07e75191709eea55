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

// Parameters of the write limiter's burst, which is the number of writes that may be sent at once after a pause: the
// writes of writeBurstSeconds at the limiter's rate, and at least minWriteBurst.
const (
	minWriteBurst     = 3
	writeBurstSeconds = 0.7
)

func writeBurst(writeRPS float64) int { return max(minWriteBurst, int(writeRPS*writeBurstSeconds)) }

func newWriteLimiter(writeRPS float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(writeRPS), writeBurst(writeRPS))
}

func (s *store) setWriteRate(writeRPS float64) {
	s.writeLimiter.SetLimit(rate.Limit(writeRPS))
	s.writeLimiter.SetBurst(writeBurst(writeRPS))
}

// Pauses between the retries of a write whose outcome is unknown: they double from the first to the maximum.
const (
	firstRetryPause = 20 * time.Millisecond
	maxRetryPause   = 300 * time.Millisecond
)

// commit sends a transaction, and sends it again unchanged until its outcome is known or the context ends. If
// conditions of the transaction failed, commit calls onConflict with their keys and returns the result of onConflict.
// If the store rejected the transaction as malformed, the error wraps ErrWriteRejected.
func (s *store) commit(ctx context.Context, txn *wire.Txn, onConflict func(failed []string) error) error {
	pause := firstRetryPause
	for {
		if err := s.writeLimiter.WaitN(ctx, min(max(1, len(txn.Then)), s.writeLimiter.Burst())); err != nil {
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
		s.lastUnansweredWrite.Store(time.Now().UnixNano())
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pause):
		}
		pause = min(2*pause, maxRetryPause)
	}
}

// failedConditions returns the keys of the conditions that failed, if the error of a transaction reports any.
func (s *store) failedConditions(err error) []string {
	if msgpackhttp.StatusCode(err) != http.StatusConflict {
		return nil
	}
	response, ok := decodeConflict(err)
	if !ok || len(response.Failed) == 0 {
		// The response names no failed condition or can't be decoded, so commit sends the transaction again.
		s.logger.Warn("write conflict without failed conditions", "err", err)
		return nil
	}
	return response.Failed
}

// decodeConflict returns the response to a transaction whose conditions failed. ok is false if the error of the
// transaction is another one, or if the response can't be decoded.
func decodeConflict(err error) (response wire.TxnResponse, ok bool) {
	var statusErr *msgpackhttp.StatusError
	if !errors.As(err, &statusErr) || statusErr.Code != http.StatusConflict {
		return response, false
	}
	err = wire.Unmarshal(statusErr.Body, &response)
	return response, err == nil
}

// Another copy of a transaction is sent whenever resendAfter passes without a response, or resendLatencyFactor times
// the usual latency if that is longer, provided that the write budget has room for the copy. At most maxCopies are
// sent, the first included.
const (
	resendAfter         = 400 * time.Millisecond
	resendLatencyFactor = 4
	maxCopies           = 3
)

// send sends a transaction, and sends further copies of it while there is no response. Without further copies, a lost
// response would delay all later writes until the request times out after two seconds. send returns the first result
// that decides the outcome, or the last error if none does. The remaining copies may still be applied late, which is
// harmless for every transaction that is sent here (see the package comment).
//
// The requests of the remaining copies are cancelled when send returns. The results channel has room for the results of
// all copies, so that the goroutines that send them do not block after send has returned.
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
			if sent < maxCopies && s.writeLimiter.AllowN(time.Now(), max(1, len(txn.Then))) {
				s.lastUnansweredWrite.Store(time.Now().UnixNano())
				sent, inFlight = sent+1, inFlight+1
				go attempt()
			}
		}
	}
}

// isDecided reports whether the error of a transaction, nil included, proves that the transaction was applied or that
// it never will be.
func isDecided(err error) bool {
	code := msgpackhttp.StatusCode(err)
	return err == nil || code == http.StatusConflict || code == http.StatusBadRequest
}

// commitPaced commits a transaction for which no request waits. It first waits until half a burst of the write budget
// is left beyond what the transaction needs, so that batches for which users wait are sent at once. After maxWait it
// commits the transaction in any case: otherwise compaction would never finish under constant load, and the log would
// grow without bound.
func (s *store) commitPaced(ctx context.Context, txn *wire.Txn, onConflict func(failed []string) error) error {
	const pollInterval, maxWait = 100 * time.Millisecond, 3 * time.Second
	burst := float64(s.writeLimiter.Burst())
	needed := min(float64(len(txn.Then)), burst)
	wantedTokens := min(burst, needed+burst/2)
	for waited := time.Duration(0); s.writeLimiter.Tokens() < wantedTokens && waited < maxWait; waited += pollInterval {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pollInterval):
		}
	}
	return s.commit(ctx, txn, onConflict)
}
