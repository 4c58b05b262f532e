package waxserve

import (
	"encoding/json"
	"net/http"
	"net/url"

	"github.com/labstack/echo/v4"
)

// BindJSON decodes a JSON body whatever content type the request names.
func BindJSON(c echo.Context, v any) error {
	return decode(json.NewDecoder(c.Request().Body), v)
}

// BindStrict is BindJSON for admin calls. It refuses unknown fields, so that a
// misspelt fault is not taken for one that is switched on.
func BindStrict(c echo.Context, v any) error {
	d := json.NewDecoder(c.Request().Body)
	d.DisallowUnknownFields()
	return decode(d, v)
}

func decode(d *json.Decoder, v any) error {
	if err := d.Decode(v); err != nil {
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
