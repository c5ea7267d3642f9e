package endpoint

import (
	"bytes"
	"errors"
	"io"
)

// pageSize is the size in bytes of the pages in which a result is stored.
const pageSize = 64 << 10

var errNoMemory = errors.New("result memory is exhausted")

// readPages reads a body to its end. It returns errNoMemory if the limit of result memory is reached. The pages read so
// far are returned with any error.
func (c *Client) readPages(body io.Reader) ([][]byte, error) {
	var pages [][]byte
	for {
		if !c.limits.ResultBytes.Reserve(pageSize) {
			return pages, errNoMemory
		}
		page, err := readPage(body)
		c.limits.ResultBytes.Release(pageSize - len(page))
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

// readPage reads a full page, or less with an error. Unlike io.ReadFull, it keeps the reader's error, so that a
// truncated body differs from one that ends.
func readPage(body io.Reader) ([]byte, error) {
	page := make([]byte, pageSize)
	size := 0
	for size < pageSize {
		read, err := body.Read(page[size:])
		size += read
		if err != nil {
			return page[:size:size], err
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
