package change

const (
	firstFormat           = 1
	firstFormatWithReason = 2
)

// oldestFormat is the oldest version that this program reads.
const oldestFormat = max(firstFormat, Format-1)

// FormatFor returns the version in which to write to a peer that writes the given one: the older of both. A peer whose
// version is not known yet (0) is written to in the oldest that any supported release reads.
func FormatFor(peer int) int { return min(Format, max(peer, oldestFormat)) }

// Formats returns the versions that this program reads, oldest first.
func Formats() []int {
	var formats []int
	for format := oldestFormat; format <= Format; format++ {
		formats = append(formats, format)
	}
	return formats
}
