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
 * Chooses the group for a request: the one that most likely has the prompt's prefix cached, unless it is much more
 * loaded than the others or answers much more slowly.
 */
public final class Router {
    private static final double LOAD_BOUND = 1.25;
    private static final int STRAGGLER_FACTOR = 3;

    private final int maxLoad;

    /**
     * Creates a router.
     *
     * @param maxLoad the most requests that a group is given at once
     */
    public Router(int maxLoad) {
        this.maxLoad = maxLoad;
    }

    /**
     * A choice.
     *
     * @param group the group
     * @param reason why it was chosen
     */
    public record Choice(GroupId group, String reason) {}

    /**
     * Chooses a group.
     *
     * @param candidates the groups that may take the request
     * @param prefix what requests with the same prompt prefix have in common
     * @return the choice, or empty if every group is full
     */
    public Optional<Choice> choose(List<GroupCandidate> candidates, String prefix) {
        List<GroupCandidate> open =
                candidates.stream().filter(c -> c.load() < maxLoad).toList();
        if (open.isEmpty()) {
            return Optional.empty();
        }
        List<GroupCandidate> steady = withoutStragglers(open);
        double mean = steady.stream().mapToInt(GroupCandidate::load).average().orElse(0);
        double bound = Math.ceil(LOAD_BOUND * (mean + 1));
        for (GroupCandidate c : byAffinity(steady, prefix)) {
            if (c.load() + 1 <= bound) {
                return Optional.of(new Choice(c.group(), "prefix affinity, load " + c.load()));
            }
        }
        GroupCandidate least = steady.stream()
                .min(Comparator.comparingInt(GroupCandidate::load).thenComparing(c -> !c.sameZone()))
                .orElseThrow();
        return Optional.of(new Choice(least.group(), "least load " + least.load()));
    }

    private static List<GroupCandidate> byAffinity(List<GroupCandidate> candidates, String prefix) {
        Map<GroupId, GroupCandidate> byGroup =
                candidates.stream().collect(Collectors.toMap(GroupCandidate::group, c -> c, (a, b) -> a));
        List<GroupCandidate> ranked = new ArrayList<>();
        for (GroupId g : Rendezvous.rank(prefix, byGroup.keySet())) {
            ranked.add(byGroup.get(g));
        }
        return ranked;
    }

    private static List<GroupCandidate> withoutStragglers(List<GroupCandidate> candidates) {
        List<Duration> known = candidates.stream()
                .map(GroupCandidate::timeToFirstToken)
                .filter(d -> !d.isZero())
                .sorted()
                .toList();
        if (known.size() < 2) {
            return candidates;
        }
        Duration bound = known.get((known.size() - 1) / 2).multipliedBy(STRAGGLER_FACTOR);
        List<GroupCandidate> steady = candidates.stream()
                .filter(c -> c.timeToFirstToken().compareTo(bound) <= 0)
                .toList();
        return steady.isEmpty() ? candidates : steady;
    }
}
