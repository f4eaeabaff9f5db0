package org.baobabspindle.caller;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import org.baobabspindle.core.group.Rendezvous;
import org.baobabspindle.core.log.EntryDescription;
import org.baobabspindle.core.request.Ticket;
import org.baobabspindle.http.Json;
import org.baobabspindle.serving.EntryTables;

/** Tells callers which entries to use, the nearest first, for how long, and with which key prefix. */
public final class EntriesEndpoint implements EntryHandler.Endpoint {
    private static final int MAX_ENTRIES = 8;

    private final EntryTables tables;
    private final Duration lifetime;

    /**
     * Creates the endpoint.
     *
     * @param tables the shared tables
     * @param lifetime how long callers may keep an answer
     */
    public EntriesEndpoint(EntryTables tables, Duration lifetime) {
        this.tables = tables;
        this.lifetime = lifetime;
    }

    @Override
    public void handle(HttpExchange exchange) throws IOException {
        Instant now = tables.clock().instant();
        String caller = exchange.bearerToken().orElse("anyone");
        ObjectNode answer = Json.object().put("timeToLiveMillis", lifetime.toMillis());
        ArrayNode list = answer.putArray("entries");
        for (EntryDescription e : choose(caller)) {
            list.addObject()
                    .put("url", e.callerUrl())
                    .put("zone", e.zone().value())
                    .put("region", e.region().value())
                    .put("keyPrefix", new Ticket(e.id(), now).prefix());
        }
        exchange.respond(200, answer);
    }

    /** The nearest entries first; among equally near ones each caller has an order of its own, to spread the load. */
    private List<EntryDescription> choose(String caller) {
        List<EntryDescription> staying = tables
                .log()
                .with(v -> v.state().membership().entries())
                .stream()
                .filter(e -> !e.leaving())
                .toList();
        Comparator<EntryDescription> byDistance = Comparator.comparingInt(this::distance);
        return Rendezvous.rank(caller, staying).stream()
                .sorted(byDistance)
                .limit(MAX_ENTRIES)
                .toList();
    }

    private int distance(EntryDescription e) {
        if (e.zone().equals(tables.self().zone())) {
            return 0;
        }
        return e.region().equals(tables.self().region()) ? 1 : 2;
    }
}
