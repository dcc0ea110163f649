package link

import "time"

// ForceCheck makes the next call of Credentials check the files, however recent the last check is.
func (f *CredentialFiles) ForceCheck() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.checkedAt = time.Time{}
}
