package review;

/** Runs steps of a play beside it. */
final class Background {
    /** A step that may fail. */
    interface Step {
        void run() throws Exception;
    }

    private Background() {}

    /** Starts a step; the record tells if it fails. */
    static Thread start(Record record, Step step) {
        Thread t = new Thread(() -> {
            try {
                step.run();
            } catch (Exception e) {
                record.write("a step failed: " + e);
            }
        });
        t.setDaemon(true);
        t.start();
        return t;
    }
}
