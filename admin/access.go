package admin

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/gofiber/fiber/v3"

	"foxtailmux/config"
)

const bearerPrefix = "Bearer "

// require returns a handler that passes requests on if their key has the role. While the
// configuration in force has no keys, read access is open to everybody and operate access is
// refused. Before the first configuration, every request is refused.
func (s *Server) require(role config.Role) fiber.Handler {
	return func(c fiber.Ctx) error {
		v := s.options.Version()
		if v == nil {
			return sendError(c, http.StatusServiceUnavailable, "no configuration is in force yet")
		}
		if len(v.Document.Access) == 0 {
			return s.checkKeylessRole(c, role)
		}

		held, ok := roleOf(v.Document.Access, c.Get(fiber.HeaderAuthorization))
		if !ok {
			s.rejected.Add(1)
			c.Set(fiber.HeaderWWWAuthenticate, "Bearer")
			return sendError(c, http.StatusUnauthorized, "the bearer key is missing or unknown")
		}
		if !roleCovers(held, role) {
			return sendError(c, http.StatusForbidden, "the key lacks the role "+string(role))
		}
		return c.Next()
	}
}

// checkKeylessRole handles a request while the configuration has no keys.
func (s *Server) checkKeylessRole(c fiber.Ctx, role config.Role) error {
	if role == config.RoleRead {
		return c.Next()
	}
	return sendError(c, http.StatusForbidden, "the configuration holds no keys, so nobody has the role "+string(role))
}

// roleOf returns the role of the key in an Authorization header. It compares the key with
// all configured ones in constant time, so that the response time reveals nothing about them.
func roleOf(keys []config.AccessKey, header string) (config.Role, bool) {
	secret, ok := strings.CutPrefix(header, bearerPrefix)
	if !ok {
		return "", false
	}

	sum := sha256.Sum256([]byte(secret))
	digest := []byte(hex.EncodeToString(sum[:]))
	var held config.Role
	found := false
	for _, k := range keys {
		if subtle.ConstantTimeCompare(digest, []byte(k.SHA256)) == 1 {
			held, found = k.Role, true
		}
	}
	return held, found
}

// roleCovers reports whether a key of the held role may do what the other role may do.
func roleCovers(held, role config.Role) bool {
	return held == config.RoleOperate || held == role
}
