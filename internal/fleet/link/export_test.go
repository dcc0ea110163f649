package link

import "time"

// ForceCheck lets the next use look at the files again.
func (f *CredentialFiles) ForceCheck() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.checked = time.Time{}
}
