package admin

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"github.com/gofiber/fiber/v3"
	"github.com/gofiber/fiber/v3/middleware/adaptor"
	"github.com/rotisserie/eris"

	"foxtailmux/config"
)

// maxStateBytes is the maximum size of the response to GET /state.
const maxStateBytes = 4 << 20

// ErrorResponse is the body of every error response.
type ErrorResponse struct {
	Error string `json:"error"`
}

// LogLevel is the body of the request and the response of PUT /v1/logLevel.
type LogLevel struct {
	Level string `json:"level"`
}

// routes registers the handlers with the roles that they require.
func (s *Server) routes() {
	read, operate := s.require(config.RoleRead), s.require(config.RoleOperate)
	s.app.Get("/healthz", func(c fiber.Ctx) error { return c.SendString("ok\n") })
	s.app.Get("/readyz", s.ready)
	s.app.Get("/metrics", read, adaptor.HTTPHandler(s.options.Metrics))
	s.app.Get("/state", read, s.state)
	s.app.Get("/v1/config", read, s.version)
	s.app.Get(config.StatusPath, s.statusAccess(read), s.status)
	s.app.Put("/v1/logLevel", operate, s.setLogLevel)
	for name, operation := range s.options.Operations {
		s.app.Post("/v1/"+name, operate, s.operationHandler(operation))
	}
}

// statusAccess requires the read role for the status of the configuration, but leaves it
// open before the first configuration, since the status then shows why there is none.
func (s *Server) statusAccess(read fiber.Handler) fiber.Handler {
	return func(c fiber.Ctx) error {
		if s.options.Version() == nil {
			return c.Next()
		}
		return read(c)
	}
}

func (s *Server) ready(c fiber.Ctx) error {
	if err := s.options.Ready(); err != nil {
		return sendError(c, http.StatusServiceUnavailable, err.Error())
	}
	return c.SendString("ready\n")
}

func (s *Server) state(c fiber.Ctx) error {
	data, err := json.Marshal(s.options.State())
	if err != nil {
		return eris.Wrap(err, "encode the state")
	}
	if len(data) > maxStateBytes {
		return sendError(c, http.StatusInternalServerError, fmt.Sprintf("the state has %d bytes, more than %d", len(data), maxStateBytes))
	}
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	return c.Send(data)
}

func (s *Server) version(c fiber.Ctx) error {
	v := s.options.Version()
	if v == nil {
		return sendError(c, http.StatusServiceUnavailable, "no configuration is in force yet")
	}
	return c.JSON(v)
}

func (s *Server) status(c fiber.Ctx) error {
	return c.JSON(s.options.Status())
}

func (s *Server) setLogLevel(c fiber.Ctx) error {
	var level LogLevel
	if err := json.Unmarshal(c.Body(), &level); err != nil {
		return sendError(c, http.StatusBadRequest, "the body must be JSON: "+err.Error())
	}
	if err := s.options.SetLogLevel(level.Level); err != nil {
		return sendError(c, http.StatusBadRequest, err.Error())
	}
	return c.JSON(level)
}

// operationHandler returns a handler that passes the JSON body of a request to an operation.
func (s *Server) operationHandler(run Operation) fiber.Handler {
	return func(c fiber.Ctx) error {
		body := c.Body()
		if len(body) > 0 && !json.Valid(body) {
			return sendError(c, http.StatusBadRequest, "the body must be JSON")
		}
		result, err := run(c.Context(), append(json.RawMessage(nil), body...))
		if err != nil {
			return sendError(c, http.StatusUnprocessableEntity, err.Error())
		}
		return c.JSON(result)
	}
}

func sendError(c fiber.Ctx, status int, reason string) error {
	return c.Status(status).JSON(ErrorResponse{Error: reason})
}

// handleError responds to a request whose handler returned an error or panicked.
func handleError(c fiber.Ctx, err error) error {
	var known *fiber.Error
	if errors.As(err, &known) {
		return sendError(c, known.Code, known.Message)
	}
	return sendError(c, http.StatusInternalServerError, err.Error())
}
