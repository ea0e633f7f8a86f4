package configstate

import (
	"encoding/binary"
	"testing"

	"github.com/cespare/xxhash/v2"
)

// FuzzRecords feeds a reader records and offers with a valid checksum around an
// arbitrary body. The reader must not panic or change its version.
func FuzzRecords(f *testing.F) {
	log, s := newFakeLog(), New()
	mustPublish(log, s, Base, "a = 0\n", "genesis")
	mustPublish(log, s, Overlay("gent"), "b = 1\n", "overlay")
	mustSnapshot(log, s)
	for _, r := range log.records {
		f.Add(r.Data[len(magic)], r.Data[len(magic)+1], r.Data[headerBytes:])
	}
	f.Add(byte(kindPublish), byte(compressionDeflate), []byte{0xff})
	head, _ := s.Current()
	f.Fuzz(func(t *testing.T, kind, packing byte, body []byte) {
		data := append([]byte(magic), kind, packing)
		data = binary.BigEndian.AppendUint64(data, xxhash.Sum64(body))
		data = append(data, body...)
		reader := New()
		log.catchUp(reader)
		_, _ = reader.ApplyOffer(Offer{Snapshot: data}, log.now())
		_, _ = reader.ApplyOffer(Offer{Records: []Record{{Offset: log.next(), Data: data}}}, log.now())
		_, _ = DecodeDigest(body)
		next := log.next()
		page := Page{Records: []Record{{Offset: next, Data: data}}, Next: next + 1}
		reader.ApplyPage(page, log.now(), log.now())
		if reader.Confirmed() != head.Version {
			t.Fatalf("version changed to %v", reader.Confirmed())
		}
	})
}
