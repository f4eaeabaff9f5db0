package org.baobabspindle.gateway;

import java.util.Optional;
import java.util.OptionalLong;
import org.baobabspindle.peer.PeerSecret;
import org.eclipse.jetty.http.HttpFields;

/**
 * Marks a request that another entry relays. The mark is signed with the secret of the entry that receives the request;
 * a caller cannot sign one, and a request whose mark is not signed is treated as a request without a mark.
 *
 * @param attempts the number of backend servers that may still run the request
 * @param stage how far the first entry has come with the request
 * @param version the version of the configuration that the first entry follows or has shown to its callers; an older one may
 *     no longer apply
 */
record RelayMark(int attempts, Stage stage, long version) {
    /** How far the first entry has come with the request. */
    enum Stage {
        /** It has not been sent to a backend server. */
        NEW,
        /** It has been sent to a backend server. */
        RETRIED,
        /** The caller has received a part of the response. */
        CONTINUED
    }

    /** The request header of the mark: the attempts, the stage, the version and the signature, separated by spaces. */
    static final String HEADER = "Entry-Relay";

    /** The response header by which an entry states why it refuses a relayed request: the name of the refusal. */
    static final String REFUSAL_HEADER = "Entry-Refusal";

    /** The response header by which an entry states which version of the configuration it follows, to the one that relays. */
    static final String VERSION_HEADER = "Entry-Version";

    /** Returns the version that the entry follows that has answered a relayed request; empty if it does not state it. */
    static OptionalLong version(HttpFields headers) {
        try {
            String text = headers.get(VERSION_HEADER);
            return text == null ? OptionalLong.empty() : OptionalLong.of(Long.parseLong(text));
        } catch (NumberFormatException e) {
            return OptionalLong.empty();
        }
    }

    /** Returns the mark of a request; empty if it has none or the signature is invalid. */
    static Optional<RelayMark> of(HttpFields headers, String requestId, PeerSecret secret) {
        String text = headers.get(HEADER);
        int end = text == null ? -1 : text.lastIndexOf(' ');
        if (end < 0) {
            return Optional.empty();
        }
        String signed = text.substring(0, end);
        return secret.verify(textToSign(signed, requestId), text.substring(end + 1)) ? parse(signed) : Optional.empty();
    }

    private static Optional<RelayMark> parse(String text) {
        String[] parts = text.split(" ", -1);
        if (parts.length != 3) {
            return Optional.empty();
        }
        try {
            return Optional.of(
                    new RelayMark(Integer.parseInt(parts[0]), Stage.valueOf(parts[1]), Long.parseLong(parts[2])));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    /** Returns the value of the request header. */
    String format(String requestId, PeerSecret receiver) {
        String text = attempts + " " + stage + ' ' + version;
        return text + ' ' + receiver.sign(textToSign(text, requestId));
    }

    private static String textToSign(String mark, String requestId) {
        return "relay " + mark + ' ' + requestId;
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
