package oriolespindle.router.relay

/**
 * Runs [step] and passes what it throws to [onError]; used where an error would leave a request without an answer.
 *
 * A stack overflow is caught as well, since input of others can cause it. Other errors of the virtual machine are not.
 */
internal inline fun catchingErrors(
    step: () -> Unit,
    onError: (Throwable) -> Unit,
) {
    try {
        step()
    } catch (e: Exception) {
        onError(e)
    } catch (e: StackOverflowError) {
        onError(e)
    }
}
