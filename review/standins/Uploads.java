package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Clients that send bodies of 3 MB, within {@code max_body_bytes}, each on a new connection at the pace of its link,
 * before, during and after a burst; beside them a client with small requests, which go on after the last upload.
 */
final class Uploads {
    private static final int BASE_CALLERS = 24;
    private static final double BURST = 1.7;
    private static final int BURST_SECONDS = 3;
    private static final int BASE_SECONDS = 8;
    private static final int QUIET_SECONDS = 30;

    /** The seconds after the burst from which the system should serve again: {@code recover_s}. */
    private static final int RECOVER_SECONDS = 12;

    private static final int BODY_BYTES = 3_000_000;

    /** A client sends this much at a time, as packets come in. */
    private static final int SEGMENT_BYTES = 1_300;

    private static final int SEGMENTS_PER_MILLI = 3;

    /** The time that a byte takes on the link of the machine, of 1,000 Mbit/s, which all clients share. */
    private static final int LINK_NANOS_PER_BYTE = 8;

    private static final AtomicLong LINK_FREE_AT = new AtomicLong(System.nanoTime());
    private static final int TIMEOUT_MILLIS = 6_000;
    private static final int SLACK_MILLIS = 500;
    private static final int SMALL_INTERVAL_MILLIS = 500;

    /** A client begins an upload at each full interval, unless its last one has not ended. */
    private static final int UPLOAD_INTERVAL_MILLIS = 1_500;

    /** Fewer requests than this without an answer at the timeout break no rule. */
    private static final int MIN_UNANSWERED = 8;

    private Uploads() {}

    /**
     * The outcome of a request.
     *
     * @param status the status of the answer; 0 if the connection ended without one, -1 if nothing came in time
     * @param sentAt when its last byte was sent
     * @param seconds how long the client waited after that
     */
    private record Outcome(String id, int status, double sentAt, double seconds) {}

    public static void main(String[] args) throws Exception {
        Deployment.run(Path.of(args[0]), Uploads::play);
    }

    private static int play(Deployment d, Record record, boolean trouble) throws Exception {
        for (int i = 0; i < 3; i++) {
            new ServiceRunner(d.store, record, "i-app" + i, "app", 12, 12, 50).register();
        }
        d.configure(
                7,
                Deployment.route("r-app", "/app/", "unsafe", TIMEOUT_MILLIS, 1, "app"),
                Deployment.service("app"));
        Deployment.Entry entry = d.startEntry("entry-0");
        Thread.sleep(3_000);
        ConcurrentLinkedQueue<Outcome> uploads = new ConcurrentLinkedQueue<>();
        ConcurrentLinkedQueue<Outcome> small = new ConcurrentLinkedQueue<>();
        List<Thread> threads = new ArrayList<>();
        double from = record.seconds();
        double burstFrom = from + BASE_SECONDS;
        double burstTo = burstFrom + BURST_SECONDS;
        double uploadsTo = burstTo + BASE_SECONDS;
        double to = uploadsTo + QUIET_SECONDS;
        for (int i = 0; i < BASE_CALLERS; i++) {
            threads.add(caller("u" + i, entry, record, uploads, BODY_BYTES, UPLOAD_INTERVAL_MILLIS, from, uploadsTo));
        }
        int more = trouble ? (int) (BASE_CALLERS * BURST) - BASE_CALLERS : 0;
        for (int i = 0; i < more; i++) {
            threads.add(
                    caller("v" + i, entry, record, uploads, BODY_BYTES, UPLOAD_INTERVAL_MILLIS, burstFrom, burstTo));
        }
        threads.add(caller("s", entry, record, small, 100, SMALL_INTERVAL_MILLIS, from, to));
        record.write(BASE_CALLERS + " clients upload; " + more + " more in the burst, from " + burstFrom + " to "
                + burstTo);
        for (Thread t : threads) {
            t.join();
        }
        return judge(entry, record, uploads, small, burstTo);
    }

