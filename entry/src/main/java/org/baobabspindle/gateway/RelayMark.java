package org.baobabspindle.gateway;

import java.util.Optional;
import org.baobabspindle.peer.PeerSecret;
import org.eclipse.jetty.http.HttpFields;

/**
 * Marks a request that another entry relays. The mark is signed with the secret of the entry that receives the request;
 * a caller cannot sign one, and a request whose mark is not signed is treated as a request without a mark.
 *
 * @param attempts the number of backend servers that may still run the request
 */
record RelayMark(int attempts) {
    /** The request header of the mark: the attempts and the signature, separated by a space. */
    static final String HEADER = "Entry-Relay";

    /** The response header by which an entry states why it refuses a relayed request: the name of the refusal. */
    static final String REFUSAL_HEADER = "Entry-Refusal";

    /** Returns the mark of a request; empty if it has none or the signature is invalid. */
    static Optional<RelayMark> of(HttpFields headers, String requestId, PeerSecret secret) {
        String text = headers.get(HEADER);
        int space = text == null ? -1 : text.indexOf(' ');
        if (space < 0) {
            return Optional.empty();
        }
        String attempts = text.substring(0, space);
        if (!attempts.matches("[1-9]\\d{0,3}")
                || !secret.verify(signed(attempts, requestId), text.substring(space + 1))) {
            return Optional.empty();
        }
        return Optional.of(new RelayMark(Integer.parseInt(attempts)));
    }

    /** Returns the value of the request header. */
    String format(String requestId, PeerSecret receiver) {
        return attempts + " " + receiver.sign(signed(String.valueOf(attempts), requestId));
    }

    private static String signed(String attempts, String requestId) {
        return "relay " + attempts + ' ' + requestId;
    }

    /** Returns the reason for which an entry has refused a relayed request; empty if the response names none. */
    static Optional<Refusal> refusal(HttpFields headers) {
        String name = headers.get(REFUSAL_HEADER);
        try {
            return name == null ? Optional.empty() : Optional.of(Refusal.valueOf(name));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }
}
