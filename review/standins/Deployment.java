package review;

import java.io.File;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/** A small deployment: the store, its configuration, and entries started with the command of the deploy file. */
final class Deployment implements AutoCloseable {
    static final String HOST = "review.example";
    static final String KEY = "k2ctnfzs989anu6wsjnb";
    private static final int PORTS = 16;
    private static final int MAX_SECONDS = 112;
    private static final int MAX_STOP_SECONDS = 15;

    final StoreStandin store;
    private final Path folder;
    private final Record record;
    private final List<Entry> entries = new CopyOnWriteArrayList<>();
    private final List<Process> processes = new ArrayList<>();
    private boolean ended;
    private int stallMillis = 6_000;

    /** A process of the system. */
    record Entry(String name, String host, int port, Process process, Path log) {
        int callers() {
            return port + 10;
        }

        String text() throws IOException {
            return Files.readString(log, StandardCharsets.ISO_8859_1);
        }

        void signal(String name) throws IOException, InterruptedException {
            new ProcessBuilder("kill", "-" + name, String.valueOf(process.pid())).start().waitFor();
        }
    }

    /** What a case does, the reading of its arguments included; returns the exit status of its script. */
    interface Play {
        int play(Deployment d, Record record, boolean trouble) throws Exception;
    }

    /** Plays a case and exits, with status 2 if it could not run to its end. */
    static void run(Path recordFile, Play play) {
        int exit = 2;
        try (Record record = new Record(recordFile);
                Deployment d = new Deployment(Files.createTempDirectory("review"), record)) {
            Runtime.getRuntime().addShutdownHook(new Thread(d::end));
            Thread watchdog = new Thread(d::exitLate);
            watchdog.setDaemon(true);
            watchdog.start();
            exit = play.play(d, record, !"0".equals(System.getenv("TROUBLE")));
        } catch (Exception | Error e) {
            System.out.println("could not run: " + e);
        }
        System.exit(exit);
    }

    private void exitLate() {
        try {
            TimeUnit.SECONDS.sleep(MAX_SECONDS);
        } catch (InterruptedException e) {
            return;
        }
        System.out.println("could not run: too slow");
        System.exit(2);
    }

    /** Sets the time after which a group that has lost a member is broken, for entries that start later. */
    void setStallMillis(int to) {
        stallMillis = to;
    }

    /** Returns the entries whose processes run. */
    List<Entry> running() {
        return entries.stream().filter(e -> e.process().isAlive()).toList();
    }

    /** Starts a process that ends with this deployment; none is started once that has ended. */
    synchronized Process start(ProcessBuilder builder) throws IOException {
        if (ended) {
            throw new IOException("the deployment has ended");
        }
        Process p = builder.start();
        processes.add(p);
        return p;
    }

    Deployment(Path folder, Record record) throws IOException {
        this.folder = folder;
        this.record = record;
        store = new StoreStandin("127.0.0.1");
        store.start();
    }

    /** Writes the configuration as the operator does. */
    void configure(int version, String routes, String services) {
        configure(version, routes, services, List.of(KEY));
    }

    /** Writes a configuration with some keys. */
    void configure(int version, String routes, String services, List<String> keys) {
        store.put(
                "keyed.op",
                "config",
                ("{'version':" + version + ",'routes':[" + routes + "],'services':[" + services
                                + "],'limits':{'max_header_bytes':16384,'max_body_bytes':4194304,"
                                + "'header_timeout_ms':5000,'idle_timeout_ms':30000},"
                                + "'tenants':[{'name':'tenant-a','api_keys':['" + String.join("','", keys) + "']}]}")
                        .replace('\'', '"'));
        record.write("operator writes version " + version);
    }

    static String route(String name, String prefix, String type, int timeoutMillis, int attempts, String service) {
        return "{'name':'" + name + "','host':'" + HOST + "','path_prefix':'" + prefix + "','type':'" + type
                + "','timeout_ms':" + timeoutMillis + ",'target_latency_ms':" + timeoutMillis / 4
                + ",'priority':1,'service':'" + service + "','max_attempts':" + attempts
                + ",'public':false,'sticky':false,'resumable':false,'target_gap_ms':300}";
    }

    /** Returns a route of streams over groups. */
    static String streamRoute(
            String name, String prefix, int timeoutMillis, int attempts, String service, boolean resumable) {
        return route(name, prefix, "stream", timeoutMillis, attempts, service)
                .replace("'sticky':false,'resumable':false", "'sticky':true,'resumable':" + resumable);
    }

