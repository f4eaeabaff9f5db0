package review;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Callers of streams, bookings and reads that find entries through the directory. */
final class DirectoryCallers {
    private final Record record;
    private final List<Deployment.Entry> entries;
    private final SentRequests sent;
    private final List<Thread> threads = new ArrayList<>();
    private volatile boolean ending;

    /** The list of entries may change while callers use it; its size does not. */
    DirectoryCallers(Record record, List<Deployment.Entry> entries, SentRequests sent) {
        this.record = record;
        this.entries = entries;
        this.sent = sent;
    }

    void start(int count, long seed) {
        for (int i = 0; i < count; i++) {
            int n = i;
            threads.add(new Thread(() -> call(n, new Random(seed * 1_000 + n))));
        }
        threads.forEach(Thread::start);
    }

    void end() throws InterruptedException {
        ending = true;
        for (Thread t : threads) {
            t.join();
        }
    }

    /** What a caller knows of the entries. */
    private final class Directory {
        private List<String> addresses = List.of();
        private final List<String> failed = new ArrayList<>();
        private final int factor;
        private double validUntil;
        private final Random own;

        Directory(int n, Random own) {
            this.factor = n % 3 == 0 ? 3 : 1;
            this.own = own;
        }

        /** Returns an address for a new connection; null if none is known. */
        String choose() {
            if (record.seconds() >= validUntil || addresses.stream().allMatch(failed::contains)) {
                resolve();
            }
            List<String> usable = addresses.stream().filter(a -> !failed.contains(a)).toList();
            return usable.isEmpty() ? null : usable.get(own.nextInt(usable.size()));
        }

        private void resolve() {
            for (int attempt = 0; attempt < 3; attempt++) {
                Deployment.Entry e = entries.get(own.nextInt(entries.size()));
                try (Caller c = new Caller(e.host(), e.port() + 13)) {
                    String path = "/api/resolve?name=" + Deployment.HOST + "&region=region-a&zone=zone-a";
                    Caller.Answer a = c.call("GET", path, "d", new byte[0], 1_000, 1_000);
                    Matcher list = Pattern.compile("\"addrs\":\\[([^\\]]+)\\],\"ttl_s\":([0-9.]+)").matcher(a.text());
                    if (a.status() == 200 && list.find()) {
                        addresses = Arrays.asList(list.group(1).replace("\"", "").split(","));
                        validUntil = record.seconds() + factor * Math.min(5, Double.parseDouble(list.group(2)));
                        failed.clear();
                        return;
                    }
                } catch (IOException x) {
                    continue;
                }
            }
        }
    }

    /** Sends streams, bookings and reads, each twice at most, each time on a new connection if the one before failed. */
    private void call(int n, Random own) {
        Directory directory = new Directory(n, own);
        int count = 0;
        try {
            while (!ending) {
                Thread.sleep(own.nextInt(400));
                int kind = own.nextInt(20);
                String id = n + "x" + count++;
                Caller.Answer a = send(directory, kind, id, own);
                if (a != null && isRepeatable(a, kind)) {
                    double after = Double.parseDouble(a.headers().getOrDefault("retry-after", "0"));
                    Thread.sleep((long) (1_000 * Math.min(after, 2)));
                    send(directory, kind, id + "r", own);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static boolean isRepeatable(Caller.Answer a, int kind) {
        return a.status() == 429 || a.status() == 503 || (kind != 0 && (a.status() == 0 || a.status() > 500));
    }

    /** Sends a request on a new connection; returns null if there was none. */
    private Caller.Answer send(Directory directory, int kind, String id, Random own) throws InterruptedException {
        String address = directory.choose();
        if (address == null) {
            Thread.sleep(50);
            return null;
        }
        String[] parts = address.split(":");
        double at = record.seconds();
        try (Caller c = new Caller(parts[0], Integer.parseInt(parts[1]))) {
            Caller.Answer a = kind < 3 ? plain(c, kind, id) : stream(c, kind, id, own);
            String name = kind == 0 ? "book" : kind < 3 ? "read" : kind < 8 ? "m0" : "m1";
            sent.add(new SentRequests.Sent(at, a.served(), a.status(), name, address));
            if (!a.served()) {
                String wait = a.headers().getOrDefault("retry-after", "");
                record.write(name + " " + id + " at " + address + " gets " + a.status() + " after "
                        + String.format(Locale.ROOT, "%.2f", a.seconds()) + " s " + wait + " "
                        + a.text().replaceAll("\\s+", " ").substring(0, Math.min(80, a.text().length())));
            }
            if (a.status() == 0) {
                directory.failed.add(address);
            }
            return a;
        } catch (IOException e) {
            directory.failed.add(address);
            return null;
        }
    }

    private static Caller.Answer plain(Caller c, int kind, String id) {
        byte[] body = (kind == 0 ? "book " + id : "").getBytes(StandardCharsets.UTF_8);
        return c.call(kind == 0 ? "POST" : "GET", (kind == 0 ? "/book/" : "/read/") + id, id, body, 2_500, 3_000);
    }

    private static Caller.Answer stream(Caller c, int kind, String id, Random own) {
        int part = (int) (60 * Math.pow(own.nextDouble(), 2));
        String headers = ServiceRunner.PREFIX + "Model: " + (kind < 8 ? "m0" : "m1") + "\r\n" + ServiceRunner.PREFIX
                + "Token-Count: 700,160\r\n" + ServiceRunner.PREFIX + "Prompt-Prefix: a" + Integer.toHexString(part)
                + ":40,f" + Integer.toHexString(id.hashCode()) + ":660\r\n";
        byte[] body = (5 + own.nextInt(25) + " 30 0 " + id).getBytes(StandardCharsets.UTF_8);
        return c.call("POST", "/chat/1", id, headers, body, 8_000, 8_500);
    }
}
