package client

// Format codes of the values that answers and requests are made of.
const (
	codeNil      = 0xc0
	codeFalse    = 0xc2
	codeTrue     = 0xc3
	codeFixMap   = 0x80 // and the number of entries
	codeFixArray = 0x90 // and the number of elements
	codeMap16    = 0xde
)

func appendAnswerHead(b []byte, id uint32) []byte {
	return appendUint(append(b, codeFixArray|answerLength, typeAnswer), id)
}

// An answer with rows is a head, the rows and a tail, so that rows need no copy.

func appendDoneHead(b []byte, id uint32, rowBytes int) []byte {
	return appendBinHead(append(appendAnswerHead(b, id), codeNil, codeFixArray|2), rowBytes)
}

func appendDoneTail(b []byte) []byte { return append(b, codeFixMap) }

// encodeError returns an answer without a result; an empty field is left out.
func encodeError(id uint32, name, field, value string) []byte {
	b := appendStr(append(appendAnswerHead(nil, id), codeFixArray|2), name)
	if field == "" {
		b = append(b, codeFixMap)
	} else {
		b = appendStr(appendStr(append(b, codeFixMap|1), field), value)
	}
	return append(b, codeNil)
}

func appendHeartbeatAnswer(b []byte, id uint32, isReady bool) []byte {
	code := byte(codeFalse)
	if isReady {
		code = codeTrue
	}
	return append(appendAnswerHead(b, id), codeNil, codeFixArray|2, code, codeFixMap)
}
