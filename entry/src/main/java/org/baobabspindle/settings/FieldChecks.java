package org.baobabspindle.settings;

import java.net.URI;
import java.util.regex.Pattern;

/**
 * Validates single settings. An invalid value causes an {@link IllegalArgumentException} whose message contains the
 * field, the value and the allowed values with their unit.
 */
final class FieldChecks {
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,99}");
    private static final Pattern IP_ADDRESS = Pattern.compile("\\d{1,3}(\\.\\d{1,3}){3}|[0-9a-fA-F:]*:[0-9a-fA-F:]+");
    private static final Pattern SHA256 = Pattern.compile("[0-9a-f]{64}");

    private FieldChecks() {}

    static void name(String field, String value) {
        require(
                value != null && NAME.matcher(value).matches(),
                field,
                value,
                "1 to 100 letters, digits, '.', '_', '-'");
    }

    static void ipAddress(String field, String value) {
        require(value != null && IP_ADDRESS.matcher(value).matches(), field, value, "an IP address");
    }

    static void sha256(String field, String value) {
        require(value != null && SHA256.matcher(value).matches(), field, value, "64 lower-case hexadecimal digits");
    }

    static void range(String field, long value, long min, long max, String unit) {
        require(value >= min && value <= max, field, value, min + " to " + max + " " + unit);
    }

    static void url(String field, String value) {
        boolean valid = false;
        try {
            URI uri = URI.create(value);
            valid = "http".equals(uri.getScheme())
                    && IP_ADDRESS.matcher(String.valueOf(uri.getHost())).matches()
                    && uri.getPort() > 0;
        } catch (IllegalArgumentException | NullPointerException e) {
            valid = false;
        }
        require(valid, field, value, "http://IP-NUMBER:PORT");
    }

    private static void require(boolean valid, String field, Object value, String allowed) {
        if (!valid) {
            throw new IllegalArgumentException(field + ": " + value + " is not allowed; expected " + allowed);
        }
    }
}
