package waxserve

import "github.com/labstack/echo/v4"

// AdminMiddleware exempts the connections of admin requests from Server.Silence.
func AdminMiddleware(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if conn := ConnFromContext(c.Request().Context()); conn != nil {
			conn.ExemptFromSilence()
		}
		return next(c)
	}
}
