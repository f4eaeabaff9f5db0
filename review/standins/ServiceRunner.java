package review;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** A sound runner of a plain service, which registers itself in the store; a case overrides what is unsound. */
class ServiceRunner extends RawServer {
    static final String PREFIX = "X-Baobabspindle-";
    private static final int HEARTBEAT_MILLIS = 1_200;

    final String id;
    final Record record;
    private final StoreStandin store;
    private final String service;
    private final int slots;
    private final int queue;
    private final long workMillis;
    private final long born = System.currentTimeMillis();
    private final Semaphore free;
    private final AtomicInteger inside = new AtomicInteger();
    private int sequence;
    private volatile boolean ended;

    ServiceRunner(
            StoreStandin store, Record record, String id, String service, int slots, int queue, long workMillis)
            throws IOException {
        super("127.0.0.1");
        this.store = store;
        this.record = record;
        this.id = id;
        this.service = service;
        this.slots = slots;
        this.queue = queue;
        this.workMillis = workMillis;
        this.free = new Semaphore(slots, true);
    }

    final long workMillis() {
        return workMillis;
    }

    void register() {
        start();
        Thread t = new Thread(this::heartbeat, "heartbeat-" + id);
        t.setDaemon(true);
        t.start();
    }

    private void heartbeat() {
        try {
            while (!ended) {
                store.put(
                        "keyed.servers",
                        id,
                        ("{'service':'" + service + "','addr':'" + address() + "','zone':'zone-a','version':'v1',"
                                        + "'slots':" + slots + ",'state':'ready','cold_left_ms':0,'seq':" + ++sequence
                                        + ",'born':" + born + "}")
                                .replace('\'', '"'));
                Thread.sleep(HEARTBEAT_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Ends at once: its connections and its records in the store end with it. */
    void end() throws IOException {
        ended = true;
        close();
    }

    /** Removes its record from the store, as happens after some intervals of silence. */
    void expire() {
        store.put("keyed.servers", id, "");
    }

    @Override
    boolean handle(Request r, Connection c) throws Exception {
        String expected = r.header(PREFIX + "Expect-Instance");
        if (r.path().equals("/healthz")) {
            c.respond(200, PREFIX + "Instance-Id: " + id + "\r\n", new byte[0]);
            return true;
        }
        if (!expected.isEmpty() && !expected.equals(id)) {
            c.respond(421, PREFIX + "Instance-Id: " + id + "\r\n", new byte[0]);
            return true;
        }
        if (inside.incrementAndGet() > slots + queue) {
            inside.decrementAndGet();
            return shed(r, c);
        }
        free.acquire();
        try {
            return run(r, c);
        } finally {
            free.release();
            inside.decrementAndGet();
        }
    }

    /** Rejects a request because the runner is full, as the example "a server sheds" shows it. */
    boolean shed(Request r, Connection c) throws Exception {
        record.write("runner " + id + " sheds " + r.header(PREFIX + "Request-Id"));
        c.respond(503, PREFIX + "Not-Executed: 1\r\n", new byte[0]);
        return true;
    }

    /** Runs a request. */
    boolean run(Request r, Connection c) throws Exception {
        String request = r.header(PREFIX + "Request-Id");
        record.ran(request, id);
        TimeUnit.MILLISECONDS.sleep(workMillis);
        c.respond(200, answerHeaders(request), ("done " + request).getBytes(StandardCharsets.UTF_8));
        return true;
    }

    static String answerHeaders(String request) {
        return PREFIX + "Request-Id: " + request + "\r\n" + PREFIX + "Server-Stamp: stamp." + request + "\r\n";
    }
}
