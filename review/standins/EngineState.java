package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** The group, the models and the orders of a model engine, as PROTOCOL.md describes them; times are milliseconds. */
final class EngineState {
    private static final int REJOIN_MILLIS = 200;

    /** The state of a group as a member reports it. */
    enum Phase {
        JOINING,
        READY,
        OPEN,
        CLOSING,
        BROKEN
    }

    /** One membership; another join makes another one. */
    record Group(String name, long epoch, String model, List<String> members) {
        boolean isOf(JsonNode order) {
            return name.equals(order.path("group").asText()) && epoch == order.path("epoch").longValue();
        }
    }

    private final String id;
    private final EngineRunner.Pace pace;
    private final List<String> staged;
    private String loaded = "";
    private String lastModel = "";
    private Group group;
    private Phase phase;
    private long dueAt;
    private boolean opening;
    private String staging = "";
    private long stagedAt;
    private long highestEpoch;
    private int orders;
    private int active;
    private long lostSince;

    EngineState(String id, EngineRunner.Pace pace, List<String> staged) {
        this.id = id;
        this.pace = pace;
        this.staged = new ArrayList<>(staged);
    }

    synchronized List<String> staged() {
        return List.copyOf(staged);
    }

    /** Applies what is due; returns whether anything has changed. */
    synchronized boolean advance(long now) {
        boolean changed = false;
        if (!staging.isEmpty() && now >= stagedAt) {
            stage(staging);
            staging = "";
            changed = true;
        }
        Phase before = phase;
        if (phase == Phase.JOINING && now >= dueAt) {
            loaded = group.model();
            lastModel = loaded;
            stage(loaded);
            phase = Phase.READY;
        } else if (phase == Phase.READY && opening && now >= dueAt) {
            opening = false;
            phase = Phase.OPEN;
        } else if (phase == Phase.CLOSING && active == 0) {
            phase = Phase.READY;
        } else if (phase == Phase.OPEN && lostSince > 0 && now >= lostSince + pace.stallMillis()) {
            phase = Phase.BROKEN;
        }
        return changed || phase != before;
    }

    private void stage(String model) {
        staged.clear();
        staged.add(model);
    }

    /** Carries an order out; returns the status of its response. */
    synchronized int order(JsonNode o, long now) {
        boolean isExpected = !o.has("expected") || o.get("expected").intValue() == orders;
        int status = switch (o.path("op").asText()) {
            case "join" -> join(o, isExpected, now);
            case "open" -> open(o, isExpected, now);
            case "close" -> close(o, isExpected);
            case "leave" -> leave(o, isExpected);
            case "stage" -> startStaging(o.path("model").asText(), isExpected, now);
            default -> 400;
        };
        orders += status == 202 ? 1 : 0;
        return status;
    }

    private int join(JsonNode o, boolean isExpected, long now) {
        List<String> members = new ArrayList<>();
        o.path("members").forEach(m -> members.add(m.asText()));
        long epoch = o.path("epoch").longValue();
        if (group != null && group.isOf(o)) {
            return group.members().equals(members) ? 200 : 412;
        }
        if (epoch < highestEpoch) {
            return 412;
        }
        if (!isExpected || !members.contains(id)) {
            return 409;
        }
        highestEpoch = epoch;
        group = new Group(o.path("group").asText(), epoch, o.path("model").asText(), members);
        phase = Phase.JOINING;
        opening = false;
        lostSince = 0;
        dueAt = now + joinMillis(group.model(), now);
        return 202;
    }

    private long joinMillis(String model, long now) {
        if (model.equals(lastModel)) {
            return REJOIN_MILLIS;
        }
        if (model.equals(staging)) {
            return stagedAt - now + pace.warmMillis();
        }
        return staged.contains(model) ? pace.warmMillis() : pace.loadMillis();
    }

    private int open(JsonNode o, boolean isExpected, long now) {
        if (group == null || !group.isOf(o) || !isHead()) {
            return 409;
        }
        if (phase == Phase.OPEN || (phase == Phase.READY && opening)) {
            return 200;
        }
        if (!isExpected || phase != Phase.READY) {
            return 409;
        }
        opening = true;
        dueAt = now + pace.formMillis();
        return 202;
    }

    private int close(JsonNode o, boolean isExpected) {
        if (group == null || !group.isOf(o) || !isHead()) {
            return 409;
        }
        if (phase == Phase.READY && !opening) {
            return 200;
        }
        if (!isExpected || phase == Phase.JOINING || phase == Phase.BROKEN) {
            return 409;
        }
        opening = false;
        phase = Phase.CLOSING;
        return 202;
    }

    private int leave(JsonNode o, boolean isExpected) {
        if (group == null || !group.isOf(o)) {
            return 200;
        }
        if (!isExpected) {
            return 409;
        }
        group = null;
        phase = null;
        opening = false;
        lostSince = 0;
        return 202;
    }

    private int startStaging(String model, boolean isExpected, long now) {
        if (staged.contains(model) || staging.equals(model)) {
            return 200;
        }
        if (!isExpected) {
            return 409;
        }
        staging = model;
        stagedAt = now + pace.loadMillis();
        return 202;
    }

    private boolean isHead() {
        return group != null && group.members().get(0).equals(id);
    }

    /** Returns the group if this runner is its head and members may be asked for; otherwise null. */
    synchronized Group headed() {
        return isHead() && (phase == Phase.OPEN || phase == Phase.CLOSING) ? group : null;
    }

    /** Says whether all members of a group are there. */
    synchronized void seen(Group of, boolean complete, long now) {
        if (of == group) {
            lostSince = complete ? 0 : lostSince == 0 ? now : lostSince;
        }
    }

    /** Returns the status with which a request for a model is rejected; 0 if it may enter. */
    synchronized int rejection(String model) {
        if (!isHead() || !(model.isEmpty() || model.equals(group.model()))) {
            return 421;
        }
        return phase == Phase.OPEN ? 0 : 503;
    }

    /** Lets a request enter if there is room; returns its group or null. */
    synchronized Group enter(int room) {
        if (phase != Phase.OPEN || !isHead() || active >= room) {
            return null;
        }
        active++;
        return group;
    }

    synchronized void exit() {
        active--;
    }

    /** Returns whether the head still works for a group. */
    synchronized boolean serves(Group g) {
        return g == group && (phase == Phase.OPEN || phase == Phase.CLOSING);
    }

    /** Returns whether the work of a group moves. */
    synchronized boolean moves(Group g) {
        return serves(g) && lostSince == 0;
    }

    /** Adds what the runner reports of its models and its group. */
    synchronized ObjectNode describe(ObjectNode to) {
        to.put("stage", "hybrid");
        var models = to.putArray("models");
        if (!loaded.isEmpty()) {
            models.addObject().put("name", loaded).put("version", 1).putArray("adapters");
        }
        var list = to.putArray("staged");
        staged.forEach(list::add);
        if (group == null) {
            return to.putNull("group");
        }
        to.putObject("group")
                .put("name", group.name())
                .put("epoch", group.epoch())
                .put("rank", group.members().indexOf(id))
                .put("state", phase.name().toLowerCase(Locale.ROOT));
        return to;
    }

    /** Adds what only the report has. */
    synchronized ObjectNode describeOrders(ObjectNode to) {
        boolean busy = phase == Phase.JOINING || opening || phase == Phase.CLOSING || !staging.isEmpty();
        return to.put("busy", busy).put("seq", orders).put("active", active).put("queued", 0);
    }
}