    static String service(String name) {
        return "{'name':'" + name + "','health_path':'/healthz','max_conns':110,'protocol':'h1','tls':false}";
    }

    /** Starts an entry and waits until it is ready. */
    Entry startEntry(String name) throws Exception {
        String host = "127.0.0." + (11 + entries.size());
        return startEntry(name, host, freePorts(host), command());
    }

    /** Starts an entry with a command at an address and waits until it is ready. */
    Entry startEntry(String name, String host, int port, List<String> command) throws Exception {
        Entry entry = launch(name, host, port, command);
        awaitReady(entry);
        return entry;
    }

    /** Starts an entry with a command at an address. */
    Entry launch(String name, String host, int port, List<String> command) throws IOException {
        Path settings = folder.resolve(name + ".json");
        boolean first = entries.stream().noneMatch(e -> e.name().equals(name));
        Files.writeString(settings, settings(name, host, port, first));
        Path log = folder.resolve(name + "-" + entries.size() + ".log");
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("BAOBABSPINDLE_NODE_FILE", settings.toString());
        builder.redirectErrorStream(true).redirectOutput(log.toFile());
        Entry entry = new Entry(name, host, port, start(builder), log);
        entries.add(entry);
        return entry;
    }

    private void awaitReady(Entry entry) throws Exception {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (!isReady(entry)) {
            if (System.nanoTime() > until) {
                throw new IOException(entry.name() + " does not become ready: " + entry.text());
            }
            Thread.sleep(100);
        }
        record.write("entry " + entry.name() + " is ready at " + entry.host() + ":" + entry.callers());
    }

    /** Starts an entry again with the command of the deploy file, at its address. */
    Entry restart(Entry e) throws Exception {
        return startEntry(e.name(), e.host(), e.port(), command());
    }

    /** Waits for the end of an entry and kills it if it takes too long; returns whether it ended by itself. */
    boolean awaitEnd(Entry e) throws InterruptedException {
        if (e.process().waitFor(MAX_STOP_SECONDS, TimeUnit.SECONDS)) {
            return true;
        }
        record.write("entry " + e.name() + " does not end");
        e.process().destroyForcibly().waitFor();
        return false;
    }

    /** Stops an entry for a while. */
    void pause(Entry e, int millis) throws IOException, InterruptedException {
        record.write("entry " + e.name() + " is stopped for " + millis + " ms");
        e.signal("STOP");
        Thread.sleep(millis);
        e.signal("CONT");
    }

    /** Returns what all entries, those that have ended included, have logged about a request. */
    List<String> logLines(String request) throws IOException {
        return logLines("request", request);
    }

    /** Records a broken rule with what the entries have logged about the request. */
    void recordBroken(String rule, String request, String detail) throws IOException {
        record.write(rule + ": " + request + " " + detail);
        logLines(request).forEach(record::write);
    }

    /** Returns the lines of all entries in which a field has a value. */
    List<String> logLines(String field, String value) throws IOException {
        List<String> found = new ArrayList<>();
        for (Entry e : entries) {
            for (String line : e.text().split("\n")) {
                if (line.contains("\"" + field + "\":\"" + value + "\"")) {
                    found.add(e.name() + " " + line);
                }
            }
        }
        return found;
    }

    /** Returns how often the entries have logged the end of a request, by event, reason and whether it was relayed. */
    Map<String, Integer> logCounts(List<String> events) throws IOException {
        Map<String, Integer> counts = new TreeMap<>();
        for (Entry e : entries) {
            for (String line : e.text().split("\n")) {
                String event = field(line, "event");
                if (events.contains(event)) {
                    String reason = field(line, "reason").replaceAll("[:(].*", "").trim();
                    boolean relayed = line.contains("\"relayed\":true");
                    counts.merge(event + (relayed ? " relayed " : " ") + reason, 1, Integer::sum);
                }
            }
        }
        return counts;
    }

    private static String field(String line, String name) {
        int at = line.indexOf("\"" + name + "\":\"");
        int from = at + name.length() + 4;
        return at < 0 ? "" : line.substring(from, line.indexOf('"', from));
    }

    /** Asks an entry whether it is ready. */
    static boolean isReady(Entry e) {
        try {
            HttpURLConnection c = (HttpURLConnection)
                    URI.create("http://" + e.host() + ":" + (e.port() + 11) + "/api/readyz").toURL().openConnection();
            c.setConnectTimeout(1_000);
            c.setReadTimeout(1_000);
            return c.getResponseCode() == 200;
        } catch (IOException x) {
            return false;
        }
    }

