package review;

import java.io.IOException;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * A runner that may send a response once more, after a while or when the next request of the connection has begun to run.
 * Its faults are drawn from a seed.
 */
abstract class RepeatingRunner extends ServiceRunner {
    private final boolean identifiesRejections;
    private final Random random;
    private final Map<Connection, byte[]> copies = new ConcurrentHashMap<>();

    RepeatingRunner(
            StoreStandin store,
            Record record,
            String id,
            int slots,
            int queue,
            long workMillis,
            boolean identifiesRejections,
            long seed)
            throws IOException {
        super(store, record, id, "booking-app", slots, queue, workMillis);
        this.identifiesRejections = identifiesRejections;
        this.random = new Random(seed);
    }

    final synchronized double draw() {
        return random.nextDouble();
    }

    final synchronized int draw(int bound) {
        return random.nextInt(bound);
    }

    /** Sends an answer; returns whether the connection is kept. */
    abstract boolean answer(Connection c, String request, byte[] answer) throws Exception;

    /** Rejects a request, with its id if this runner names the requests that it rejects. */
    final boolean reject(Request r, Connection c, int status, String headers) throws Exception {
        String request = r.header(PREFIX + "Request-Id");
        String identity = identifiesRejections ? PREFIX + "Request-Id: " + request + "\r\n" : "";
        record.write("runner " + id + " rejects " + request + " with " + status);
        return answer(c, request, response(status, identity + headers, new byte[0]));
    }

    /** Begins to run a request, then sends what is to be repeated on its connection; returns the id of the request. */
    final String begin(Request r, Connection c) throws IOException {
        String request = r.header(PREFIX + "Request-Id");
        record.ran(request, id);
        byte[] copy = copies.remove(c);
        if (copy != null) {
            record.write("runner " + id + " sends its copy; on this connection waits " + request);
            write(c, copy);
        }
        return request;
    }

    final void repeatAtNextRequest(Connection c, byte[] answer) {
        copies.put(c, answer);
    }

    final void sendLater(Connection c, String request, byte[] bytes, long millis) {
        Thread t = new Thread(() -> {
            try {
                TimeUnit.MILLISECONDS.sleep(millis);
                record.write("runner " + id + " sends bytes of its answer to " + request + " late");
                write(c, bytes);
            } catch (IOException e) {
                record.write("runner " + id + " cannot send bytes later: " + e.getMessage());
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        t.setDaemon(true);
        t.start();
    }

    static void write(Connection c, byte[] bytes) throws IOException {
        synchronized (c) {
            c.out.write(bytes);
            c.out.flush();
        }
    }
}
