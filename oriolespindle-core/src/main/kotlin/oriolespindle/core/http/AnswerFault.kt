package oriolespindle.core.http

/** What makes the bytes that a server sends no answer over HTTP/1.1; logs and metrics show [code]. */
public enum class AnswerFault(
    public val code: String,
) {
    /** The first line does not begin with `HTTP/1.`, one digit and a space. */
    VERSION("malformed_version"),

    /** The status is not a number of three digits from 100 to 599. */
    STATUS("malformed_status"),

    /** The reason phrase has a control byte. */
    REASON_PHRASE("malformed_reason_phrase"),

    /** The name of a field is empty, has no colon after it, or has a byte that names may not have, such as a blank. */
    FIELD_NAME("malformed_field_name"),

    /** The value of a field has a control byte. */
    FIELD_VALUE("malformed_field_value"),

    /** A line of the head begins with a blank, so that it continues the line before it. */
    FOLDED_LINE("folded_line"),

    /** The head has too many bytes or fields. */
    HEAD_TOO_LARGE("answer_head_too_large"),

    /** The fields that tell where the body ends contradict each other, cannot be read or name an unknown coding. */
    FRAMING("malformed_framing"),

    /** The connection ended inside the head. */
    HEAD_CUT("head_cut"),

    /** The size or the end of a chunk cannot be read. */
    CHUNK("malformed_chunk"),

    /** A field that follows the last chunk cannot be read. */
    TRAILER("malformed_trailer"),

    /** Too many bytes arrived that are no part of the answer, such as interim answers. */
    SURPLUS("surplus_bytes"),
}
