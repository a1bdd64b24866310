package review;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small JSON parser and writer: objects are maps, arrays are lists. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        return new Json(text).value();
    }

    private void skip() {
        while (at < text.length() && Character.isWhitespace(text.charAt(at))) at++;
    }

    private Object value() {
        skip();
        char c = text.charAt(at);
        if (c == '{') return object();
        if (c == '[') return array();
        if (c == '"') return string();
        int start = at;
        while (at < text.length() && ",]}".indexOf(text.charAt(at)) < 0 && !Character.isWhitespace(text.charAt(at))) at++;
        String word = text.substring(start, at);
        switch (word) {
            case "null": return null;
            case "true": return true;
            case "false": return false;
            default: return word.matches("-?\\d+") ? (Object) Long.valueOf(word) : Double.valueOf(word);
        }
    }

    private Map<String, Object> object() {
        Map<String, Object> result = new LinkedHashMap<>();
        at++;
        skip();
        while (text.charAt(at) != '}') {
            skip();
            String key = string();
            skip();
            at++;
            result.put(key, value());
            skip();
            if (text.charAt(at) == ',') at++;
            skip();
        }
        at++;
        return result;
    }

    private List<Object> array() {
        List<Object> result = new ArrayList<>();
        at++;
        skip();
        while (text.charAt(at) != ']') {
            result.add(value());
            skip();
            if (text.charAt(at) == ',') at++;
            skip();
        }
        at++;
        return result;
    }

    private String string() {
        StringBuilder result = new StringBuilder();
        at++;
        while (text.charAt(at) != '"') {
            char c = text.charAt(at++);
            if (c != '\\') {
                result.append(c);
                continue;
            }
            char e = text.charAt(at++);
            switch (e) {
                case 'n': result.append('\n'); break;
                case 't': result.append('\t'); break;
                case 'r': result.append('\r'); break;
                case 'b': result.append('\b'); break;
                case 'f': result.append('\f'); break;
                case 'u':
                    result.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
                    at += 4;
                    break;
                default: result.append(e);
            }
        }
        at++;
        return result.toString();
    }

    static String write(Object value) {
        if (value == null) return "null";
        if (value instanceof Map) {
            StringBuilder out = new StringBuilder("{");
            for (Map.Entry<?, ?> e : ((Map<?, ?>) value).entrySet()) {
                if (out.length() > 1) out.append(',');
                out.append(write(e.getKey())).append(':').append(write(e.getValue()));
            }
            return out.append('}').toString();
        }
        if (value instanceof List) {
            StringBuilder out = new StringBuilder("[");
            for (Object e : (List<?>) value) {
                if (out.length() > 1) out.append(',');
                out.append(write(e));
            }
            return out.append(']').toString();
        }
        if (value instanceof Number || value instanceof Boolean) return value.toString();
        StringBuilder out = new StringBuilder("\"");
        for (char c : value.toString().toCharArray()) {
            if (c == '"' || c == '\\') out.append('\\').append(c);
            else if (c < ' ') out.append(String.format("\\u%04x", (int) c));
            else out.append(c);
        }
        return out.append('"').toString();
    }

    /** Builds an object from names and values in turn. */
    static Map<String, Object> of(Object... pairs) {
        Map<String, Object> result = new LinkedHashMap<>();
        for (int i = 0; i < pairs.length; i += 2) result.put((String) pairs[i], pairs[i + 1]);
        return result;
    }
}
