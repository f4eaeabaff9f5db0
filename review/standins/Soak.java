package review;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** Callers beside entries and runners that are disturbed, all drawn from a seed. */
abstract class Soak {
    private static final int MIN_PAUSE_MILLIS = 200;

    /** The time in which what runners have received before the end is still run. */
    private static final int SETTLE_MILLIS = 3_500;

    final Deployment deployment;
    final Record record;
    final Random random;
    final Cuts cuts;

    /** The entries that callers use, by name. */
    final Map<String, Deployment.Entry> serving = new ConcurrentHashMap<>();

    volatile boolean ending;

    Soak(Deployment deployment, Record record, Random random) {
        this.deployment = deployment;
        this.record = record;
        this.random = random;
        this.cuts = new Cuts(deployment::running);
    }

    /** Disturbs an entry, a runner or the configuration. */
    abstract void disturb(int number) throws Exception;

    /**
     * Disturbs one after the other beside callers, and waits until all has ended.
     *
     * @param callers threads that have been started and that stop when the play is ending
     * @param pauseMillis by how much the pauses between disturbances differ
     */
    final void disturbBeside(List<Thread> callers, int seconds, int pauseMillis, boolean trouble) throws Exception {
        double until = record.seconds() + seconds;
        for (int i = 0; record.seconds() < until; i++) {
            Thread.sleep(MIN_PAUSE_MILLIS + random.nextInt(pauseMillis));
            if (trouble) {
                disturb(i);
            }
        }
        ending = true;
        for (Thread t : callers) {
            t.join();
        }
        awaitReplacement();
        Thread.sleep(SETTLE_MILLIS);
    }

    /** Waits until no entry is being replaced; the lock is held meanwhile. */
    private synchronized void awaitReplacement() {
        record.write("callers have ended");
    }

    /** Returns the entries that callers use, in the order of their names. */
    final List<Deployment.Entry> entries() {
        return new ArrayList<>(new TreeMap<>(serving).values());
    }

    final Thread inBackground(Background.Step step) {
        return Background.start(record, step);
    }
}
