package link

import "time"

// Expire lets the next use look at the files again.
func (f *Files) Expire() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.checked = time.Time{}
}
