package org.baobabspindle.gateway;

import java.util.Locale;
import java.util.Set;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;

/** The headers of a backend server's answer that its caller gets. */
final class ResponseHeaders {
    /** Headers that concern one connection, or that this entry's server sets itself. */
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
            "server");

    private ResponseHeaders() {}

    static void copy(HttpFields from, HttpFields.Mutable to) {
        for (HttpField f : from) {
            if (!NOT_COPIED.contains(f.getName().toLowerCase(Locale.ROOT))) {
                to.add(f);
            }
        }
    }
}
