package org.baobabspindle.gateway;

/**
 * What shows that a response answers the request of a call. A faulty server may send a response a second time, where the
 * response to the next request of the connection is expected.
 */
enum Attribution {
    /** The response names the request. */
    NAMED,
    /** The response names no request, and its connection has carried no other one. */
    ONLY_CALL,
    /** The response names no request; it may answer an earlier one of its connection. */
    UNPROVEN,
    /** The response names another request. */
    FOREIGN;

    /**
     * Returns the attribution of a response.
     *
     * @param requestId the id of the request; null if it has none
     * @param named the id that the response names; null if it names none
     * @param connectionCalls the number of calls that the connection has carried, this one included
     */
    static Attribution of(String requestId, String named, int connectionCalls) {
        if (named != null) {
            return named.equals(requestId) ? NAMED : FOREIGN;
        }
        return connectionCalls == 1 ? ONLY_CALL : UNPROVEN;
    }

    /** Returns whether a refusal shows that the request of the call was refused. */
    boolean isProof() {
        return this == NAMED || this == ONLY_CALL;
    }
}
