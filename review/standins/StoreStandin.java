package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.URLDecoder;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The platform's store: the calls of PROTOCOL.md that an entry makes, in memory and without limits of rate. Its list of runners
 * is longer than a page and holds records of another writer, which name no runner.
 */
final class StoreStandin extends RawServer {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int PARTITIONS = 16;
    private static final int MAX_RECORDS = 2_000;

    /** The keys of a page of the newest records; few, so that each read takes several pages. */
    private static final int PAGE_KEYS = 5;

    /** The ends of keys of another writer. */
    private static final List<String> FOREIGN_ENDS =
            List.of("&x", "&after=", "+x", "#x", "%zz", "%41", " x", " ", "€", "?", "=", "\"", "\\", "/../");

    /** Contents that describe no runner. */
    private static final List<String> FOREIGN_CONTENTS =
            List.of("{", "null", "{}", "7", "{\"service\":7,\"addr\":\"127.0.0.1:1\"}", "\u0000");

    private final Map<String, List<byte[]>> logs = new HashMap<>();
    private final Map<String, TreeMap<String, Newest>> newest = new HashMap<>();
    private final Map<String, Members> groups = new HashMap<>();

    private volatile int answerMillis;
    private volatile boolean refusing;

    private record Newest(byte[] value, long offset) {}

    StoreStandin(String host) throws IOException {
        super(host);
        putForeignRecords();
    }

    /** Writes more records of each kind than a page holds, so that pages end with each of them. */
    private void putForeignRecords() {
        for (int kind = 0; kind < FOREIGN_ENDS.size(); kind++) {
            for (int i = 0; i <= PAGE_KEYS; i++) {
                String key = String.format("a-%02d-%d", kind, i) + FOREIGN_ENDS.get(kind);
                put("keyed.servers", key, FOREIGN_CONTENTS.get(i % FOREIGN_CONTENTS.size()));
            }
        }
    }

    /** Sets how long each call of an entry takes, and whether it is refused with 503. */
    void impair(int millis, boolean refuses) {
        answerMillis = millis;
        refusing = refuses;
    }

    /** Writes a record of a keyed topic. */
    void put(String topic, String key, String value) {
        byte[] k = key.getBytes(StandardCharsets.UTF_8);
        byte[] v = value.getBytes(StandardCharsets.UTF_8);
        append(topic, ByteBuffer.allocate(1 + k.length + v.length).put((byte) k.length).put(k).put(v).array());
    }

    private synchronized long append(String topic, byte[] record) {
        List<byte[]> log = logs.computeIfAbsent(topic, t -> new ArrayList<>());
        log.add(record);
        if (topic.startsWith("keyed.")) {
            int length = Byte.toUnsignedInt(record[0]);
            String key = new String(record, 1, length, StandardCharsets.UTF_8);
            byte[] value = new byte[record.length - 1 - length];
            System.arraycopy(record, 1 + length, value, 0, value.length);
            TreeMap<String, Newest> keys = newest.computeIfAbsent(topic, t -> new TreeMap<>());
            if (value.length == 0) {
                keys.remove(key);
            } else {
                keys.put(key, new Newest(value, log.size() - 1));
            }
        }
        notifyAll();
        return log.size() - 1;
    }

    @Override
    boolean handle(Request r, Connection c) throws Exception {
        if (answerMillis > 0) {
            Thread.sleep(answerMillis);
        }
        if (refusing) {
            c.respond(503, "", new byte[0]);
            return true;
        }
        switch (r.path()) {
            case "/api/log-append" -> appendRecords(r, c);
            case "/api/log-read" -> read(r, c);
            case "/api/log-newest" -> respond(c, newest(r.query("topic"), decode(r.query("after"))));
            case "/api/log-join" -> respond(c, join(MAPPER.readTree(r.body())));
            case "/api/log-leave" -> respond(c, leave(MAPPER.readTree(r.body())));
            default -> c.respond(404, "", new byte[0]);
        }
        return true;
    }

    private static void respond(Connection c, JsonNode body) throws IOException {
        c.respond(200, "Content-Type: application/json\r\nStore-Era: 0\r\n", MAPPER.writeValueAsBytes(body));
    }

    private void appendRecords(Request r, Connection c) throws IOException {
        String topic = r.query("topic") + partition(r);
        ByteBuffer in = ByteBuffer.wrap(r.body());
        long first = -1;
        long last = -1;
        while (in.hasRemaining()) {
            byte[] record = new byte[in.getInt()];
            in.get(record);
            last = append(topic, record);
            first = first < 0 ? last : first;
        }
        respond(c, MAPPER.createObjectNode().put("offset", first).put("end", last + 1));
    }

    private static String partition(Request r) {
        return r.query("part").equals("0") ? "" : "/" + r.query("part");
    }

