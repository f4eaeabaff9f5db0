package review;

import java.nio.charset.StandardCharsets;

/** The run of a stream as its request asks for it. */
record Wish(String request, int from, int events, int gapMillis, String run, Framing framing) {
    private String event(int k) {
        return "id: " + k + "\ndata: " + request + " " + k + "/" + events + " " + run + "\n\n";
    }

    /** Returns an event as it is sent. */
    byte[] encoded(int k) {
        return framing.encode(event(k)).getBytes(StandardCharsets.ISO_8859_1);
    }

    private int length() {
        int length = 0;
        for (int k = from; k < events; k++) {
            length += event(k).length();
        }
        return length;
    }

    /** Returns the head of the response. */
    byte[] head() {
        String length = switch (framing) {
            case CHUNKED -> "Transfer-Encoding: chunked\r\n";
            case LENGTH -> "Content-Length: " + length() + "\r\n";
            case NONE -> "Connection: close\r\n";
        };
        String prefix = ServiceRunner.PREFIX;
        return ("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + prefix + "Request-Id: " + request + "\r\n"
                        + prefix + "Server-Stamp: stamp." + request + "." + run + "\r\n" + prefix + "Weight-Versions: 1\r\n"
                        + length + "\r\n")
                .getBytes(StandardCharsets.ISO_8859_1);
    }
}
