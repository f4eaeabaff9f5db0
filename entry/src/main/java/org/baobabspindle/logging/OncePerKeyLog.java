package org.baobabspindle.logging;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.HashSet;
import java.util.Set;

/** Logs a warning once for each key, since a record that cannot be used is read again and again. */
public final class OncePerKeyLog {
    /** The number of keys that are logged; it bounds the memory and the log that a writer of records can take. */
    private static final int MAX_KEYS = 1_000;

    private final Logger logger;
    private final Set<String> keys = new HashSet<>();

    /**
     * Creates a log.
     *
     * @param source the class that logs
     */
    public OncePerKeyLog(Class<?> source) {
        this.logger = System.getLogger(source.getName());
    }

    /**
     * Logs what is wrong with a record unless something was logged for its key before. The last key that is logged says that
     * further ones are not.
     *
     * @param key the key, which the message should contain
     * @param message the message
     */
    public void warn(String key, String message) {
        boolean last;
        synchronized (keys) {
            if (keys.size() >= MAX_KEYS || !keys.add(key)) {
                return;
            }
            last = keys.size() == MAX_KEYS;
        }
        logger.log(Level.WARNING, last ? message + " (further keys are not logged)" : message);
    }
}
