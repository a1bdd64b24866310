package oriolespindle.router.json

/**
 * Finds where the values of a JSON text begin and end, without decoding them.
 *
 * A text with values of several writers can be divided before it is decoded, so that a value that cannot be decoded
 * leaves the others usable. The syntax within a value is not checked, which its decoder does. Nesting costs neither
 * stack nor memory.
 */
public object JsonSlices {
    /** Returns the text of each element of the array [text], or null if [text] is not a complete array. */
    public fun elements(text: String): List<String>? {
        val cursor = Cursor(text)
        val elements = ArrayList<String>()
        val isComplete = cursor.takeList('[', ']') { cursor.takeValue()?.let(elements::add) }
        return elements.takeIf { isComplete }
    }

    /**
     * Returns the text of each member of the object [text] by its name, or null if [text] is not a complete object.
     *
     * Names are as written, with any escapes. The last of several members with the same name counts.
     */
    public fun members(text: String): Map<String, String>? {
        val cursor = Cursor(text)
        val members = LinkedHashMap<String, String>()
        val isComplete =
            cursor.takeList('{', '}') {
                val name = cursor.takeValue()?.removeSurrounding("\"")
                val value = if (cursor.take(':')) cursor.takeValue() else null
                if (name != null && value != null) members[name] = value
                value
            }
        return members.takeIf { isComplete }
    }

    /** Returns how many arrays and objects of [text] enclose its most deeply nested value. */
    public fun depth(text: String): Int {
        var depth = 0
        var deepest = 0
        var index = 0
        while (index < text.length) {
            when (text[index]) {
                '"' -> index = stringEnd(text, index) - 1
                '[', '{' -> deepest = maxOf(deepest, ++depth)
                ']', '}' -> depth--
            }
            index++
        }
        return deepest
    }

    /** Returns the index after the string that begins at [start]; an incomplete one lasts until the end of [text]. */
    private fun stringEnd(
        text: String,
        start: Int,
    ): Int {
        var index = start + 1
        while (index < text.length) {
            when (text[index]) {
                '\\' -> index++
                '"' -> return index + 1
            }
            index++
        }
        return text.length
    }

    private class Cursor(
        private val text: String,
    ) {
        private var index = 0

        /** Takes a list of parts between [open] and [close], and returns whether it is complete. */
        fun takeList(
            open: Char,
            close: Char,
            takePart: () -> Any?,
        ): Boolean {
            if (!take(open)) return false
            if (take(close)) return isAtEnd()
            do {
                if (takePart() == null) return false
            } while (take(','))
            return take(close) && isAtEnd()
        }

        /** Takes [char] if it is the next character that is not a space. */
        fun take(char: Char): Boolean {
            skipSpaces()
            val isNext = index < text.length && text[index] == char
            if (isNext) index++
            return isNext
        }

        /** Takes the next value, or returns null if there is none or if it is incomplete. */
        fun takeValue(): String? {
            skipSpaces()
            val start = index
            index = valueEnd(start) ?: return null
            return text.substring(start, index).trimEnd().ifEmpty { null }
        }

        private fun valueEnd(start: Int): Int? {
            var depth = 0
            var end = start
            while (end < text.length) {
                val char = text[end]
                when (char) {
                    '"' -> end = stringEnd(text, end) - 1
                    '[', '{' -> depth++
                    ']', '}' -> if (--depth < 0) return end
                    ',', ':' -> if (depth == 0) return end
                }
                end++
                if (depth == 0 && char in VALUE_ENDS) return end
            }
            return null
        }

        private fun isAtEnd(): Boolean {
            skipSpaces()
            return index == text.length
        }

        private fun skipSpaces() {
            while (index < text.length && text[index].isWhitespace()) index++
        }
    }

    private const val VALUE_ENDS = "\"]}"
}
