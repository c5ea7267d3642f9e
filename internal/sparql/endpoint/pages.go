package endpoint

import (
	"bytes"
	"errors"
	"io"
)

// pageSize is the size of the pages that a result is held in.
const pageSize = 64 << 10

var errNoMemory = errors.New("the memory for results is exhausted")

// readPages reads to the end of a body. It returns errNoMemory where the memory for results does not suffice; the pages
// read so far are returned with any error.
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
		if err == io.EOF { //nolint:errorlint // an error that wraps io.EOF is a body that breaks off
			return pages, nil
		}
		if err != nil {
			return pages, err
		}
	}
}

// readPage reads a full page, or less with an error. Unlike io.ReadFull it tells a body cut short from one that ends.
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

// Pages returns a reader of pages one after the other.
func Pages(pages [][]byte) io.Reader {
	readers := make([]io.Reader, len(pages))
	for i, page := range pages {
		readers[i] = bytes.NewReader(page)
	}
	return io.MultiReader(readers...)
}
