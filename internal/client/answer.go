package client

// MessagePack format codes used in requests and answers.
const (
	codeNil      = 0xc0
	codeFalse    = 0xc2
	codeTrue     = 0xc3
	codeFixMap   = 0x80 // plus the number of entries
	codeFixArray = 0x90 // plus the number of elements
	codeMap16    = 0xde
)

func appendAnswerHead(b []byte, id uint32) []byte {
	return appendUint(append(b, codeFixArray|answerLength, typeAnswer), id)
}

// An answer with rows is written as a head, the rows and a tail, to avoid copying the rows.

func appendDoneHead(b []byte, id uint32, rowBytes int) []byte {
	return appendBinHead(append(appendAnswerHead(b, id), codeNil, codeFixArray|2), rowBytes)
}

func appendDoneTail(b []byte) []byte { return append(b, codeFixMap) }

// encodeError encodes an answer without a result. An empty field name means no field.
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
