package common

import (
	"context"
	"time"
)

// Sleep waits for a span, or until the context ends.
func Sleep(ctx context.Context, span time.Duration) {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
