package org.baobabspindle.gateway;

import java.util.Optional;
import java.util.Set;
import java.util.function.ToIntFunction;
import org.baobabspindle.core.id.InstanceId;
import org.baobabspindle.core.time.Moment;

/** Chooses the entries to which requests are relayed. */
interface RelayPeers {
    /**
     * Returns an entry that can take a relayed request: one that is responsive, ready and not partitioned from the backend
     * servers, and is known to read the mark of such a request.
     *
     * @param except the entries that have failed or refused the request
     * @param outstanding the number of requests that are being relayed to an entry
     */
    Optional<EntryAnnouncement> relayPeer(Set<InstanceId> except, ToIntFunction<InstanceId> outstanding, Moment now);

    /** Returns whether an entry said last that it is partitioned from the backend servers. */
    boolean isPartitioned(InstanceId entry);
}
