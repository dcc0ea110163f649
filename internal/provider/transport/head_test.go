package transport

import "testing"

// TestHeadScanner checks that the result does not depend on how the bytes arrive, and that bodies are not scanned.
func TestHeadScanner(t *testing.T) {
	tests := map[string]struct {
		response string
		wantErr  bool
	}{
		"a body with blanks after line ends": {"HTTP/1.1 200 OK\r\nA: x\r\n\r\n\n x\n\ty\r\n\r\n z", false},
		"line ends without carriage returns": {"HTTP/1.1 200 OK\nA: x\n\n x", false},
		"an informational response":          {"HTTP/1.1 103 Early Hints\r\nA: x\r\n\r\nHTTP/1.1 200 OK\r\nA: x\r\n\r\n x", false},
		"a status line with two blanks":      {"HTTP/1.1  200 OK\r\n\r\n x\r\n y", false},
		"no reason phrase":                   {"HTTP/1.1 200\r\n\r\n x\r\n y", false},
		"a folded line":                      {"HTTP/1.1 200 OK\r\nA: x\r\n y\r\n\r\n", true},
		"a folded line after a line feed":    {"HTTP/1.1 200 OK\nA: x\n\ty\n\n", true},
		"a blank line that is not empty":     {"HTTP/1.1 200 OK\r\nA: x\r\n \r\n\r\n", true},
		"after an informational response":    {"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nA: x\r\n y\r\n\r\n", true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			for i := range test.response {
				s := &headScanner{}
				err := s.scan([]byte(test.response[:i]))
				if err == nil {
					err = s.scan([]byte(test.response[i:]))
				}
				if (err != nil) != test.wantErr {
					t.Errorf("cut at byte %d: error %v; want an error: %t", i, err, test.wantErr)
				}
			}
		})
	}
}
