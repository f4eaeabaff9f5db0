package org.baobabspindle.core.formation;

import java.util.List;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.fleet.EngineModel;

/** An engine that can become a member of a group, with the time it takes to join each model. Compared by identity. */
final class Candidate {
    private final BackendServer server;
    private final long[] readyMillis;

    private Candidate(BackendServer server, long[] readyMillis) {
        this.server = server;
        this.readyMillis = readyMillis;
    }

    /** Creates the candidate for an engine that can start to join after a delay in milliseconds. */
    static Candidate of(BackendServer server, long delayMillis, DomainState state, List<EngineModel> models) {
        String staging = state.staging().get(server.lifetime());
        long[] ready = new long[models.size()];
        for (int m = 0; m < ready.length; m++) {
            EngineModel model = models.get(m);
            long join = GroupPlanner.joinTime(model, server).toMillis();
            // The progress of staging is not reported; half of the load time remains on average.
            boolean stagingModel =
                    model.name().equals(staging) && join == model.loadTime().toMillis();
            ready[m] = delayMillis + (stagingModel ? join / 2 : join);
        }
        return new Candidate(server, ready);
    }

    BackendServer server() {
        return server;
    }

    /** Returns the milliseconds until the engine is ready in a group of the model at an index of the profile. */
    long readyMillis(int model) {
        return readyMillis[model];
    }

    /**
     * Returns the milliseconds until the engine is ready in the model, other than the given one, that it joins soonest.
     */
    long minReadyMillisOfOtherModels(int model) {
        long min = Long.MAX_VALUE;
        for (int m = 0; m < readyMillis.length; m++) {
            if (m != model) {
                min = Math.min(min, readyMillis[m]);
            }
        }
        return min;
    }
}
