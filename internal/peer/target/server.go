package target

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"

	"github.com/kataras/iris/v12"

	"masticroad/internal/control/registrar"
	"masticroad/internal/peer/receiver"
	"masticroad/internal/peer/scanner"
)

// This file serves the announcements of targets.

// Announcer forwards an announcement to the leader and returns its reply; ok is false when
// no leader answered in time.
type Announcer interface {
	Announce(ctx context.Context, a *Announcement) (AnnounceReply, bool)
}

// Server serves announcements. The exported fields are set before Routes.
type Server struct {
	Announcer Announcer
	Receiver  *receiver.Receiver
	// Home, when set, forwards an announcement to the target's home region; known
	// is false when that is this region. Each target is recorded in one region's
	// log, so that its capacity is charged once.
	Home func(ctx context.Context, region registrar.RegionName, body []byte) (status int, reply []byte, known bool)
}

const (
	maxAnnouncementBytes = 1 << 20
	// maxAnnouncementValues bounds the decoded form: a run of 3 bytes becomes 150. The
	// runs of a target have ten values each.
	maxAnnouncementValues = 50_000
	// announcementCost is how many times its size an announcement takes beside its text:
	// within the bound of values, lists that double while they are decoded.
	announcementCost = 8
)

// Routes adds the interface to an application.
func (s *Server) Routes(app *iris.Application) {
	app.Post(PathAnnounce, s.announce)
}

func (s *Server) announce(ctx iris.Context) {
	w := ctx.ResponseWriter().Naive()
	data, err := s.Receiver.Read(w, ctx.Request(), maxAnnouncementBytes)
	if err == nil {
		_, err = receiver.Charge(ctx.Request(), int64(len(data))*announcementCost)
	}
	if err != nil {
		ctx.StatusCode(receiver.Status(w, err))
		_, _ = ctx.WriteString("announcement: " + err.Error() + "\n") // the target may have disconnected
		return
	}
	a, err := ParseAnnouncement(data)
	if err != nil {
		ctx.StatusCode(http.StatusBadRequest)
		_, _ = ctx.WriteString("announcement: " + err.Error() + "\n") // the target may have disconnected
		return
	}
	if s.Home != nil {
		if status, reply, known := s.Home(ctx.Request().Context(), a.Region, data); known {
			ctx.StatusCode(status)
			_, _ = ctx.Write(reply) // the target may have disconnected
			return
		}
	}
	reply, ok := s.Announcer.Announce(ctx.Request().Context(), &a)
	if !ok {
		ctx.StatusCode(http.StatusServiceUnavailable)
		return
	}
	out, err := json.Marshal(reply)
	if err != nil {
		ctx.StatusCode(http.StatusInternalServerError)
		return
	}
	ctx.ContentType("application/json")
	_, _ = ctx.Write(out) // the target may have disconnected
}

// ParseAnnouncement decodes and validates an announcement.
func ParseAnnouncement(data []byte) (Announcement, error) {
	var a Announcement
	if n := scanner.Values(data); n > maxAnnouncementValues {
		return a, fmt.Errorf("%d values, at most %d are allowed", n, maxAnnouncementValues)
	}
	if err := json.Unmarshal(data, &a); err != nil {
		return a, err
	}
	return a, a.check()
}

// check validates an announcement.
func (a *Announcement) check() error {
	host, _, err := net.SplitHostPort(a.Address)
	c := a.Capacity
	switch {
	case a.Name == "" || len(a.Name) > 200:
		return fmt.Errorf("name %q must have 1 to 200 bytes", a.Name)
	case err != nil || net.ParseIP(host) == nil:
		return fmt.Errorf("address %q is not an IP number and a port", a.Address)
	case c.CPU <= 0 || c.Memory <= 0 || c.Accelerators < 0:
		return fmt.Errorf("capacity %s is not above 0", c)
	case a.Slots <= 0 || a.Connections < 0:
		return fmt.Errorf("slots %d must be above 0 and connections %d not below", a.Slots, a.Connections)
	case a.Incarnation == 0 || a.Zone == "":
		return fmt.Errorf("incarnation and availability zone are needed")
	}
	return nil
}
