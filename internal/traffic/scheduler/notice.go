package scheduler

import (
	"time"

	"shallotramp/internal/traffic/dispatch"
	"shallotramp/internal/traffic/serverlimit"
)

var _ dispatch.NoticeObserver = (*Policy)(nil)

// noticeChooser is a [Chooser] that uses what servers say about themselves.
type noticeChooser interface {
	Notice(now time.Time, n dispatch.Notice)
	// Limited reports whether a server has named a limit of its requests, and ServerLimits returns all limits.
	Limited(server string) bool
	ServerLimits(now time.Time) []serverlimit.Notice
}

// Notice implements [dispatch.NoticeObserver].
func (p *Policy) Notice(now time.Time, n dispatch.Notice) []dispatch.Effect {
	c, ok := p.chooser.(noticeChooser)
	if !ok {
		return nil
	}
	c.Notice(now, n)
	return p.rescheduleServer(now, n.Server)
}

func (p *Policy) limited(server string) bool {
	c, ok := p.chooser.(noticeChooser)
	return ok && c.Limited(server)
}

func (p *Policy) serverLimits(now time.Time) []serverlimit.Notice {
	if c, ok := p.chooser.(noticeChooser); ok {
		return c.ServerLimits(now)
	}
	return nil
}
