package review;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.time.Instant;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** When each phase of a recovery was reached, in seconds after the machines were back. */
final class RecoveryPhases {
    private static final List<String> ALL = List.of(
            "listening", "store read", "announced", "ready", "lease held", "term", "first order", "first open",
            "group open", "quarter of the groups open", "first served", "quarter served", "95 % served");

    /** What is counted in the logs since the machines are back, and how the entries log it. */
    private static final Map<String, String> COUNTED = Map.of(
            "partitions noticed", "\"state\":\"PARTITIONED\"",
            "terms", "new term obtained",
            "orders without the lease", "order not sent: the lease has expired",
            "engines lost", "\"event\":\"lost\"");

    private static final Pattern TIME = Pattern.compile("\"time\":\"([^\"]+)\"");

    private final Record record;
    private final Map<String, Double> phases = new ConcurrentHashMap<>();
    private final Map<String, Integer> counts = new TreeMap<>();
    private volatile double back;
    private volatile long backMillis;

    RecoveryPhases(Record record) {
        this.record = record;
    }

    /** The machines are back now. */
    void begin() {
        back = record.seconds();
        backMillis = System.currentTimeMillis();
        record.write("POWER BACK " + backMillis);
    }

    /** Returns when the machines were back, in seconds of the record. */
    double back() {
        return back;
    }

    private double secondsSinceBack() {
        return record.seconds() - back;
    }

    /** A phase is reached now. */
    void reached(String phase) {
        phases.put(phase, secondsSinceBack());
    }

    void reached(String phase, double seconds) {
        phases.put(phase, seconds);
    }

    /** Returns all phases, NaN for those that were not reached, and what the logs count. */
    String describe() {
        StringBuilder line = new StringBuilder();
        for (String phase : ALL) {
            line.append(String.format(Locale.ROOT, ", %s %.2f", phase, phases.getOrDefault(phase, Double.NaN)));
        }
        counts.forEach((what, count) -> line.append(", ").append(what).append(' ').append(count));
        return line.toString();
    }

    /** Records that an entry is ready now, what its process has used until then, and how long its threads have waited. */
    void recordStart(Deployment.Entry e) throws IOException {
        long running = 0;
        long waiting = 0;
        File[] tasks = new File("/proc/" + e.process().pid() + "/task").listFiles();
        for (File task : tasks == null ? new File[0] : tasks) {
            String[] times = Files.readString(task.toPath().resolve("schedstat")).split(" ");
            running += Long.parseLong(times[0]);
            waiting += Long.parseLong(times[1]);
        }
        record.write(String.format(
                Locale.ROOT,
                "entry %s is ready %.2f s after the machines are back; its threads ran %.2f s and waited %.2f s",
                e.name(),
                secondsSinceBack(),
                running / 1e9,
                waiting / 1e9));
    }

    /** Finds the phases in the logs: the latest entry that reached them, except for those that one entry reaches first. */
    void readLogs(List<Deployment.Entry> entries) throws IOException {
        for (Deployment.Entry e : entries) {
            String text = e.text();
            record.write(e.name() + " has logged:\n" + text);
            latest("listening", text, "\"event\":\"start\",\"reason\":\"listening\"");
            latest("store read", text, "\"event\":\"configuration\",\"reason\":\"newer version");
            latest("announced", text, "entry announced in the store");
            earliest("lease held", text, "\"reason\":\"partitions changed\"");
            earliest("term", text, "new term obtained");
            earliest("first order", text, "\"kind\":\"Join\"");
            earliest("first open", text, "\"kind\":\"Open\"");
            COUNTED.forEach((what, pattern) -> counts.merge(what, count(text, pattern), Integer::sum));
        }
    }

    private static double at(String text, String pattern, long since) {
        for (String line : text.split("\n")) {
            if (line.contains(pattern)) {
                Matcher m = TIME.matcher(line);
                if (m.find() && Instant.parse(m.group(1)).toEpochMilli() >= since) {
                    return (Instant.parse(m.group(1)).toEpochMilli() - since) / 1e3;
                }
            }
        }
        return Double.NaN;
    }

    private int count(String text, String pattern) {
        int count = 0;
        for (String line : text.split("\n")) {
            Matcher m = TIME.matcher(line);
            if (line.contains(pattern) && m.find() && Instant.parse(m.group(1)).toEpochMilli() >= backMillis) {
                count++;
            }
        }
        return count;
    }

    private void latest(String phase, String text, String pattern) {
        phases.merge(phase, at(text, pattern, backMillis), (a, b) -> Math.max(a, b));
    }

    private void earliest(String phase, String text, String pattern) {
        double at = at(text, pattern, backMillis);
        if (!Double.isNaN(at)) {
            phases.merge(phase, at, Math::min);
        }
    }
}