    private static Thread caller(
            String name,
            Deployment.Entry entry,
            Record record,
            ConcurrentLinkedQueue<Outcome> outcomes,
            int bytes,
            int intervalMillis,
            double from,
            double to) {
        Thread t = new Thread(() -> {
            try {
                Thread.sleep(Math.max(0, (long) ((from - record.seconds()) * 1_000)));
                for (int n = 0; ; n++) {
                    long interval = intervalMillis * 1_000_000L;
                    Thread.sleep((interval - System.nanoTime() % interval) / 1_000_000);
                    if (record.seconds() >= to) {
                        return;
                    }
                    Outcome o = send(name + "x" + n, entry, record, bytes);
                    outcomes.add(o);
                    record.write("client of " + o.id() + " gets " + o.status() + " after " + o.seconds());
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        t.start();
        return t;
    }

    private static Outcome send(String id, Deployment.Entry entry, Record record, int bytes)
            throws InterruptedException {
        record.write("client sends " + id + ", " + bytes + " bytes");
        double sentAt = record.seconds();
        try (Socket s = new Socket(entry.host(), entry.callers())) {
            s.setTcpNoDelay(true);
            OutputStream out = s.getOutputStream();
            String head = "POST /app/1 HTTP/1.1\r\nHost: " + Deployment.HOST + "\r\n" + ServiceRunner.PREFIX
                    + "Request-Id: " + id + "\r\n" + ServiceRunner.PREFIX + "Deadline-Ms: " + TIMEOUT_MILLIS
                    + "\r\nX-Api-Key: " + Deployment.KEY + "\r\nContent-Length: " + bytes + "\r\n\r\n";
            out.write(head.getBytes(StandardCharsets.ISO_8859_1));
            byte[] segment = new byte[SEGMENT_BYTES];
            for (int sent = 0, n = 1; sent < bytes; sent += SEGMENT_BYTES, n++) {
                out.write(segment, 0, Math.min(SEGMENT_BYTES, bytes - sent));
                if (n % SEGMENTS_PER_MILLI == 0) {
                    Thread.sleep(1);
                    awaitLink(SEGMENTS_PER_MILLI * SEGMENT_BYTES);
                }
            }
            sentAt = record.seconds();
            s.setSoTimeout(TIMEOUT_MILLIS + SLACK_MILLIS);
            InputStream in = new BufferedInputStream(s.getInputStream());
            String first = RawServer.readLine(in);
            if (first == null) {
                return new Outcome(id, 0, sentAt, record.seconds() - sentAt);
            }
            RawServer.readBody(in, RawServer.readHeaders(in));
            return new Outcome(id, Integer.parseInt(first.split(" ")[1]), sentAt, record.seconds() - sentAt);
        } catch (java.net.SocketTimeoutException e) {
            return new Outcome(id, -1, sentAt, record.seconds() - sentAt);
        } catch (IOException e) {
            return new Outcome(id, 0, sentAt, record.seconds() - sentAt);
        }
    }

    /** Waits until the shared link has carried some bytes. */
    private static void awaitLink(int bytes) throws InterruptedException {
        long now = System.nanoTime();
        long carriedAt =
                LINK_FREE_AT.updateAndGet(free -> Math.max(free, now) + (long) bytes * LINK_NANOS_PER_BYTE);
        if (carriedAt - now > 1_000_000) {
            Thread.sleep((carriedAt - now) / 1_000_000);
        }
    }

    private static int judge(
            Deployment.Entry entry,
            Record record,
            ConcurrentLinkedQueue<Outcome> uploads,
            ConcurrentLinkedQueue<Outcome> small,
            double burstTo) {
        List<Outcome> all = new ArrayList<>(uploads);
        all.addAll(small);
        long served = all.stream().filter(o -> o.status() == 200).count();
        long ended = all.stream().filter(o -> o.status() == 0).count();
        long late = all.stream().filter(o -> o.seconds() >= TIMEOUT_MILLIS / 1e3).count();
        long unanswered = all.stream().filter(o -> o.status() == -1).count();
        List<Outcome> after =
                small.stream().filter(o -> o.sentAt() > burstTo + RECOVER_SECONDS).toList();
        long servedAfter = after.stream().filter(o -> o.status() == 200).count();
        boolean ready = Deployment.isReady(entry);
        boolean alive = entry.process().isAlive();
        String line = "requests " + all.size() + ", served " + served + ", ended without an answer " + ended
                + ", without an answer at their timeout " + late + ", and half a second later " + unanswered
                + "; small requests later than recover_s after the burst " + after.size() + ", served " + servedAfter
                + "; the process runs: " + alive + ", says it is ready: " + ready;
        record.write(line);
        System.out.println(line);
        Map<String, Boolean> broken = Map.of(
                "CONFIG", unanswered >= MIN_UNANSWERED && unanswered * 2 > late,
                "hang", !after.isEmpty() && servedAfter * 4 < after.size());
        record.write("broken: " + broken);
        if (broken.containsValue(true)) {
            return 1;
        }
        boolean servedBefore = small.stream().allMatch(o -> o.sentAt() > burstTo - BURST_SECONDS || o.status() == 200);
        return servedBefore && uploads.stream().anyMatch(o -> o.status() == 200) ? 0 : 2;
    }
}