    private void read(Request r, Connection c) throws Exception {
        String topic = r.query("topic") + partition(r);
        int from = Integer.parseInt(r.query("from"));
        long until = System.nanoTime() + Long.parseLong("0" + r.query("wait_ms")) * 1_000_000;
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        synchronized (this) {
            List<byte[]> log = logs.computeIfAbsent(topic, t -> new ArrayList<>());
            while (log.size() <= from && System.nanoTime() < until) {
                wait(Math.max(1, (until - System.nanoTime()) / 1_000_000));
            }
            out.writeLong(log.size());
            out.writeLong(0);
            for (int i = from; i < Math.min(log.size(), from + MAX_RECORDS); i++) {
                out.writeInt(log.get(i).length);
                out.write(log.get(i));
            }
        }
        c.respond(200, "Content-Type: application/octet-stream\r\nStore-Era: 0\r\n", bytes.toByteArray());
    }

    /** Decodes a part of a query, in which a plus is a plus. */
    private static String decode(String text) {
        return URLDecoder.decode(text.replace("+", "%2B"), StandardCharsets.UTF_8);
    }

    private synchronized JsonNode newest(String topic, String after) {
        ObjectNode page = MAPPER.createObjectNode();
        ArrayNode entries = page.putArray("entries");
        Map<String, Newest> rest =
                newest.getOrDefault(topic, new TreeMap<>()).tailMap(after, after.isEmpty());
        rest.entrySet().stream().limit(PAGE_KEYS).forEach(e -> entries.addObject()
                .put("key", e.getKey())
                .put("value", Base64.getEncoder().encodeToString(e.getValue().value()))
                .put("offset", e.getValue().offset()));
        return page.put("has_more", rest.size() > PAGE_KEYS)
                .put("end", logs.getOrDefault(topic, List.of()).size());
    }

    private synchronized JsonNode join(JsonNode request) {
        Members members = groups.computeIfAbsent(request.get("group").textValue(), g -> new Members());
        String member = request.get("member").textValue();
        List<Integer> granted = members.join(
                member,
                request.path("generation").longValue(),
                request.get("ttl_ms").longValue() * 1_000_000,
                System.nanoTime());
        ObjectNode answer =
                MAPPER.createObjectNode().put("generation", members.generation).put("ttl_ms", 1_300);
        ArrayNode parts = answer.putArray("parts");
        granted.forEach(p -> parts.addArray()
                .add(request.get("topics").get(0).textValue())
                .add(p.intValue())
                .add(0));
        return answer;
    }

    private synchronized JsonNode leave(JsonNode request) {
        Members members = groups.get(request.get("group").textValue());
        if (members != null) {
            members.leave(request.get("member").textValue());
        }
        return MAPPER.createObjectNode();
    }

    /** The members of a group and their partitions; few move when a member comes or goes. */
    private static final class Members {
        private final TreeMap<String, Long> until = new TreeMap<>();
        private final String[] holders = new String[PARTITIONS];
        private final String[] wanted = new String[PARTITIONS];

        /** The generation with which the holder of a partition was told that it has lost it; 0 if it was not. */
        private final long[] toldWith = new long[PARTITIONS];

        private long generation;

        /** Returns the partitions of a member; one that it lost moves once it has joined with that generation. */
        List<Integer> join(String member, long known, long ttlNanos, long now) {
            boolean changed = until.values().removeIf(at -> at < now);
            changed |= until.put(member, now + ttlNanos) == null;
            if (changed) {
                distribute();
            }
            List<Integer> granted = new ArrayList<>();
            for (int p = 0; p < PARTITIONS; p++) {
                boolean given = member.equals(holders[p]) && toldWith[p] > 0 && known >= toldWith[p];
                if (given || !until.containsKey(String.valueOf(holders[p]))) {
                    holders[p] = wanted[p];
                    toldWith[p] = 0;
                }
                if (member.equals(holders[p]) && member.equals(wanted[p])) {
                    granted.add(p);
                    toldWith[p] = 0;
                } else if (member.equals(holders[p]) && toldWith[p] == 0) {
                    toldWith[p] = generation;
                }
            }
            return granted;
        }

        void leave(String member) {
            if (until.remove(member) != null) {
                distribute();
            }
        }

        private void distribute() {
            generation++;
            Map<String, Integer> counts = new TreeMap<>();
            until.keySet().forEach(m -> counts.put(m, 0));
            int most = until.isEmpty() ? 0 : (PARTITIONS + until.size() - 1) / until.size();
            for (int p = 0; p < PARTITIONS; p++) {
                if (wanted[p] != null && counts.getOrDefault(wanted[p], most) < most) {
                    counts.merge(wanted[p], 1, Integer::sum);
                } else {
                    wanted[p] = null;
                }
            }
            for (int p = 0; p < PARTITIONS && !counts.isEmpty(); p++) {
                if (wanted[p] == null) {
                    wanted[p] = counts.entrySet().stream()
                            .min(Map.Entry.comparingByValue())
                            .orElseThrow()
                            .getKey();
                    counts.merge(wanted[p], 1, Integer::sum);
                }
            }
        }
    }
}
