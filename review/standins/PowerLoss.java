package review;

import java.io.File;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * All entries, all runners, or both lose power at once and come back, beside steady callers that use the directory. Tells
 * when each phase of the recovery was reached, in seconds after the machines are back.
 */
final class PowerLoss {
    private static final int ENTRIES = Integer.getInteger("entries", 7);
    private static final int DOMAINS = 3;
    private static final int ENGINES_PER_DOMAIN = 10;
    private static final int PLAIN_RUNNERS = 3;
    private static final int CALLERS = Integer.getInteger("callers", 48);
    private static final int IDLE_MILLIS = 20_000;
    private static final int STEADY_MILLIS = 7_000;
    private static final int AFTER_MILLIS = Integer.getInteger("after", 18_000);
    private static final int EXPIRY_MILLIS = 3_600;
    private static final double RECOVER_SECONDS = 12;
    private static final double WINDOW_SECONDS = 0.25;
    private static final EngineRunner.Pace FIRST = new EngineRunner.Pace(12, 24, 1_400, 1_400, 300, 6_000, 40);
    private static final EngineRunner.Pace LATER = new EngineRunner.Pace(12, 24, 14_000, 1_400, 300, 6_000, 40);

    private static final Pattern TIME = Pattern.compile("\"time\":\"([^\"]+)\"");

    private final Deployment deployment;
    private final Record record;
    private final Variant variant;
    private final Random random;
    private final long seed;
    private final List<Deployment.Entry> entries = new ArrayList<>();
    private final List<EngineRunner> engines = new ArrayList<>();
    private final List<ServiceRunner> plain = new ArrayList<>();
    private final Map<String, Double> phases = new ConcurrentHashMap<>();
    private final ConcurrentLinkedQueue<Sent> sent = new ConcurrentLinkedQueue<>();
    private int life;
    private volatile double back = Double.MAX_VALUE;
    private volatile long backMillis;
    private volatile boolean ending;

    private record Sent(double at, boolean served, int status, String kind, String address) {}

    /** What is lost, and how it comes back. */
    enum Variant {
        ENTRIES(true, false),
        ENTRIES_ONE_LATE(true, false),
        ENTRIES_ONE_EARLY(true, false),
        ENTRIES_STORE_REFUSES(true, false),
        ENTRIES_STORE_SLOW(true, false),
        ENTRIES_HALF_OPEN(true, false),
        RUNNERS(false, true),
        RUNNERS_SAME_IDS(false, true),
        RUNNERS_BLINK(false, true),
        BOTH(true, true),
        BOTH_SAME_IDS(true, true),
        RUNNERS_SAME_ADDRESS(false, true),
        BOTH_SAME_ADDRESS(true, true),
        BOTH_RUNNERS_LATE(true, true),
        BOTH_ONE_LATE(true, true),
        BOTH_STORE_REFUSES(true, true),
        BOTH_HOSTS_EMPTY(true, true);

        private final boolean entries;
        private final boolean runners;

        Variant(boolean entries, boolean runners) {
            this.entries = entries;
            this.runners = runners;
        }

        private boolean keepsIds() {
            return this == RUNNERS_SAME_IDS || this == RUNNERS_BLINK || this == BOTH_SAME_IDS || keepsAddresses();
        }

        private boolean keepsAddresses() {
            return this == RUNNERS_SAME_ADDRESS || this == BOTH_SAME_ADDRESS;
        }

        private boolean storeRefuses() {
            return this == ENTRIES_STORE_REFUSES || this == BOTH_STORE_REFUSES;
        }
    }

    private PowerLoss(Deployment deployment, Record record, Variant variant, long seed) {
        this.deployment = deployment;
        this.record = record;
        this.variant = variant;
        this.seed = seed;
        this.random = new Random(seed);
    }

    /** Arguments: the record, the seed, the variant. */
    public static void main(String[] args) throws Exception {
        long seed = Long.parseLong(args[1]);
        Variant variant = Variant.valueOf(args[2]);
        Deployment.run(
                Path.of(args[0]), (d, record, trouble) -> new PowerLoss(d, record, variant, seed).play());
    }

