package oriolespindle.core.http

/**
 * Checks the head of one answer after another, byte by byte, by the grammar of RFC 9112 and RFC 9110.
 *
 * Decoders of HTTP repair much that the grammar forbids, and two of them may read different answers from the same
 * bytes. A relay must not choose one, so it needs to know that a head has only one reading. Folded lines are valid for
 * some decoders only and count as faults. Lines may end without a carriage return, and empty lines may precede a head.
 */
public class AnswerHeadCheck {
    private var part = Part.START

    /** The number of bytes of the part in progress, for parts of a fixed length. */
    private var column = 0
    private var isAfterCarriageReturn = false

    /** What is wrong with the head, or null. */
    public var fault: AnswerFault? = null
        private set

    /** Whether all bytes of a head were accepted. */
    public val isComplete: Boolean get() = part == Part.END

    /** Whether some bytes of a head were accepted, but not all. */
    public val isPartial: Boolean get() = part != Part.START && part != Part.END

    /** Checks the next [byte]; returns whether the head goes on after it. */
    public fun accept(byte: Byte): Boolean {
        val char = byte.toInt() and BYTE_MASK
        val endsLine = char == LINE_FEED && part.mayEndLine
        val mayFollow = endsLine || (!isAfterCarriageReturn && (char != CARRIAGE_RETURN || part.mayEndLine))
        isAfterCarriageReturn = char == CARRIAGE_RETURN
        when {
            !mayFollow -> fault = part.fault
            endsLine -> enter(nextLine())
            !isAfterCarriageReturn -> accept(char)
        }
        return fault == null && !isComplete
    }

    /** Expects the head of the next answer. */
    public fun reset() {
        enter(Part.START)
        isAfterCarriageReturn = false
        fault = null
    }

    private fun accept(char: Int) {
        val isValid =
            when (part) {
                Part.START, Part.VERSION -> isVersion(char)
                Part.STATUS -> isStatus(char)
                Part.STATUS_END -> char == SPACE
                Part.REASON_PHRASE, Part.FIELD_VALUE -> isText(char)
                Part.FIELD_START -> isNameChar(char)
                Part.FIELD_NAME -> char == COLON || isNameChar(char)
                Part.END -> false
            }
        when {
            !isValid && part == Part.FIELD_START && isBlank(char) -> fault = AnswerFault.FOLDED_LINE
            !isValid -> fault = part.fault
            else -> advance(char)
        }
    }

    private fun advance(char: Int) {
        column++
        when (part) {
            Part.START -> part = Part.VERSION
            Part.VERSION -> if (column == VERSION.length) enter(Part.STATUS)
            Part.STATUS -> if (column == STATUS_DIGITS) enter(Part.STATUS_END)
            Part.STATUS_END -> enter(Part.REASON_PHRASE)
            Part.FIELD_START -> enter(Part.FIELD_NAME)
            Part.FIELD_NAME -> if (char == COLON) enter(Part.FIELD_VALUE)
            Part.REASON_PHRASE, Part.FIELD_VALUE, Part.END -> Unit
        }
    }

    private fun enter(next: Part) {
        part = next
        column = 0
    }

    /** The part that follows the end of a line. */
    private fun nextLine(): Part =
        when (part) {
            Part.START -> Part.START
            Part.FIELD_START -> Part.END
            else -> Part.FIELD_START
        }

    private fun isVersion(char: Int): Boolean =
        if (column == MINOR_VERSION_COLUMN) isDigit(char) else char == VERSION[column].code

    private fun isStatus(char: Int): Boolean = if (column == 0) char in FIRST_STATUS_DIGITS else isDigit(char)

    /** @property mayEndLine whether a line may end here. */
    private enum class Part(
        val fault: AnswerFault,
        val mayEndLine: Boolean = false,
    ) {
        START(AnswerFault.VERSION, mayEndLine = true),
        VERSION(AnswerFault.VERSION),
        STATUS(AnswerFault.STATUS),
        STATUS_END(AnswerFault.STATUS, mayEndLine = true),
        REASON_PHRASE(AnswerFault.REASON_PHRASE, mayEndLine = true),
        FIELD_START(AnswerFault.FIELD_NAME, mayEndLine = true),
        FIELD_NAME(AnswerFault.FIELD_NAME),
        FIELD_VALUE(AnswerFault.FIELD_VALUE, mayEndLine = true),
        END(AnswerFault.SURPLUS),
    }

    private companion object {
        const val BYTE_MASK = 0xff
        const val TAB = 0x09
        const val LINE_FEED = 0x0a
        const val CARRIAGE_RETURN = 0x0d
        const val SPACE = 0x20
        const val DELETE = 0x7f
        const val COLON = 0x3a

        /** What precedes the status; the minor version may be any digit. */
        const val VERSION = "HTTP/1.x "
        const val MINOR_VERSION_COLUMN = 7
        const val STATUS_DIGITS = 3
        val FIRST_STATUS_DIGITS = '1'.code..'5'.code

        /** Beside letters and digits. */
        const val NAME_SYMBOLS = "!#$%&'*+-.^_`|~"
        val NAME_CHARS =
            BooleanArray(BYTE_MASK + 1).also { isName ->
                (('0'..'9') + ('A'..'Z') + ('a'..'z') + NAME_SYMBOLS.toList()).forEach { isName[it.code] = true }
            }

        fun isNameChar(char: Int): Boolean = NAME_CHARS[char]

        fun isBlank(char: Int): Boolean = char == SPACE || char == TAB

        fun isText(char: Int): Boolean = char == TAB || (char >= SPACE && char != DELETE)

        fun isDigit(char: Int): Boolean = char in '0'.code..'9'.code
    }
}
