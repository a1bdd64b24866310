import java.util.Map;

/** A server that turns requests away for a time; it answers each of them 503 with the rest of that time. */
final class RestingServer extends PlainServer {
    /** How long it takes to turn a request away; a server under pressure needs a moment for that, too. */
    static final long REFUSAL_MILLIS = 40;
    volatile long restsUntil;

    RestingServer(Store store, String id, int slots, Observer observer) throws Exception {
        super(store, "127.0.0.1", id, "desk", "a", slots, 40, 0, observer);
    }

    private long left() {
        return restsUntil - Record.now();
    }

    @Override
    boolean mayRun(Http.Message request) {
        return left() <= 0;
    }

    @Override
    void refuse(Http.Message request, Http.Connection connection, Map<String, String> headers) throws Exception {
        long left = left();
        if (left > 0) {
            Thread.sleep(REFUSAL_MILLIS);
            headers.put("Retry-After", "" + Math.max(1, (left + 999) / 1000));
        }
        super.refuse(request, connection, headers);
    }
}
