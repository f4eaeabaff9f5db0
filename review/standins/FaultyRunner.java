package review;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A runner that spoils some of its answers, rejects some requests though it has room, and stands still or loses all its
 * connections when it is told to. Each choice is drawn from a seed; what requests get it also depends on the order in which
 * they arrive.
 */
final class FaultyRunner extends RepeatingRunner {
    private static final int MAX_LATE_MILLIS = 300;

    /** Bodies of this length and more are rejected before they are read, at times. */
    private static final int LONG_BODY_BYTES = 32 * 1024;

    private static final double EARLY_SHARE = 0.5;
    private static final byte[] GARBAGE = "no answer in the protocol\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

    /** What happens to an answer. */
    enum Spoiling {
        /** The answer comes again with the same bytes, so that both may be read at once. */
        COPY_AT_ONCE,
        /** The answer comes again, its head in two parts. */
        COPY_IN_PARTS,
        /** The answer comes again after a while, whether or not a request waits by then. */
        COPY_LATER,
        /** The answer comes again when the next request on the connection has begun to run. */
        COPY_AT_NEXT_REQUEST,
        /** Bytes that are no answer follow. */
        GARBAGE_AFTER,
        /** An interim answer comes first. */
        INTERIM_FIRST,
        /** The answer ends in the middle. */
        BREAK_OFF,
        /** The connection is closed in place of an answer. */
        CLOSE
    }

    /**
     * How a runner behaves.
     *
     * @param spoiledShare the part of its answers that it spoils
     * @param shedShare the part of the requests that it rejects though it has room
     * @param identifiesRejections whether its rejections bear the id of the request
     * @param rejections the statuses of its rejections
     */
    record Habits(
            double spoiledShare, double shedShare, boolean identifiesRejections, List<Integer> rejections) {}

    private final Habits habits;
    private final Map<Spoiling, Integer> spoiled = new ConcurrentHashMap<>();
    private final AtomicLong stillUntil = new AtomicLong();
    private final AtomicLong downUntil = new AtomicLong();
    private final AtomicInteger wrongBodies = new AtomicInteger();
    private final AtomicInteger early = new AtomicInteger();

    FaultyRunner(StoreStandin store, Record record, String id, int slots, int queue, long workMillis, Habits habits,
            long seed) throws IOException {
        super(store, record, id, slots, queue, workMillis, habits.identifiesRejections(), seed);
        this.habits = habits;
    }

    /** Returns how many answers were spoiled, by the way. */
    Map<Spoiling, Integer> spoiled() {
        return Map.copyOf(spoiled);
    }

    /** Reads nothing and answers nothing for a while; what arrives meanwhile is read after it. */
    void standStill(int millis) {
        record.write("runner " + id + " stands still for " + millis + " ms");
        stillUntil.set(System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis));
    }

    /** Resets all connections, and new ones for a while. */
    void loseConnections(int millis) throws IOException {
        record.write("runner " + id + " resets its connections for " + millis + " ms");
        downUntil.set(System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis));
        resetConnections();
    }

    private void waitWhileStill() throws InterruptedException {
        for (long left = stillUntil.get() - System.nanoTime(); left > 0; left = stillUntil.get() - System.nanoTime()) {
            TimeUnit.NANOSECONDS.sleep(left);
        }
    }

    /** Returns the body of a booking. */
    static String body(String request, int length) {
        return ("book " + request + " ").repeat(1 + length / (6 + request.length()));
    }

    /** Returns how many bodies were not those of their requests. */
    int wrongBodies() {
        return wrongBodies.get();
    }

    /** Returns how many requests were answered before their bodies were read. */
    int early() {
        return early.get();
    }

    /** Answers some requests with long bodies before it reads on. */
    @Override
    Request receive(Connection c) throws Exception {
        for (Request head = c.readHead(); head != null; head = c.readHead()) {
            boolean isLong = Integer.parseInt("0" + head.header("Content-Length")) >= LONG_BODY_BYTES;
            if (!isLong || draw() >= EARLY_SHARE) {
                return c.withBody(head);
            }
            early.incrementAndGet();
            shed(head, c);
            TimeUnit.MILLISECONDS.sleep(draw(MAX_LATE_MILLIS));
            check(c.withBody(head));
        }
        return null;
    }

    private void check(Request r) {
        String request = r.header(PREFIX + "Request-Id");
        String body = new String(r.body(), StandardCharsets.UTF_8);
        if (r.method().equals("POST") && !body.equals(body(request, body.length() - 1))) {
            wrongBodies.incrementAndGet();
            record.write("UNASKED: the body of " + request + " is " + body.length() + " bytes: "
                    + body.substring(0, Math.min(80, body.length())));
        }
    }

    @Override
    boolean handle(Request r, Connection c) throws Exception {
        waitWhileStill();
        if (System.nanoTime() < downUntil.get()) {
            c.socket.setSoLinger(true, 0);
            return false;
        }
        boolean service = r.path().startsWith("/book/") || r.path().startsWith("/read/");
        String expected = r.header(PREFIX + "Expect-Instance");
        if (service && (expected.isEmpty() || expected.equals(id)) && draw() < habits.shedShare()) {
            return shed(r, c);
        }
        return super.handle(r, c);
    }

    @Override
    boolean shed(Request r, Connection c) throws Exception {
        int status = habits.rejections().get(draw(habits.rejections().size()));
        return reject(r, c, status, PREFIX + "Not-Executed: 1\r\n");
    }

    @Override
    boolean run(Request r, Connection c) throws Exception {
        check(r);
        String request = begin(r, c);
        TimeUnit.MILLISECONDS.sleep(workMillis());
        waitWhileStill();
        byte[] body = ("done " + request).getBytes(StandardCharsets.UTF_8);
        return answer(c, request, response(200, answerHeaders(request), body));
    }

    /** Sends an answer, spoiled or not. */
    @Override
    boolean answer(Connection c, String request, byte[] answer) throws Exception {
        if (draw() >= habits.spoiledShare()) {
            write(c, answer);
            return true;
        }
        Spoiling way = Spoiling.values()[draw(Spoiling.values().length)];
        spoiled.merge(way, 1, Integer::sum);
        record.write("runner " + id + " spoils its answer to " + request + ": " + way);
        switch (way) {
            case COPY_AT_ONCE -> write(c, join(answer, answer));
            case COPY_IN_PARTS -> {
                int cut = 1 + draw(answer.length - 1);
                write(c, join(answer, Arrays.copyOf(answer, cut)));
                sendLater(c, request, Arrays.copyOfRange(answer, cut, answer.length), draw(MAX_LATE_MILLIS));
            }
            case COPY_LATER -> {
                write(c, answer);
                sendLater(c, request, answer, draw(MAX_LATE_MILLIS));
            }
            case COPY_AT_NEXT_REQUEST -> {
                repeatAtNextRequest(c, answer);
                write(c, answer);
            }
            case GARBAGE_AFTER -> write(c, join(answer, GARBAGE));
            case INTERIM_FIRST -> write(c, join("HTTP/1.1 103 X\r\n\r\n".getBytes(StandardCharsets.US_ASCII), answer));
            case BREAK_OFF -> {
                write(c, Arrays.copyOf(answer, draw(answer.length)));
                return false;
            }
            case CLOSE -> {
                return false;
            }
        }
        return true;
    }

    private static byte[] join(byte[] first, byte[] second) {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.writeBytes(first);
        all.writeBytes(second);
        return all.toByteArray();
    }
}
