package org.baobabspindle.gateway;

import java.util.Locale;
import java.util.Set;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;

/** Selects the headers of a backend server's response that are forwarded to the caller. */
final class ResponseHeaders {
    /** Headers that apply to a single connection, or that an entry sets itself. */
    private static final Set<String> NOT_COPIED = Set.of(
            "connection",
            "keep-alive",
            "proxy-connection",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "content-length",
            "retry-after",
            "date",
            "server",
            RelayMark.REFUSAL_HEADER.toLowerCase(Locale.ROOT),
            RelayMark.VERSION_HEADER.toLowerCase(Locale.ROOT));

    private ResponseHeaders() {}

    static void copyEndToEnd(HttpFields from, HttpFields.Mutable to) {
        for (HttpField f : from) {
            if (!NOT_COPIED.contains(f.getName().toLowerCase(Locale.ROOT))) {
                to.add(f);
            }
        }
    }
}
