package org.baobabspindle.core.dispatch;

import java.util.Optional;
import org.baobabspindle.core.fleet.BatchParameters;
import org.baobabspindle.core.fleet.EngineModel;
import org.baobabspindle.core.fleet.EngineProfile;

/**
 * Predicts how long an engine group takes to the first event of a request, and how long its streams pause meanwhile. A
 * group works in passes: each step of a pass reads at most a chunk of prompt tokens, and all streams get one event at the
 * end of the pass.
 *
 * @param profile the performance parameters of the engines
 * @param batch how prompts slow down a batch
 * @param pace the factor that multiplies all times of the group
 */
public record BatchModel(EngineProfile profile, BatchParameters batch, double pace) {
    /**
     * Returns the model of the groups of an engine model.
     *
     * @param profile the performance parameters of the engines
     * @param model the engine model
     * @return the model; empty if the parameters are not stated, or if requests do not share a batch
     */
    public static Optional<BatchModel> of(EngineProfile profile, EngineModel model) {
        boolean usable = profile.slots() > 1 && profile.prefillTokensPerSecond() > 0 && profile.stepsPerPass() >= 1;
        return usable ? profile.batch().map(b -> new BatchModel(profile, b, model.pace())) : Optional.empty();
    }

    /**
     * The load of a group.
     *
     * @param unreadTokens the prompt tokens of requests whose first event has not arrived
     * @param outstanding the requests that were sent to the group and have not ended
     * @param slowdown the observed time of its steps as a multiple of that of its peers; 1 if it is as fast
     */
    public record Load(long unreadTokens, int outstanding, double slowdown) {}

    /**
     * The effect of one more request.
     *
     * @param firstEventMillis the time to its first event
     * @param pauseMillis the longest interval between two events of the streams in progress
     * @param streams the number of streams in progress
     */
    public record Prediction(double firstEventMillis, double pauseMillis, int streams) {}

    /**
     * Predicts the effect of one more request at a group.
     *
     * @param load the load of the group without the request
     * @param promptTokens the prompt tokens of the request
     * @return the effect
     */
    public Prediction predict(Load load, long promptTokens) {
        long unread = load.unreadTokens() + promptTokens;
        int streams = streams(load);
        double steps = stepMillis(streams + 1) * profile.stepsPerPass();
        long tokensPerPass = (long) batch.chunkTokens() * profile.stepsPerPass();
        long passes = (unread + tokensPerPass - 1) / tokensPerPass;
        // A request arrives in the middle of a pass on average.
        double untilNextPass = load.outstanding() > 0 ? steps / 2 : 0;
        double reading =
                readMillis(load.unreadTokens(), batch.meanPromptTokens()) + readMillis(promptTokens, promptTokens);
        double longestPass = steps + reading * Math.min(1, (double) tokensPerPass / unread);
        double scale = pace * load.slowdown();
        return new Prediction(scale * (untilNextPass + passes * steps + reading), scale * longestPass, streams);
    }

    private int streams(Load load) {
        long reading = Math.min(load.outstanding(), load.unreadTokens() / batch.meanPromptTokens());
        return (int) (load.outstanding() - reading);
    }

    private double stepMillis(int streams) {
        double context = streams * (batch.meanPromptTokens() + batch.meanOutputTokens() / 2.0);
        return profile.stepMillis()
                + profile.stepMillisPerSequence() * streams
                + batch.contextMillisPerThousand() * context / 1_000;
    }

    private double readMillis(long tokens, long promptTokens) {
        double pairs = (double) tokens * Math.min(tokens, promptTokens) / 2;
        return tokens * 1_000.0 / profile.prefillTokensPerSecond() + batch.millisPerMillionPairs() * pairs / 1_000_000;
    }
}
