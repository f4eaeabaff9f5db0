package org.baobabspindle.core.formation;

import java.util.List;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.fleet.EngineModel;

/** An engine that a group may consist of, with the times until it has joined one. Compared by identity. */
final class Candidate {
    private final BackendServer server;
    private final long[] readyMillis;

    private Candidate(BackendServer server, long[] readyMillis) {
        this.server = server;
        this.readyMillis = readyMillis;
    }

    /** Returns an engine that can join after a delay. */
    static Candidate of(BackendServer server, long delayMillis, DomainState state, List<EngineModel> models) {
        String staging = state.staging().get(server.lifetime());
        long[] ready = new long[models.size()];
        for (int m = 0; m < ready.length; m++) {
            EngineModel model = models.get(m);
            long join = GroupPlanner.joinTime(model, server).toMillis();
            // How far the host is isn't known; half of the time is left on average.
            boolean begun =
                    model.name().equals(staging) && join == model.loadTime().toMillis();
            ready[m] = delayMillis + (begun ? join / 2 : join);
        }
        return new Candidate(server, ready);
    }

    BackendServer server() {
        return server;
    }

    /** Returns the time until the engine has joined a group of a model, by the model's place in the profile. */
    long readyMillis(int model) {
        return readyMillis[model];
    }

    /** Returns the time until it has joined a group of the other model that gets it soonest. */
    long readyMillisElsewhere(int model) {
        long least = Long.MAX_VALUE;
        for (int m = 0; m < readyMillis.length; m++) {
            if (m != model) {
                least = Math.min(least, readyMillis[m]);
            }
        }
        return least;
    }
}
