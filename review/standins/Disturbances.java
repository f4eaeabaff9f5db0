package review;

/** The disturbances of one entry, which may overlap. */
final class Disturbances {
    /** The time before a request in which nothing was done to its entry if the entry counts as undisturbed. */
    private static final double CALM_SECONDS = 1;

    private int inProgress;
    private double lastEnd;
    private double lastReplacement;

    synchronized void begin() {
        inProgress++;
    }

    synchronized void end(double now) {
        inProgress--;
        lastEnd = now;
    }

    /** The process has ended and another one is ready. */
    synchronized void replaced(double now) {
        lastReplacement = now;
    }

    /**
     * Returns whether a request is owed an answer.
     *
     * @param sentAt when it was sent, in seconds
     * @param openedAt when its connection was opened, in seconds
     */
    synchronized boolean owesAnswer(double sentAt, double openedAt) {
        return inProgress == 0 && lastEnd < sentAt - CALM_SECONDS && lastReplacement < openedAt;
    }
}
