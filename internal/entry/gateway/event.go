package gateway

import (
	"strings"

	"github.com/tidwall/gjson"
)

// streamEvent holds the parts of a stream event that [streamForwarder] needs.
type streamEvent struct {
	id    gjson.Result
	usage gjson.Result
	text  string
	// choices counts the choices. Counting stops at 2.
	choices int
	// textOnly is set if the event has nothing but text of the first choice.
	textOnly bool
	// finished is set if the event has a finish reason.
	finished bool
}

// parseEvent parses an event. It returns false if data is no event of an engine: these are JSON objects that have choices.
func parseEvent(data string) (e streamEvent, ok bool) {
	if !gjson.Valid(data) {
		return e, false
	}
	e.textOnly = true
	parsed := gjson.Parse(data)
	parsed.ForEach(func(k, v gjson.Result) bool {
		switch k.Str {
		case "id":
			e.id = v
		case "usage":
			e.usage = v
		case "choices":
			ok = v.IsArray()
			e.parseChoices(v)
		}
		return true
	})
	return e, ok && parsed.IsObject()
}

func (e *streamEvent) parseChoices(list gjson.Result) {
	list.ForEach(func(_, choice gjson.Result) bool {
		e.choices++
		if e.choices > 1 {
			e.textOnly = false
			return false
		}
		choice.ForEach(func(k, v gjson.Result) bool {
			e.parseChoiceField(k.Str, v)
			return true
		})
		return true
	})
}

func (e *streamEvent) parseChoiceField(key string, v gjson.Result) {
	switch key {
	case "index":
		e.textOnly = e.textOnly && v.Num == 0
	case "text":
		e.text = v.Str
	case "finish_reason":
		e.finished = v.Str != ""
	case "logprobs":
		e.textOnly = e.textOnly && v.Type == gjson.Null
	case "delta":
		v.ForEach(func(k, v gjson.Result) bool {
			switch {
			case k.Str == "content":
				e.text = v.Str
			case k.Str == "role" || v.Type == gjson.Null || v.Raw == `""` || v.Raw == "[]":
			default:
				// Another server cannot resume tool calls, reasoning and similar output from its text.
				e.textOnly = false
			}
			return true
		})
	}
}

// deleteField returns the JSON object data without the field key, whose value is v.
func deleteField(data, key string, v gjson.Result) string {
	start := strings.LastIndex(data[:v.Index], `"`+key+`"`)
	if v.Index == 0 || start < 0 {
		return data
	}
	before := strings.TrimRight(data[:start], " ")
	after := strings.TrimLeft(data[v.Index+len(v.Raw):], " ")
	switch {
	case strings.HasSuffix(before, ","):
		return before[:len(before)-1] + after
	case strings.HasPrefix(after, ","):
		return before + after[1:]
	}
	return before + after
}
