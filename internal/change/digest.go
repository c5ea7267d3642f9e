package change

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"os"
)

// Digest identifies a text or a file by its contents: the first digestBytes bytes of its SHA-256 hash, in hex.
type Digest string

const digestBytes = 16

func hexDigest(sum []byte) Digest { return Digest(hex.EncodeToString(sum[:digestBytes])) }

// FileDigest returns the digest of a file's contents.
func FileDigest(path string) (Digest, error) {
	file, err := os.Open(path)
	if err != nil {
		return "", err
	}
	defer file.Close()
	hash := sha256.New()
	if _, err := io.Copy(hash, file); err != nil {
		return "", err
	}
	return hexDigest(hash.Sum(nil)), nil
}

// JSONDigest returns the digest of a JSON value. Texts that were decoded into the empty interface and differ only in
// white space or the order of object keys have the same digest.
func JSONDigest(value any) Digest {
	text, _ := json.Marshal(value) // callers pass encodable values; after an error it is the digest of an empty text
	sum := sha256.Sum256(text)
	return hexDigest(sum[:])
}
