package org.baobabspindle.core.group;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import net.openhft.hashing.LongHashFunction;

/** Rendezvous hashing: ranks candidates for a name so that the ranking changes little when candidates come and go. */
public final class Rendezvous {
    private static final LongHashFunction HASH = LongHashFunction.xx3();

    private Rendezvous() {}

    /**
     * Ranks candidates for a name.
     *
     * @param name the name
     * @param candidates the candidates, identified by their {@code toString()}
     * @param <T> the type of a candidate
     * @return the candidates, the preferred one first
     */
    public static <T> List<T> rank(String name, Collection<T> candidates) {
        Comparator<T> byWeight = Comparator.comparingLong(c -> HASH.hashChars(name + '/' + c));
        return candidates.stream()
                .sorted(byWeight.thenComparing(Object::toString))
                .toList();
    }
}
