package transport

// headScanner finds line folding in the head of a response and in those of informational responses before it. It remembers
// its place between calls of scan.
type headScanner struct {
	// lines counts the complete lines of the head, lineBytes the bytes of the current line without its end.
	lines, lineBytes int
	// inStatus is true after the first blank of the status line. class is the first character of the status, or 0.
	inStatus bool
	class    byte
	// done is true after the final head.
	done bool
}

// scan reads the next bytes of the connection. It returns a [MalformedError] for a line of a head that begins with a blank or
// a tab. net/http appends such a line to the field before it. RFC 9112, section 5.2, lets a gateway reject the response.
func (s *headScanner) scan(p []byte) error {
	for _, b := range p {
		switch {
		case s.done:
			return nil
		case b == '\r':
		case b == '\n' && s.lineBytes == 0:
			*s = headScanner{done: s.class != '1'}
		case b == '\n':
			s.lines++
			s.lineBytes = 0
		case s.lines > 0 && s.lineBytes == 0 && (b == ' ' || b == '\t'):
			return &MalformedError{"a folded line in the head"}
		default:
			s.lineBytes++
			if s.lines == 0 {
				s.scanStatusLine(b)
			}
		}
	}
	return nil
}

func (s *headScanner) scanStatusLine(b byte) {
	switch {
	case b == ' ':
		s.inStatus = true
	case s.inStatus && s.class == 0:
		s.class = b
	}
}
