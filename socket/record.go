package socket

import "sync"

// maxRecordBytes is the largest head that is recorded; net/http reads one with its informational responses.
const maxRecordBytes = maxHeadBytes

// record holds what is read from a connection while it is needed. Its zero value is ready to use. It
// is safe for concurrent use.
type record struct {
	mutex  sync.Mutex
	active bool
	data   []byte
}

func (r *record) begin() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.active, r.data = true, nil
}

// add keeps data while the record is active. The reader of heads limits their size.
func (r *record) add(data []byte) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.active {
		r.data = append(r.data, data[:min(len(data), max(0, maxRecordBytes-len(r.data)))]...)
	}
}

// end returns the data and releases it.
func (r *record) end() []byte {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	data := r.data
	r.active, r.data = false, nil
	return data
}
