package endpoint

import (
	"bytes"
	"errors"
	"io"
)

// A result is stored in pages whose sizes, in bytes, double from the first one on, so that a small result takes little
// memory.
const (
	firstPageSize = 4 << 10
	maxPageSize   = 64 << 10
)

var errNoMemory = errors.New("result memory is exhausted")

// readPages reads a body to its end. It returns errNoMemory if the limit of result memory is reached. The pages read so
// far are returned with any error.
func (c *Client) readPages(body io.Reader) ([][]byte, error) {
	var pages [][]byte
	held := 0
	for size := firstPageSize; ; size = min(2*size, maxPageSize) {
		if !c.limits.ResultBytes.Grow(held, size) {
			return pages, errNoMemory
		}
		page, err := readPage(body, size)
		c.limits.ResultBytes.Release(size - len(page))
		held += len(page)
		if len(page) > 0 {
			pages = append(pages, page)
		}
		if err == io.EOF { //nolint:errorlint // an error that wraps io.EOF means a truncated body
			return pages, nil
		}
		if err != nil {
			return pages, err
		}
	}
}

// readPage reads a full page of the given size, or less with an error. Unlike io.ReadFull, it keeps the reader's error,
// so that a truncated body differs from one that ends.
func readPage(body io.Reader, size int) ([]byte, error) {
	page := make([]byte, size)
	filled := 0
	for filled < size {
		read, err := body.Read(page[filled:])
		filled += read
		if err != nil {
			return bytes.Clone(page[:filled]), err // holds no more memory than is reserved for it
		}
	}
	return page, nil
}

func totalSize(pages [][]byte) int64 {
	size := int64(0)
	for _, page := range pages {
		size += int64(len(page))
	}
	return size
}

// Pages returns a reader of the concatenated pages.
func Pages(pages [][]byte) io.Reader {
	readers := make([]io.Reader, len(pages))
	for i, page := range pages {
		readers[i] = bytes.NewReader(page)
	}
	return io.MultiReader(readers...)
}
