package shortage

import (
	"errors"
	"fmt"
	"os"
	"syscall"
	"testing"
	"time"
)

func TestRetryRepeatsOnlyTransientErrors(t *testing.T) {
	lasting := errors.New("no JSON")
	for name, c := range map[string]struct {
		errs  []error // of successive calls; the last one is repeated
		calls int     // expected number of calls; 0: more than one
		want  error
	}{
		"at once":          {[]error{nil}, 1, nil},
		"it passes":        {[]error{&os.PathError{Err: syscall.ENFILE}, fmt.Errorf("read: %w", syscall.EIO), nil}, 3, nil},
		"another error":    {[]error{lasting}, 1, lasting},
		"refused":          {[]error{syscall.ECONNREFUSED}, 1, syscall.ECONNREFUSED},
		"it does not pass": {[]error{syscall.ENOBUFS}, 0, syscall.ENOBUFS},
	} {
		calls := 0
		err := Retry(3*retryDelay, func() error {
			calls++
			return c.errs[min(calls, len(c.errs))-1]
		})
		if !errors.Is(err, c.want) || c.calls == 0 && calls < 2 || c.calls > 0 && calls != c.calls {
			t.Errorf("%s: %v after %d calls", name, err, calls)
		}
	}
	started := time.Now()
	_ = Retry(0, func() error { return syscall.EINTR }) // one call, without a delay
	if time.Since(started) > time.Second {
		t.Error("Retry with a timeout of 0 blocked")
	}
}
