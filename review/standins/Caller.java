package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;

/** A client's connection to an entry, which is kept for further requests. */
final class Caller implements AutoCloseable {
    /** The statuses that state that a request has not run. */
    static final Set<Integer> PROMISES = Set.of(408, 421, 429, 503);

    private final Socket socket;
    private final InputStream in;
    private boolean closed;

    /** The answer to a request; status 0 if the connection ended or stayed silent without a complete answer. */
    record Answer(int status, Map<String, String> headers, byte[] body, double seconds) {
        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }

        boolean served() {
            return status == 200 && headers.containsKey("x-baobabspindle-server-stamp");
        }
    }

    Caller(String host, int port) throws IOException {
        socket = new Socket(host, port);
        socket.setTcpNoDelay(true);
        in = new BufferedInputStream(socket.getInputStream(), 64 * 1024);
    }

    boolean usable() {
        return !closed;
    }

    /** Sends a request and waits for its answer for a while longer than its time budget. */
    Answer call(String method, String path, String id, byte[] body, int budgetMillis, int waitMillis) {
        return call(method, path, id, "", body, budgetMillis, waitMillis);
    }

    /** Sends a request with further headers, each of which ends its line. */
    Answer call(
            String method,
            String path,
            String id,
            String extraHeaders,
            byte[] body,
            int budgetMillis,
            int waitMillis) {
        long start = System.nanoTime();
        try {
            socket.setSoTimeout(waitMillis);
            String head = method + " " + path + " HTTP/1.1\r\nHost: " + Deployment.HOST + "\r\n" + ServiceRunner.PREFIX
                    + "Request-Id: " + id + "\r\n" + ServiceRunner.PREFIX + "Deadline-Ms: " + budgetMillis
                    + "\r\nX-Api-Key: " + Deployment.KEY + "\r\n" + extraHeaders + "Content-Length: " + body.length
                    + "\r\n\r\n";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
            socket.getOutputStream().write(body);
            String first = RawServer.readLine(in);
            if (first == null) {
                throw new IOException("closed");
            }
            Map<String, String> headers = RawServer.readHeaders(in);
            byte[] content = RawServer.readBody(in, headers);
            closed = "close".equalsIgnoreCase(headers.get("connection"));
            return new Answer(Integer.parseInt(first.split(" ")[1]), headers, content, since(start));
        } catch (IOException | RuntimeException e) {
            closed = true;
            return new Answer(0, Map.of(), String.valueOf(e).getBytes(StandardCharsets.UTF_8), since(start));
        }
    }

    private static double since(long start) {
        return (System.nanoTime() - start) / 1e9;
    }

    @Override
    public void close() throws IOException {
        closed = true;
        socket.close();
    }
}
