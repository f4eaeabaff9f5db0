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

/** Shows operators the entries, the keepers, the groups and the quarantined requests as this entry sees them. */
public final class ClusterViewEndpoint implements EntryHandler.Endpoint {
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
        ObjectNode answer = Json.object().put("entry", tables.id().toString());
        tables.log().use(v -> {
            answer.put("freshness", v.freshness().check(now, v.state()).name());
            answer.put("nextOffset", v.state().nextOffset().value());
            ArrayNode entries = answer.putArray("entries");
            v.state().membership().entries().forEach(e -> entries.add(entry(e)));
            ArrayNode keepers = answer.putArray("keepers");
            v.state().groupState().claims().forEach(c -> keepers.add(keeper(c)));
            ArrayNode quarantined = answer.putArray("quarantined");
            v.state().crashHistory().quarantined().forEach(quarantined::add);
            ArrayNode groups = answer.putArray("groups");
            tables.groups().use(g -> v.state().groupState().groups().forEach(x -> groups.add(group(x, g))));
        });
        exchange.respond(200, answer);
    }

    private static ObjectNode entry(EntryDescription e) {
        return Json.object()
                .put("id", e.id().toString())
                .put("zone", e.zone().value())
                .put("region", e.region().value())
                .put("url", e.callerUrl())
                .put("leaving", e.leaving());
    }

    private static ObjectNode keeper(KeeperClaim c) {
        return Json.object()
                .put("domain", c.domain().value())
                .put("holder", c.holder().toString())
                .put("epoch", c.epoch().value());
    }

    private static ObjectNode group(Group x, GroupTables g) {
        ObjectNode node = Json.object()
                .put("id", x.id().value())
                .put("domain", x.domain().value())
                .put("model", x.model().toString());
        String lifecycle =
                g.assessments().of(x.id()).map(a -> a.lifecycle().name()).orElse(UNTRACKED);
        node.put("lifecycle", lifecycle);
        ArrayNode members = node.putArray("members");
        x.members().forEach(m -> members.add(m.toString()));
        return node;
    }
}
