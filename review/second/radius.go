package main

// A packet of RADIUS (RFC 2865): code, identifier, length, authenticator, attributes.
const (
	accessRequest = 1
	accessAccept  = 2
	accessReject  = 3

	userName             = 1
	nasIdentifier        = 32
	proxyState           = 33
	messageAuthenticator = 80

	headBytes = 20
)

func appendAttr(b []byte, kind byte, value []byte) []byte {
	return append(append(b, kind, byte(2+len(value))), value...)
}

// attrs calls f for each attribute, with the offset of its value.
func attrs(packet []byte, f func(kind byte, value []byte, at int)) {
	for at := headBytes; at+2 <= len(packet) && packet[at+1] >= 2 && at+int(packet[at+1]) <= len(packet); at += int(packet[at+1]) {
		f(packet[at], packet[at+2:at+int(packet[at+1])], at+2)
	}
}
