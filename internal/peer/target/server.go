package target

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"

	"github.com/kataras/iris/v12"

	"masticroad/internal/control/registrar"
)

// This file takes in the announcements of targets.

// Announcer passes an announcement on and returns its reply; ok is false when
// no leader answered in time.
type Announcer interface {
	Announce(ctx context.Context, a *Announcement) (AnnounceReply, bool)
}

// Server takes in announcements. The exported fields are set before Routes.
type Server struct {
	Announcer Announcer
	// Home, when set, passes an announcement on to its target's region; known is
	// false when the target belongs to this one. Each target is kept in one log,
	// so that it is charged once.
	Home func(ctx context.Context, region registrar.RegionName, body []byte) (status int, reply []byte, known bool)
}

const maxAnnouncement = 1 << 20

// Routes adds the interface to an application.
func (s *Server) Routes(app *iris.Application) {
	app.Post(PathAnnounce, s.announce)
}

func (s *Server) announce(ctx iris.Context) {
	data, err := io.ReadAll(http.MaxBytesReader(ctx.ResponseWriter(), ctx.Request().Body, maxAnnouncement))
	var a Announcement
	if err == nil {
		a, err = ParseAnnouncement(data)
	}
	if err != nil {
		ctx.StatusCode(http.StatusBadRequest)
		_, _ = ctx.WriteString("announcement: " + err.Error() + "\n") // the target may be gone
		return
	}
	if s.Home != nil {
		if status, reply, known := s.Home(ctx.Request().Context(), a.Region, data); known {
			ctx.StatusCode(status)
			_, _ = ctx.Write(reply) // the target may be gone
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
	_, _ = ctx.Write(out) // the target may be gone
}

// ParseAnnouncement reads an announcement and refuses one that can't be of a
// target.
func ParseAnnouncement(data []byte) (Announcement, error) {
	var a Announcement
	if err := json.Unmarshal(data, &a); err != nil {
		return a, err
	}
	return a, a.check()
}

// check refuses announcements that can't be of a target.
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
