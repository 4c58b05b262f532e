package waxserve

import (
	"encoding/json"
	"net/http"
	"net/url"

	"github.com/labstack/echo/v4"
)

// BindJSON decodes a JSON body, whatever the content type.
//
// Errors: echo.HTTPError with status 400 if the body is not valid.
func BindJSON(c echo.Context, v any) error {
	return decodeJSON(json.NewDecoder(c.Request().Body), v)
}

// BindJSONStrict is BindJSON for admin requests. It rejects unknown fields, so that
// a misspelled fault is not ignored.
func BindJSONStrict(c echo.Context, v any) error {
	d := json.NewDecoder(c.Request().Body)
	d.DisallowUnknownFields()
	return decodeJSON(d, v)
}

func decodeJSON(d *json.Decoder, v any) error {
	if err := d.Decode(v); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, "body is not the expected JSON: "+err.Error())
	}
	return nil
}

// PathParam returns a decoded path parameter. If the URL has a raw path, echo matches
// the raw path and leaves the parameters percent-encoded.
//
// Errors: echo.HTTPError with status 400 if the encoding is not valid.
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
