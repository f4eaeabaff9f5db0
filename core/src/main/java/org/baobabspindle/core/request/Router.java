package org.baobabspindle.core.request;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.baobabspindle.core.group.Rendezvous;
import org.baobabspindle.core.id.GroupId;

/**
 * Chooses the group for a request: the group that most likely has the prefix of the prompt cached, unless its load is
 * well above the mean or its time to first token is far above the median. Groups are ranked by rendezvous hashing with
 * bounded loads.
 */
public final class Router {
    private static final double LOAD_BOUND_FACTOR = 1.25;
    private static final int STRAGGLER_FACTOR = 3;

    private final int maxLoad;

    /**
     * Creates a router.
     *
     * @param maxLoad the maximum number of concurrent requests per group
     */
    public Router(int maxLoad) {
        this.maxLoad = maxLoad;
    }

    /**
     * The chosen group.
     *
     * @param group the group
     * @param reason why it was chosen, for logs
     */
    public record Choice(GroupId group, String reason) {}

    /**
     * Chooses the group for a request.
     *
     * @param candidates the groups that may receive the request
     * @param prefix an affinity key, equal for requests with the same prompt prefix
     * @return the choice, or empty if every group is at its maximum load
     */
    public Optional<Choice> choose(List<GroupCandidate> candidates, String prefix) {
        List<GroupCandidate> available =
                candidates.stream().filter(c -> c.load() < maxLoad).toList();
        if (available.isEmpty()) {
            return Optional.empty();
        }
        List<GroupCandidate> responsive = excludeStragglers(available);
        double mean =
                responsive.stream().mapToInt(GroupCandidate::load).average().orElse(0);
        double maxRoutedLoad = Math.ceil(LOAD_BOUND_FACTOR * (mean + 1));
        for (GroupCandidate c : rankByAffinity(responsive, prefix)) {
            if (c.load() + 1 <= maxRoutedLoad) {
                return Optional.of(new Choice(c.group(), "prefix affinity, load " + c.load()));
            }
        }
        GroupCandidate least = responsive.stream()
                .min(Comparator.comparingInt(GroupCandidate::load).thenComparing(c -> !c.sameZone()))
                .orElseThrow();
        return Optional.of(new Choice(least.group(), "least load " + least.load()));
    }

    private static List<GroupCandidate> rankByAffinity(List<GroupCandidate> candidates, String prefix) {
        Map<GroupId, GroupCandidate> byGroup =
                candidates.stream().collect(Collectors.toMap(GroupCandidate::group, c -> c, (a, b) -> a));
        List<GroupCandidate> ranked = new ArrayList<>();
        for (GroupId g : Rendezvous.rank(prefix, byGroup.keySet())) {
            ranked.add(byGroup.get(g));
        }
        return ranked;
    }

    private static List<GroupCandidate> excludeStragglers(List<GroupCandidate> candidates) {
        List<Duration> times = candidates.stream()
                .map(GroupCandidate::timeToFirstToken)
                .filter(d -> !d.isZero())
                .sorted()
                .toList();
        if (times.size() < 2) {
            return candidates;
        }
        Duration limit = times.get((times.size() - 1) / 2).multipliedBy(STRAGGLER_FACTOR);
        List<GroupCandidate> responsive = candidates.stream()
                .filter(c -> c.timeToFirstToken().compareTo(limit) <= 0)
                .toList();
        return responsive.isEmpty() ? candidates : responsive;
    }
}
