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

/** Lists the entries that a caller may use, nearest first, with their key prefixes and the lifetime of the list. */
public final class EntriesEndpoint implements EntryHandler.Endpoint {
    private static final int MAX_ENTRIES = 8;

    private final EntryTables tables;
    private final Duration listLifetime;

    /**
     * Creates the endpoint.
     *
     * @param tables the shared tables
     * @param listLifetime how long callers may cache a list
     */
    public EntriesEndpoint(EntryTables tables, Duration listLifetime) {
        this.tables = tables;
        this.listLifetime = listLifetime;
    }

    @Override
    public void handle(HttpExchange exchange) throws IOException {
        Instant now = tables.clock().instant();
        String caller = exchange.bearerToken().orElse("anyone");
        ObjectNode response = Json.object().put("timeToLiveMillis", listLifetime.toMillis());
        ArrayNode entries = response.putArray("entries");
        for (EntryDescription entry : nearestEntries(caller)) {
            entries.addObject()
                    .put("url", entry.callerUrl())
                    .put("zone", entry.zone().value())
                    .put("region", entry.region().value())
                    .put("keyPrefix", new Ticket(entry.id(), now).prefix());
        }
        exchange.respond(200, response);
    }

    /** Returns the nearest entries first; the order at equal distance depends on the caller, which spreads the load. */
    private List<EntryDescription> nearestEntries(String caller) {
        List<EntryDescription> candidates = tables
                .log()
                .with(v -> v.state().membership().entries())
                .stream()
                .filter(e -> !e.leaving())
                .toList();
        Comparator<EntryDescription> byDistance = Comparator.comparingInt(this::distance);
        return Rendezvous.rank(caller, candidates).stream()
                .sorted(byDistance)
                .limit(MAX_ENTRIES)
                .toList();
    }

    private int distance(EntryDescription entry) {
        if (entry.zone().equals(tables.self().zone())) {
            return 0;
        }
        return entry.region().equals(tables.self().region()) ? 1 : 2;
    }
}
