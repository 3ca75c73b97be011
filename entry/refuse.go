package entry

import (
	"errors"
	"net/http"
	"slices"
	"strings"

	"github.com/gofiber/fiber/v3"
	"github.com/valyala/fasthttp"

	"foxtailmux/model"
)

// libraryRefusals are the failures that callers receive for requests that the HTTP
// library refuses, by HTTP status. Such requests reach no handler, so that nothing of
// them runs.
var libraryRefusals = map[int]model.Failure{
	http.StatusBadRequest:                  {Kind: model.FailBadRequest, Reason: "the request is not valid HTTP"},
	http.StatusNotFound:                    {Kind: model.FailBadRequest, Reason: "the path does not exist"},
	http.StatusMethodNotAllowed:            {Kind: model.FailBadRequest, Reason: "the path does not take this method"},
	http.StatusRequestTimeout:              {Kind: model.FailBadRequest, Reason: "the request did not arrive in time"},
	http.StatusRequestEntityTooLarge:       {Kind: model.FailTooLarge, Reason: "the body is too large"},
	http.StatusUnsupportedMediaType:        {Kind: model.FailBadRequest, Reason: "the body may not be compressed"},
	http.StatusRequestHeaderFieldsTooLarge: {Kind: model.FailTooLarge, Reason: "the headers are too large"},
	http.StatusNotImplemented:              {Kind: model.FailBadRequest, Reason: "the method does not exist"},
}

// onError responds to a request that the HTTP library refused, or whose handler
// returned an error.
func (s *Server) onError(c fiber.Ctx, err error) error {
	r := &request{ctx: c}
	var refused *fiber.Error
	if !errors.As(err, &refused) {
		a := model.Fail("", model.RanMaybe, model.FailInternal, err.Error())
		return s.answer(r, a)
	}

	failure, ok := libraryRefusals[refused.Code]
	if !ok {
		failure = model.Failure{Kind: model.FailBadRequest, Reason: refused.Message}
	}
	return s.answerStatus(r, refused.Code, refuse(failure.Kind, failure.Reason))
}

// refuseCompressed refuses compressed bodies, since a small one could exceed the size
// limit when it is decompressed.
func refuseCompressed(c fiber.Ctx) error {
	coding := c.Get(fiber.HeaderContentEncoding)
	if coding != "" && !strings.EqualFold(coding, fiber.StrIdentity) {
		return fiber.ErrUnsupportedMediaType
	}
	return c.Next()
}

// refuseUnknownMethods wraps the router, which would respond to unknown methods by
// itself, without the error handler.
func (s *Server) refuseUnknownMethods(app *fiber.App) error {
	server := app.Server()
	route := server.Handler
	server.Handler = func(ctx *fasthttp.RequestCtx) {
		if slices.Contains(fiber.DefaultMethods, string(ctx.Method())) {
			route(ctx)
			return
		}

		c := app.AcquireCtx(ctx)
		defer app.ReleaseCtx(c)
		_ = s.onError(c, fiber.ErrNotImplemented) // it has written the response
	}
	return nil
}
