package jobstats

import (
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"time"

	"swiftreel/internal/canary"
	"swiftreel/internal/change"
)

const (
	// maxShareBytes is the maximum size of a request body with a share.
	maxShareBytes = 1 << 20
	// million is the denominator of shares.
	million = 1_000_000

	readTimeout    = 5 * time.Second
	writeTimeout   = 10 * time.Second
	idleTimeout    = 30 * time.Second
	maxHeaderBytes = 8 << 10
)

// Report is the state of a controller. Counts are since the start of the process: readers compute the difference of two
// reports with the same StartedUnixNS.
type Report struct {
	Format int `json:"format"` // version of the report format
	// StartedUnixNS identifies the process. It is by the controller's clock and must not be compared with other times.
	StartedUnixNS  int64         `json:"started"`
	Version        string        `json:"version"`
	SpecDigest     change.Digest `json:"spec"`     // from the operator's file in force
	SettingsDigest change.Digest `json:"settings"` // of the settings in force
	Ready          bool          `json:"ready"`
	PendingAnswers int64         `json:"owed"`
	ReloadsFailed  uint64        `json:"reloads_failed"`
	Probes         uint64        `json:"probes"` // sent
	EjectedEngines int           `json:"aside"`  // current number
	// TypeStats (by type) and EngineHealth (by engine) are the snapshot for a newer process of this controller.
	TypeStats    json.RawMessage                   `json:"learned,omitempty"`
	EngineHealth json.RawMessage                   `json:"health,omitempty"`
	JobCounts    map[canary.Group]canary.JobCounts `json:"work"`
	ReadyEngines []string                          `json:"engines,omitempty"` // sorted
	// SharePerMillion is the share of the fleet that the controller applies now.
	SharePerMillion int64 `json:"carries_per_million"`
}

// Share is the share of the fleet and of tenants' quotas that the controller may use.
type Share struct {
	PerMillion   int64            `json:"per_million"`      // of the fleet, 1 to 1,000,000
	TenantQuotas map[string]int64 `json:"quotas,omitempty"` // per million, 0 to 1,000,000
	ExpiryNS     int64            `json:"until_boot_ns"`    // by the machine's monotonic clock
}

// isValid reports whether all values are in range.
func (s Share) isValid() bool {
	if s.PerMillion <= 0 || s.PerMillion > million || s.ExpiryNS <= 0 {
		return false
	}
	for _, perMillion := range s.TenantQuotas {
		if perMillion < 0 || perMillion > million {
			return false
		}
	}
	return true
}

// Server serves reports and accepts shares.
type Server struct {
	listener net.Listener
	http     *http.Server
}

// Route is a further route of the server, with a pattern of http.ServeMux.
type Route struct {
	Pattern string
	Handler http.HandlerFunc
}

// Serve listens on an IPv4 TCP address. Until Close, it serves the result of report at GET /tally, passes shares
// received at POST /part to accept, and serves further routes. All functions are called concurrently.
func Serve(address string, report func() Report, accept func(Share), further ...Route) (*Server, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /tally", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(report()) // fails only if the client has disconnected
	})
	mux.HandleFunc("POST /part", func(w http.ResponseWriter, r *http.Request) {
		serveShare(w, r, accept)
	})
	for _, route := range further {
		mux.HandleFunc(route.Pattern, route.Handler)
	}
	server := &Server{
		listener: listener,
		http: &http.Server{
			Handler:        mux,
			ReadTimeout:    readTimeout,
			WriteTimeout:   writeTimeout,
			IdleTimeout:    idleTimeout,
			MaxHeaderBytes: maxHeaderBytes,
		},
	}
	go server.run()
	return server, nil
}

// serveShare decodes a share and passes it to accept if it is valid.
func serveShare(w http.ResponseWriter, r *http.Request, accept func(Share)) {
	var share Share
	err := json.NewDecoder(io.LimitReader(r.Body, maxShareBytes)).Decode(&share)
	if err != nil || !share.isValid() {
		http.Error(w, "no part", http.StatusUnprocessableEntity)
		return
	}
	accept(share)
	w.WriteHeader(http.StatusNoContent)
}

// run serves until Close.
func (s *Server) run() {
	if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		slog.Error("report_server_stopped", "reason", err)
	}
}

// Address returns the listen address.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Close stops the server and closes its connections.
func (s *Server) Close() {
	_ = s.http.Close() // an error does not matter: the listener is no longer used
}
