package org.baobabspindle.gateway;

import java.util.List;
import org.baobabspindle.core.crash.CrashCause;
import org.baobabspindle.core.time.Moment;
import org.baobabspindle.peer.PeerMessage;

/** The other entries, with which {@link CrashGuard} shares crashes. */
interface CrashPeers {
    CrashPeers NONE = new CrashPeers() {
        @Override
        public void broadcast(List<PeerMessage.CrashNotice> notices) {
            // There are no peers.
        }

        @Override
        public int entries() {
            return 1;
        }

        @Override
        public boolean retriesHere(CrashCause cause, Moment now) {
            return true;
        }
    };

    /** Broadcasts crash notices to the other entries. */
    void broadcast(List<PeerMessage.CrashNotice> notices);

    /** Returns the number of entries, this one included. */
    int entries();

    /** Returns whether this entry, among those that respond, is the one that retries a quarantined cause. */
    boolean retriesHere(CrashCause cause, Moment now);
}
