package org.baobabspindle.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.baobabspindle.core.fleet.ServerRegistration;
import org.baobabspindle.port.FeedRecord;
import org.baobabspindle.port.FleetDecoder;

/**
 * Selects the records of backend servers that tell more than that the server is still registered. Most records are such
 * heartbeats; passing them on would take most of the bandwidth between entries and of the time to decode the list. This
 * class is not thread-safe.
 */
final class ChangedServerRecords {
    private final FleetDecoder decoder;
    private final Map<String, ServerRegistration> known = new HashMap<>();

    ChangedServerRecords(FleetDecoder decoder) {
        this.decoder = decoder;
    }

    /**
     * Returns the records that other entries need, in their order: those of new and removed servers, those that differ from
     * the last record of their server, and those that cannot be decoded.
     *
     * @param records the records that follow those of the last call
     */
    List<FeedRecord> select(List<FeedRecord> records) {
        List<FeedRecord> result = new ArrayList<>();
        for (FeedRecord r : records) {
            Optional<ServerRegistration> current = decoder.server(r).map(ChangedServerRecords::withoutSequence);
            ServerRegistration last = current.isPresent() ? known.put(r.key(), current.get()) : known.remove(r.key());
            if (current.isEmpty() || !current.get().equals(last)) {
                result.add(r);
            }
        }
        return result;
    }

    /** The sequence number increases with each heartbeat; only a restored store needs it, and then all read it anew. */
    private static ServerRegistration withoutSequence(ServerRegistration r) {
        return new ServerRegistration(r.server(), 0, r.coldLeft());
    }
}
