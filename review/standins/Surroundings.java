package review;

import java.util.Random;

/** What callers know of the play around them. */
interface Surroundings {
    /** Returns the entry that a caller uses for its next request. */
    Deployment.Entry entry(int caller, Random random);

    /**
     * Returns whether an entry owes an answer to a request.
     *
     * @param sentAt when it was sent, in seconds
     * @param openedAt when its connection was opened, in seconds
     */
    boolean owesAnswer(Deployment.Entry entry, double sentAt, double openedAt);

    boolean ending();
}
