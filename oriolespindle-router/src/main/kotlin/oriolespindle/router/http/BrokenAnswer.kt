package oriolespindle.router.http

import oriolespindle.core.http.AnswerFault

/** What [ResponseDecoder] emits in place of an answer, or of its rest, that cannot be read because of [fault]. */
internal class BrokenAnswer(
    val fault: AnswerFault,
    val cause: Throwable? = null,
)
