package gateway

import (
	"strings"

	"github.com/tidwall/gjson"
)

// event is what the relay needs of one event of a stream.
type event struct {
	id    gjson.Result
	usage gjson.Result
	text  string
	// choices counts the choices; plain events hold nothing but text of the first one.
	choices  int
	plain    bool
	finished bool
}

// readEvent reads the members of an event in one pass.
func readEvent(data string) event {
	e := event{plain: true}
	gjson.Parse(data).ForEach(func(k, v gjson.Result) bool {
		switch k.Str {
		case "id":
			e.id = v
		case "usage":
			e.usage = v
		case "choices":
			e.readChoices(v)
		}
		return true
	})
	return e
}

func (e *event) readChoices(list gjson.Result) {
	list.ForEach(func(_, choice gjson.Result) bool {
		e.choices++
		if e.choices > 1 {
			e.plain = false
			return false
		}
		choice.ForEach(func(k, v gjson.Result) bool {
			e.readChoice(k.Str, v)
			return true
		})
		return true
	})
}

func (e *event) readChoice(key string, v gjson.Result) {
	switch key {
	case "index":
		e.plain = e.plain && v.Num == 0
	case "text":
		e.text = v.Str
	case "finish_reason":
		e.finished = v.Str != ""
	case "logprobs":
		e.plain = e.plain && v.Type == gjson.Null
	case "delta":
		v.ForEach(func(k, v gjson.Result) bool {
			switch {
			case k.Str == "content":
				e.text = v.Str
			case k.Str == "role" || v.Type == gjson.Null || v.Raw == `""` || v.Raw == "[]":
			default:
				// Tool calls, reasoning and the like cannot be continued as text.
				e.plain = false
			}
			return true
		})
	}
}

// without returns the JSON object data without its member key, whose value is v.
func without(data, key string, v gjson.Result) string {
	name := strings.LastIndex(data[:v.Index], `"`+key+`"`)
	if v.Index == 0 || name < 0 {
		return data
	}
	before := strings.TrimRight(data[:name], " ")
	after := strings.TrimLeft(data[v.Index+len(v.Raw):], " ")
	switch {
	case strings.HasSuffix(before, ","):
		return before[:len(before)-1] + after
	case strings.HasPrefix(after, ","):
		return before + after[1:]
	}
	return before + after
}