    private int play() throws Exception {
        startRunners(List.of(), List.of(), List.of());
        configure(7);
        for (int i = 0; i < ENTRIES; i++) {
            String host = "127." + (1 + variant.ordinal()) + "." + seed % 250 + "." + (11 + i);
            entries.add(deployment.launch("entry-" + i, host, Deployment.freePorts(host), command()));
        }
        awaitGroups();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            int n = i;
            threads.add(new Thread(() -> call(n)));
        }
        threads.forEach(Thread::start);
        Thread.sleep(STEADY_MILLIS);
        double faultAt = record.seconds();
        lose();
        Thread.sleep(AFTER_MILLIS);
        ending = true;
        for (Thread t : threads) {
            t.join();
        }
        return judge(faultAt);
    }

    private static List<String> command() throws IOException {
        List<String> command = new ArrayList<>();
        String cores = System.getProperty("cores", "");
        if (!cores.isEmpty()) {
            command.addAll(List.of("taskset", "-c", cores));
        }
        command.addAll(Deployment.command());
        return command;
    }

    private void configure(int version) {
        deployment.configure(
                version,
                Deployment.streamRoute("r-chat", "/chat/", 8_000, 2, "pool", true) + ","
                        + Deployment.route("r-book", "/book/", "unsafe", 1_200, 1, "booking-app") + ","
                        + Deployment.route("r-read", "/read/", "safe", 1_200, 2, "booking-app"),
                EngineRunner.service("pool", LATER) + "," + Deployment.service("booking-app"));
    }

    private void startRunners(List<String> ids, List<List<String>> staged, List<Integer> ports) throws IOException {
        int count = DOMAINS * ENGINES_PER_DOMAIN;
        for (int i = 0; i < count; i++) {
            String id = ids.isEmpty() ? "i-" + life + "e" + i : ids.get(i);
            EngineRunner.Place place =
                    new EngineRunner.Place(id, "pool", "zone-a", "domain-" + i / ENGINES_PER_DOMAIN);
            engines.add(new EngineRunner(
                    deployment.store.address(),
                    record,
                    place,
                    life == 0 ? FIRST : LATER,
                    staged.isEmpty() ? List.of() : staged.get(i)));
        }
        for (int i = 0; i < PLAIN_RUNNERS; i++) {
            String id = ids.isEmpty() ? "i-" + life + "b" + i : ids.get(count + i);
            plain.add(new ServiceRunner(deployment.store, record, id, "booking-app", 6, 24, 30));
        }
        for (int i = 0; i < ports.size(); i++) {
            RawServer r = i < count ? engines.get(i) : plain.get(i - count);
            r.moveTo(ports.get(i));
        }
        engines.forEach(e -> e.limitConnections(368));
        plain.forEach(p -> p.limitConnections(110));
        engines.forEach(EngineRunner::register);
        plain.forEach(ServiceRunner::register);
        life++;
    }

    private void awaitGroups() throws Exception {
        long until = System.nanoTime() + 25_000_000_000L;
        int open = 0;
        while (open < DOMAINS * 3 || entries.stream().anyMatch(e -> !Deployment.isReady(e))) {
            if (System.nanoTime() > until) {
                throw new IOException("only " + open + " groups open");
            }
            Thread.sleep(100);
            open = openGroups();
        }
        record.write(open + " groups are open");
    }

    private int openGroups() {
        return (int) engines.stream().filter(e -> e.state.headed() != null).count();
    }

    /** Ends what loses power, right after a configuration was acknowledged, and starts it again. */
    private void lose() throws Exception {
        int down = variant == Variant.RUNNERS_BLINK ? 20 + random.nextInt(150) : 200 + random.nextInt(5_800);
        configure(8);
        List<EngineRunner> oldEngines = List.copyOf(engines);
        List<ServiceRunner> oldPlain = List.copyOf(plain);
        if (variant == Variant.ENTRIES_HALF_OPEN) {
            List<Integer> held = new ArrayList<>();
            plain.forEach(p -> held.add(p.holdConnections(down + IDLE_MILLIS)));
            engines.forEach(e -> held.add(e.holdConnections(down + IDLE_MILLIS)));
            record.write("connections that stay open: " + held);
        }
        if (variant.entries) {
            entries.forEach(e -> e.process().destroyForcibly());
        }
        if (variant.runners) {
            for (EngineRunner e : oldEngines) {
                e.crash();
            }
            for (ServiceRunner p : oldPlain) {
                p.end();
            }
            inBackground(EXPIRY_MILLIS, () -> expire(oldEngines, oldPlain));
        }
        record.write("POWER LOST: " + variant + ", down for " + down + " ms");
        Thread.sleep(down);
        if (variant.storeRefuses()) {
            deployment.store.impair(0, true);
            inBackground(2_000 + random.nextInt(1_500), () -> deployment.store.impair(0, false));
        }
        if (variant == Variant.ENTRIES_STORE_SLOW) {
            deployment.store.impair(240, false);
        }
        back = record.seconds();
        backMillis = System.currentTimeMillis();
        record.write("POWER BACK " + backMillis);
        if (variant.runners) {
            int late = variant == Variant.BOTH_RUNNERS_LATE ? 2_000 : 0;
            inBackground(late, () -> restartRunners(oldEngines, oldPlain));
        }
        if (variant.entries) {
            restartEntries();
        }
        for (Deployment.Entry e : variant.entries ? entries : List.<Deployment.Entry>of()) {
            inBackground(0, () -> recordStart(number(e)));
        }
        watch("ready", () -> entries.stream().allMatch(Deployment::isReady));
        watch("group open", () -> openGroups() > 0);
        watch("quarter of the groups open", () -> openGroups() >= DOMAINS);
    }

    private void restartRunners(List<EngineRunner> oldEngines, List<ServiceRunner> oldPlain) throws IOException {
        List<String> ids = new ArrayList<>();
        oldEngines.forEach(e -> ids.add(e.place.id()));
        oldPlain.forEach(p -> ids.add(p.id));
        List<List<String>> staged = new ArrayList<>();
        oldEngines.forEach(e -> staged.add(e.state.staged()));
        List<Integer> ports = new ArrayList<>();
        oldEngines.forEach(e -> ports.add(e.port()));
        oldPlain.forEach(p -> ports.add(p.port()));
        engines.clear();
        plain.clear();
        startRunners(
                variant.keepsIds() ? ids : List.of(),
                variant == Variant.BOTH_HOSTS_EMPTY ? List.of() : staged,
                variant.keepsAddresses() ? ports : List.of());
    }

    private void restartEntries() throws Exception {
        boolean oneLate = variant == Variant.ENTRIES_ONE_LATE || variant == Variant.BOTH_ONE_LATE;
        boolean oneEarly = variant == Variant.ENTRIES_ONE_EARLY;
        int other = random.nextInt(ENTRIES);
        for (int i = 0; i < ENTRIES; i++) {
            int n = i;
            if (i == other ? oneLate : oneEarly) {
                inBackground(1_000 + random.nextInt(2_000), () -> restartEntry(n));
            } else {
                restartEntry(i);
            }
        }
    }

    private synchronized void restartEntry(int i) throws Exception {
        Deployment.Entry e = entries.get(i);
        entries.set(i, deployment.launch(e.name(), e.host(), e.port(), command()));
    }

    private void expire(List<EngineRunner> oldEngines, List<ServiceRunner> oldPlain) throws IOException {
        if (variant.keepsIds()) {
            return;
        }
        for (EngineRunner e : oldEngines) {
            e.expire();
        }
        oldPlain.forEach(ServiceRunner::expire);
        record.write("the former runners are no longer listed");
    }

    /** A step that may fail. */
    private interface Step {
        void run() throws Exception;
    }

    private void inBackground(int delayMillis, Step step) {
        Thread t = new Thread(() -> {
            try {
                Thread.sleep(delayMillis);
                step.run();
            } catch (Exception e) {
                record.write("a step failed: " + e);
            }
        });
        t.setDaemon(true);
        t.start();
    }

    private static int number(Deployment.Entry e) {
        return Integer.parseInt(e.name().substring(e.name().indexOf('-') + 1));
    }

    /** Records when an entry is ready, what its process has used until then, and how long its threads have waited. */
    private void recordStart(int number) throws Exception {
        while (!ending && !Deployment.isReady(entries.get(number))) {
            Thread.sleep(20);
        }
        Deployment.Entry e = entries.get(number);
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
                record.seconds() - back,
                running / 1e9,
                waiting / 1e9));
    }

    private interface Condition {
        boolean holds() throws Exception;
    }

    private void watch(String phase, Condition condition) {
        inBackground(0, () -> {
            while (!ending && !condition.holds()) {
                Thread.sleep(20);
            }
            if (!ending) {
                phases.put(phase, record.seconds() - back);
            }
        });
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
                Deployment.Entry e = entries.get(own.nextInt(ENTRIES));
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
    private void call(int n) {
        Random own = new Random(seed * 1_000 + n);
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
            sent.add(new Sent(at, a.served(), a.status(), name, address));
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

    private int judge(double faultAt) throws IOException {
        phases.put("first served", first());
        phases.put("quarter served", sustained(0.25));
        phases.put("95 % served", sustained(0.95));
        logPhases();
        double before = share(faultAt - 4, faultAt - 1);
        double judged = share(back + RECOVER_SECONDS, Double.MAX_VALUE);
        Map<String, Integer> statuses = new TreeMap<>();
        sent.stream()
                .filter(s -> s.at() >= back && !s.served())
                .forEach(s -> statuses.merge(s.kind() + " " + s.status(), 1, Integer::sum));
        StringBuilder line = new StringBuilder();
        for (String phase : List.of(
                "listening", "store read", "announced", "ready", "lease held", "term", "first order", "first open",
                "group open", "quarter of the groups open", "first served", "quarter served",
                "95 % served")) {
            line.append(String.format(Locale.ROOT, ", %s %.2f", phase, phases.getOrDefault(phase, Double.NaN)));
        }
        line.append("; partitions noticed ").append(logged("\"state\":\"PARTITIONED\""));
        line.append(", terms ").append(logged("new term obtained"));
        line.append(", orders without the lease ").append(logged("order not sent: the lease has expired"));
        line.append(", engines lost ").append(logged("\"event\":\"lost\""));
        String result = String.format(
                Locale.ROOT,
                "%s seed %d entries %d%s; served before %.2f, after 12 s %.2f of %d; not served since: %s",
                variant,
                seed,
                ENTRIES,
                line,
                before,
                judged,
                count(back + RECOVER_SECONDS),
                statuses);
        record.write(result);
        System.out.println(result);
        for (int t = 0; t < 12; t++) {
            Map<String, Integer> addresses = new TreeMap<>();
            double from = back + t;
            sent.stream()
                    .filter(x -> x.at() >= from && x.at() < from + 1)
                    .forEach(x -> addresses.merge(x.address(), 1, Integer::sum));
            record.write("requests by address in second " + t + ": " + addresses);
        }
        for (double t = 0; t < 12; t += WINDOW_SECONDS) {
            record.write(String.format(
                    Locale.ROOT, "after %.2f s: %.2f is served", t, share(back + t, back + t + WINDOW_SECONDS)));
        }
        return before < 0.25 ? 2 : judged < 0.25 ? 1 : 0;
    }

    private long count(double from) {
        return sent.stream().filter(s -> s.at() >= from).count();
    }

    private double share(double from, double to) {
        List<Sent> all = sent.stream().filter(s -> s.at() >= from && s.at() < to).toList();
        return all.isEmpty() ? 0 : (double) all.stream().filter(Sent::served).count() / all.size();
    }

    private double first() {
        return sent.stream()
                        .filter(s -> s.at() >= back && s.served())
                        .mapToDouble(Sent::at)
                        .min()
                        .orElse(Double.NaN)
                - back;
    }

    /** Returns the first time from which on a share of the requests of each window and the next three is served. */
    private double sustained(double share) {
        for (double t = 0; t < AFTER_MILLIS / 1e3 - 1; t += WINDOW_SECONDS) {
            boolean holds = true;
            for (int w = 0; w < 4; w++) {
                double from = back + t + w * WINDOW_SECONDS;
                holds &= share(from, from + WINDOW_SECONDS) >= share;
            }
            if (holds) {
                return t;
            }
        }
        return Double.NaN;
    }

    /** Finds the phases in the logs: the latest entry that reached them, except for those that one entry reaches first. */
    private void logPhases() throws IOException {
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
        }
    }

    /** Returns how often the entries have logged something since the machines are back. */
    private int logged(String pattern) throws IOException {
        int count = 0;
        for (Deployment.Entry e : entries) {
            for (String line : e.text().split("\n")) {
                Matcher m = TIME.matcher(line);
                if (line.contains(pattern) && m.find() && Instant.parse(m.group(1)).toEpochMilli() >= backMillis) {
                    count++;
                }
            }
        }
        return count;
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
