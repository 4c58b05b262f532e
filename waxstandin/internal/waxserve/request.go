package waxserve

import (
	"encoding/json"
	"net/http"
	"net/url"

	"github.com/labstack/echo/v4"
)

// BindJSON decodes a JSON body whatever content type the request names.
func BindJSON(c echo.Context, v any) error {
	if err := json.NewDecoder(c.Request().Body).Decode(v); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, "body is not the expected JSON: "+err.Error())
	}
	return nil
}

// PathParam returns a decoded path parameter. The router of echo matches the raw
// path when there is one, and leaves its parameters encoded.
func PathParam(c echo.Context, name string) (string, error) {
	value := c.Param(name)
	if c.Request().URL.RawPath == "" {
		return value, nil
	}
	plain, err := url.PathUnescape(value)
	if err != nil {
		return "", echo.NewHTTPError(http.StatusBadRequest, "path is not properly encoded")
	}
	return plain, nil
}
