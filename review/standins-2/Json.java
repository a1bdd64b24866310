/** The little of JSON that the stand-ins need. */
final class Json {
    private Json() {}

    static String quote(String text) {
        return "\"" + text.replace("\\", "\\\\").replace("\"", "\\\"") + "\"";
    }

    static String unquote(String text) {
        return text.substring(1, text.length() - 1).replace("\\\"", "\"").replace("\\\\", "\\");
    }

    /** Returns the text of the member called name of the object, or "{}" if there is none. */
    static String member(String object, String name) {
        int depth = 0;
        for (int i = 0; i < object.length(); i++) {
            char c = object.charAt(i);
            if (c == '"') {
                int end = stringEnd(object, i);
                int next = skipSpaces(object, end);
                boolean isName = depth == 1 && next < object.length() && object.charAt(next) == ':';
                if (isName && object.substring(i + 1, end - 1).equals(name)) {
                    int start = skipSpaces(object, next + 1);
                    return object.substring(start, valueEnd(object, start)).trim();
                }
                i = end - 1;
            } else if (c == '{' || c == '[') {
                depth++;
            } else if (c == '}' || c == ']') {
                depth--;
            }
        }
        return "{}";
    }

    private static int skipSpaces(String text, int from) {
        int at = from;
        while (at < text.length() && Character.isWhitespace(text.charAt(at))) at++;
        return at;
    }

    private static int stringEnd(String text, int start) {
        for (int i = start + 1; i < text.length(); i++) {
            if (text.charAt(i) == '\\') i++;
            else if (text.charAt(i) == '"') return i + 1;
        }
        return text.length();
    }

    private static int valueEnd(String text, int start) {
        int depth = 0;
        for (int i = start; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c == '"') i = stringEnd(text, i) - 1;
            else if (c == '{' || c == '[') depth++;
            else if ((c == '}' || c == ']' || c == ',') && depth == 0) return i;
            else if (c == '}' || c == ']') depth--;
        }
        return text.length();
    }
}
