package org.baobabspindle.operator;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.time.Instant;
import org.baobabspindle.caller.EntryHandler;
import org.baobabspindle.caller.HttpExchange;
import org.baobabspindle.core.log.EntryDescription;
import org.baobabspindle.core.log.Group;
import org.baobabspindle.core.log.KeeperClaim;
import org.baobabspindle.http.Json;
import org.baobabspindle.serving.EntryTables;
import org.baobabspindle.serving.GroupTables;

/** Returns the entries, keepers, groups and quarantined requests, as this entry has replayed them from the log. */
public final class ClusterViewEndpoint implements EntryHandler.Endpoint {
    /** Lifecycle of a group that this entry has not yet assessed. */
    private static final String UNTRACKED = "UNTRACKED";

    private final EntryTables tables;

    /**
     * Creates the endpoint.
     *
     * @param tables the shared tables
     */
    public ClusterViewEndpoint(EntryTables tables) {
        this.tables = tables;
    }

    @Override
    public void handle(HttpExchange exchange) throws IOException {
        Instant now = tables.clock().instant();
        ObjectNode body = Json.object().put("entry", tables.id().toString());
        tables.log().use(v -> {
            body.put("freshness", v.freshness().check(now, v.state()).name());
            body.put("nextOffset", v.state().nextOffset().value());
            ArrayNode entries = body.putArray("entries");
            v.state().membership().entries().forEach(e -> entries.add(toJson(e)));
            ArrayNode keepers = body.putArray("keepers");
            v.state().groupState().claims().forEach(c -> keepers.add(toJson(c)));
            ArrayNode quarantined = body.putArray("quarantined");
            v.state().crashHistory().quarantined().forEach(quarantined::add);
            ArrayNode groups = body.putArray("groups");
            tables.groups().use(g -> v.state().groupState().groups().forEach(group -> groups.add(toJson(group, g))));
        });
        exchange.respond(200, body);
    }

    private static ObjectNode toJson(EntryDescription entry) {
        return Json.object()
                .put("id", entry.id().toString())
                .put("zone", entry.zone().value())
                .put("region", entry.region().value())
                .put("url", entry.callerUrl())
                .put("leaving", entry.leaving());
    }

    private static ObjectNode toJson(KeeperClaim claim) {
        return Json.object()
                .put("domain", claim.domain().value())
                .put("holder", claim.holder().toString())
                .put("epoch", claim.epoch().value());
    }

    private static ObjectNode toJson(Group group, GroupTables groupTables) {
        ObjectNode node = Json.object()
                .put("id", group.id().value())
                .put("domain", group.domain().value())
                .put("model", group.model().toString());
        String lifecycle = groupTables
                .assessments()
                .of(group.id())
                .map(a -> a.lifecycle().name())
                .orElse(UNTRACKED);
        node.put("lifecycle", lifecycle);
        ArrayNode members = node.putArray("members");
        group.members().forEach(m -> members.add(m.toString()));
        return node;
    }
}
