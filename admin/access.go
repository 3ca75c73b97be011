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

// require lets a request pass whose key has the role. Read access is open if
// the configuration holds no keys; operate access then is refused.
func (s *Server) require(role config.Role) fiber.Handler {
	return func(c fiber.Ctx) error {
		v := s.options.Version()
		if v == nil {
			return fail(c, http.StatusServiceUnavailable, "no configuration is in force yet")
		}
		if len(v.Document.Access) == 0 {
			return s.withoutKeys(c, role)
		}

		held, ok := roleOf(v.Document.Access, c.Get(fiber.HeaderAuthorization))
		if !ok {
			s.rejected.Add(1)
			c.Set(fiber.HeaderWWWAuthenticate, "Bearer")
			return fail(c, http.StatusUnauthorized, "the bearer key is missing or unknown")
		}
		if !includes(held, role) {
			return fail(c, http.StatusForbidden, "the key lacks the role "+string(role))
		}
		return c.Next()
	}
}

func (s *Server) withoutKeys(c fiber.Ctx, role config.Role) error {
	if role == config.RoleRead {
		return c.Next()
	}
	return fail(c, http.StatusForbidden, "the configuration holds no keys, so nobody has the role "+string(role))
}

// roleOf compares with every key in full, so that the time taken tells
// nothing of the keys.
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

func includes(held, role config.Role) bool {
	return held == config.RoleOperate || held == role
}