    /** Returns the words of {@code run} in the deploy file. */
    static List<String> command() throws IOException {
        for (String line : Files.readAllLines(Path.of("deploy", "system.toml"))) {
            if (line.startsWith("run = ")) {
                return Arrays.asList(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" "));
            }
        }
        throw new IOException("deploy/system.toml has no run");
    }

    /** Returns the command of an entry of another build. */
    static List<String> command(String jar) {
        return List.of(
                "java", "-Xmx128m", "-Xss256k", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-jar", jar, "gateway");
    }

    static int freePorts(String host) throws IOException {
        Random random = new Random();
        for (int attempt = 0; attempt < 1_000; attempt++) {
            int base = 20_000 + PORTS * random.nextInt(700);
            if (areFree(host, base)) {
                return base;
            }
        }
        throw new IOException("no free ports");
    }

    private static boolean areFree(String host, int base) {
        for (int p = base; p < base + PORTS; p++) {
            try (ServerSocket s = new ServerSocket()) {
                s.bind(new InetSocketAddress(InetAddress.getByName(host), p));
            } catch (IOException e) {
                return false;
            }
        }
        return true;
    }

    private String settings(String name, String host, int port, boolean first) {
        Map<String, Integer> listen = Map.of("front", 10, "readiness", 11, "control", 12, "directory", 13);
        StringBuilder addresses = new StringBuilder();
        listen.forEach((k, offset) -> addresses
                .append(addresses.length() == 0 ? "" : ",")
                .append("'" + k + "':'" + host + ":" + (port + offset) + "'"));
        return ("{'node_name':'" + name + "','role':'entry','machine_class':'edge','serves':['edge','registry'],"
                        + "'ip':'" + host + "','zone':'zone-a','region':'region-a','port_range':[" + port + ","
                        + (port + 9) + "],'seeds':[],'bootstrap':" + first + ",'in_tolerance':false,'discovery':'platform',"
                        + "'entry':'registry','heartbeat_ms':1200,'contracts':['base','drain','config','cost','retry',"
                        + "'recover','engine','stream','tenants','platform','gangs'],'zones':{'zone-a':'region-a'},"
                        + "'listen':{" + addresses + "},'limits':{'cpu_share':0.75,'cores':1,'memory_mb':430,"
                        + "'max_fds':4100,'link_mbps':1000.0,'disk_mb':0},"
                        + "'fault_tolerance':{'machines':1,'zones':0,'regions':0},"
                        + "'bounds':{'seed_lag_s':3,'reuse_after_s':2,'stability_window_ms':3000,'ack_ms':4000,"
                        + "'catch_up_s':4,'drain_ms':2000,'grace_s':8,'loss_slack_ms':200,'config_apply_ms':2000,"
                        + "'rollback_slack_ms':250,'outer_ms':5000,'strict_revoke':true,'revoke_ms':5000,"
                        + "'retry_ratio':0.2,'retry_window_s':10,'retry_burst':107,'recover_s':12,'pass_ms':120,"
                        + "'retry_after_s':0,'stall_ms':" + stallMillis + ",'fencing':false,'ceiling_window_s':5,"
                        + "'ceiling_factor':1.1,'ttl_max_s':5},"
                        + "'platform':{'addr':'" + store.address() + "','form':'log','writes_per_s':400,"
                        + "'reads_per_s':2000,'parts':16,'append_ms':3.0,'part_mb_s':20.0,'read_mb_s':80.0,"
                        + "'record_bytes':262144,'call_bytes':2097152,'keep_s':300,'part_mb':200,'ttl_min_ms':1000}}")
                .replace('\'', '"');
    }

    /** Ends the processes that this deployment started, and removes its files. */
    @Override
    public synchronized void close() throws IOException {
        if (ended) {
            return;
        }
        ended = true;
        processes.forEach(Process::destroyForcibly);
        for (Process p : processes) {
            try {
                p.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException x) {
                Thread.currentThread().interrupt();
            }
        }
        store.close();
        File[] files = folder.toFile().listFiles();
        for (File f : files == null ? new File[0] : files) {
            if (f.getName().endsWith(".log") && "1".equals(System.getenv("KEEP_LOGS"))) {
                Files.copy(f.toPath(), Path.of("target", f.getName()), StandardCopyOption.REPLACE_EXISTING);
            }
            Files.delete(f.toPath());
        }
        Files.delete(folder);
    }

    /** Ends as {@link #close} does, when the play is ended by a signal or takes too long. */
    private void end() {
        try {
            close();
        } catch (IOException e) {
            System.out.println("files cannot be removed: " + e);
        }
    }
}
