package org.baobabspindle.standins;

import com.fasterxml.jackson.databind.JsonNode;

/** Faults that can be injected into a running stand-in and withdrawn again. */
final class Faults {
    private volatile boolean down;
    private volatile int delayMillis;
    private volatile int responsesToLose;

    /** Returns whether the stand-in closes each connection before the request takes effect. */
    boolean isDown() {
        return down;
    }

    /** Returns the delay before each request takes effect, in milliseconds. */
    int delayMillis() {
        return delayMillis;
    }

    /**
     * Returns whether the response to this request must be lost after the request has taken effect. Each call that
     * returns true uses up one of the responses to lose.
     */
    synchronized boolean consumeLostResponse() {
        if (responsesToLose == 0) {
            return false;
        }
        responsesToLose--;
        return true;
    }

    /** Sets the faults that the body of a switch request names; the others stay unchanged. */
    synchronized void update(JsonNode settings) {
        down = settings.path("down").asBoolean(down);
        delayMillis = settings.path("slowMillis").asInt(delayMillis);
        responsesToLose = settings.path("loseAnswers").asInt(responsesToLose);
    }
}
