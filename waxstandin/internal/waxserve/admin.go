package waxserve

import "github.com/labstack/echo/v4"

// Admin is the middleware of admin calls. Their connections never go silent.
func Admin(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if conn := ConnOf(c.Request().Context()); conn != nil {
			conn.MarkAdmin()
		}
		return next(c)
	}
}
