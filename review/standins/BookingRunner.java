package review;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * A runner of a plain service that rejects requests, repeats responses late, loses answers and is slow while it is told to.
 * It may name the request in its rejections or not, limits its connections and closes idle ones.
 */
final class BookingRunner extends RepeatingRunner {
    private static final int MAX_LATE_MILLIS = 60;
    private static final int IDLE_MILLIS = 1_500;
    private static final double EARLY_ANSWER_SHARE = 0.3;

    /** A trouble, for a while, of a part of the requests. */
    enum Trouble {
        /** Requests are rejected though there is room. */
        SHED(0.45),
        /** The response comes once more, after a while or when the next request of the connection has begun to run. */
        EXTRA(0.2),
        /** The request runs, and the connection is reset in place of an answer. */
        LOST_BY_RESET(0.1),
        /** The request runs, and the connection is closed in place of an answer. */
        LOST_BY_CLOSE(0.1),
        /** The request runs, and nothing is answered until the caller closes the connection. */
        LOST_SILENTLY(0.05),
        /** An interim response comes first. */
        INTERIM(0.2),
        /** The connection is reset when a request has been read, which does not run. */
        RESET_UNRUN(0.1),
        /** Work takes five times as long. */
        SLOW(1),
        /** Nothing is read or answered; what arrives meanwhile is read later. */
        STILL(1),
        /** All connections are reset, also new ones. */
        CUT(1),
        /** What arrives is lost, and its connection is reset when the trouble ends, as by a machine that was without power. */
        DARK(1),
        /** The requests are rejected as by a runner that was started at this address under another id. */
        RENAMED(1);

        private final double share;

        Trouble(double share) {
            this.share = share;
        }

        /** Returns whether nothing is served meanwhile. */
        boolean isTotal() {
            return switch (this) {
                case STILL, CUT, DARK, RENAMED -> true;
                default -> false;
            };
        }
    }

    /**
     * What a seed determines.
     *
     * @param identified whether rejections bear the id of the request
     * @param slots the requests that run at once
     * @param queue the requests that wait
     * @param maxConnections the connections that are served; more are reset
     * @param workMillis how long a request runs
     */
    record Shape(boolean identified, int slots, int queue, int maxConnections, int workMillis) {
        /** Rejections bear ids if the seed is even. */
        static Shape draw(long seed, Random random) {
            return new Shape(seed % 2 == 0, 6, random.nextBoolean() ? 24 : 2, random.nextBoolean() ? 110 : 30, 15);
        }
    }

    private final int maxConnections;
    private final Map<Trouble, Long> until = new ConcurrentHashMap<>();
    private final Map<Connection, Boolean> connections = new ConcurrentHashMap<>();

    BookingRunner(StoreStandin store, Record record, String id, Shape shape, long seed) throws IOException {
        super(store, record, id, shape.slots(), shape.queue(), shape.workMillis(), shape.identified(), seed);
        this.maxConnections = shape.maxConnections();
    }

    void begin(Trouble t, int millis) throws IOException {
        record.write("runner " + id + ": " + t + " for " + millis + " ms");
        until.put(t, System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis));
        if (t == Trouble.CUT) {
            resetConnections();
        }
    }

    private boolean meets(Trouble t) {
        Long end = until.get(t);
        return end != null && end - System.nanoTime() > 0 && draw() < t.share;
    }

    private void waitWhileStill() throws InterruptedException {
        while (meets(Trouble.STILL)) {
            TimeUnit.MILLISECONDS.sleep(5);
        }
    }

    @Override
    boolean handle(Request r, Connection c) throws Exception {
        c.socket.setSoTimeout(IDLE_MILLIS);
        boolean isNew = connections.put(c, true) == null;
        connections.keySet().removeIf(o -> o.socket.isClosed());
        waitWhileStill();
        if (isLost(c)) {
            return false;
        }
        if (meets(Trouble.CUT) || (isNew && connections.size() > maxConnections)) {
            return reset(c);
        }
        if (r.path().equals("/healthz")) {
            return super.handle(r, c);
        }
        if (meets(Trouble.RESET_UNRUN)) {
            return reset(c);
        }
        if (meets(Trouble.RENAMED)) {
            return reject(r, c, 421, "");
        }
        return meets(Trouble.SHED) ? shed(r, c) : super.handle(r, c);
    }

    /** Waits while the connection is without effect; returns whether what it had received is lost and it was reset. */
    private boolean isLost(Connection c) throws Exception {
        boolean lost = false;
        while (meets(Trouble.DARK) || !isReached(c)) {
            lost = true;
            TimeUnit.MILLISECONDS.sleep(5);
        }
        if (lost) {
            reset(c);
        }
        return lost;
    }

    private static boolean reset(Connection c) throws IOException {
        c.socket.setSoLinger(true, 0);
        return false;
    }

    @Override
    boolean shed(Request r, Connection c) throws Exception {
        return reject(r, c, 503, PREFIX + "Not-Executed: 1\r\n");
    }

    @Override
    boolean run(Request r, Connection c) throws Exception {
        String request = begin(r, c);
        TimeUnit.MILLISECONDS.sleep(workMillis() * (meets(Trouble.SLOW) ? 5 : 1));
        waitWhileStill();
        if (isLost(c)) {
            return false;
        }
        if (meets(Trouble.CUT) || meets(Trouble.LOST_BY_RESET)) {
            record.write("runner " + id + " resets the connection of " + request);
            return reset(c);
        }
        if (meets(Trouble.LOST_BY_CLOSE)) {
            return false;
        }
        if (meets(Trouble.LOST_SILENTLY)) {
            return true;
        }
        byte[] body = ("done " + request).getBytes(StandardCharsets.UTF_8);
        if (meets(Trouble.INTERIM)) {
            write(c, "HTTP/1.1 103 X\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        }
        return answer(c, request, response(200, answerHeaders(request), body));
    }

    @Override
    boolean answer(Connection c, String request, byte[] answer) throws IOException {
        write(c, answer);
        if (!meets(Trouble.EXTRA)) {
            return true;
        }
        record.write("runner " + id + " will send its answer to " + request + " again");
        if (draw() < EARLY_ANSWER_SHARE) {
            sendLater(c, request, answer, (long) (draw() * MAX_LATE_MILLIS));
        } else {
            repeatAtNextRequest(c, answer);
        }
        return true;
    }
}
