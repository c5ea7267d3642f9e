package change

const (
	firstFormat           = 1
	firstFormatWithReason = 2
)

// oldestFormat is the oldest format version that this program reads.
const oldestFormat = max(firstFormat, Format-1)

// FormatFor returns the format version for messages to a peer that writes the given version: the older one of the
// peer's and this program's. For a peer whose version is not known yet (0) it is the oldest that this program reads.
func FormatFor(peer int) int { return min(Format, max(peer, oldestFormat)) }

// Formats returns the format versions that this program reads, oldest first.
func Formats() []int {
	var formats []int
	for format := oldestFormat; format <= Format; format++ {
		formats = append(formats, format)
	}
	return formats
}
