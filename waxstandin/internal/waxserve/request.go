package waxserve

import (
	"encoding/json"
	"net/http"
	"net/url"

	"github.com/labstack/echo/v4"
)

// BindJSON decodes a JSON body, whatever the content type. Its error is a 400
// response.
func BindJSON(c echo.Context, v any) error {
	return decode(json.NewDecoder(c.Request().Body), v)
}

// BindStrict is BindJSON for admin requests. It rejects unknown fields, so that a
// misspelt fault is not silently ignored.
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

// PathParam returns a decoded path parameter. If the URL has a raw path, the router
// of echo matches that and leaves the parameters encoded.
func PathParam(c echo.Context, name string) (string, error) {
	value := c.Param(name)
	if c.Request().URL.RawPath == "" {
		return value, nil
	}
	decoded, err := url.PathUnescape(value)
	if err != nil {
		return "", echo.NewHTTPError(http.StatusBadRequest, "invalid percent-encoding in path")
	}
	return decoded, nil
}
