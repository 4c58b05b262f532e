package waxforward

// pin restricts the request to servers of a software version.
func (req *requestState) pin(version string) { req.version, req.pinned = version, true }

// excludesVersion reports whether the request may not be sent to servers of the software
// version.
func (req *requestState) excludesVersion(version string) bool {
	return req.pinned && version != req.version
}
