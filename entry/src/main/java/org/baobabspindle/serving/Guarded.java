package org.baobabspindle.serving;

import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * A table that several threads share, with its lock. Locks are acquired in ascending order of rank. Acquiring a lock
 * while holding another of the same or a higher rank throws {@link IllegalStateException}, since it could deadlock.
 *
 * @param <T> the type of the table
 */
public final class Guarded<T> {
    private static final ThreadLocal<Integer> HELD_RANK = ThreadLocal.withInitial(() -> 0);

    /** The order in which locks are acquired. */
    public enum Rank {
        /** The replayed log state and its freshness. */
        STATE(1),
        /** Engine reports, group assessments and the keeper. */
        GROUPS(2),
        /** Idempotency keys. */
        KEYS(3),
        /** Outstanding requests and rate limits. */
        LOADS(4);

        private final int position;

        Rank(int position) {
            this.position = position;
        }
    }

    private final int rank;
    private final T table;
    private final ReentrantLock lock = new ReentrantLock();

    private Guarded(Rank rank, T table) {
        this.rank = rank.position;
        this.table = table;
    }

    /**
     * Wraps a table with a lock.
     *
     * @param rank the rank of its lock
     * @param table the table
     * @param <T> the type of the table
     * @return the guarded table
     */
    public static <T> Guarded<T> of(Rank rank, T table) {
        return new Guarded<>(rank, table);
    }

    /**
     * Applies a function to the table while holding its lock.
     *
     * @param function the function
     * @param <R> the type of the result
     * @return the result
     */
    public <R> R with(Function<? super T, ? extends R> function) {
        int heldRank = HELD_RANK.get();
        if (heldRank >= rank) {
            throw new IllegalStateException("lock of rank " + rank + " requested while holding rank " + heldRank);
        }
        lock.lock();
        HELD_RANK.set(rank);
        try {
            return function.apply(table);
        } finally {
            HELD_RANK.set(heldRank);
            lock.unlock();
        }
    }

    /**
     * Runs an action on the table while holding its lock.
     *
     * @param action the action
     */
    public void use(Consumer<? super T> action) {
        Boolean done = with(t -> {
            action.accept(t);
            return Boolean.TRUE;
        });
        assert done;
    }
}
