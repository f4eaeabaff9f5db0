package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** A client's connection for streams, read as the bytes come; without framing the end of the connection completes a response. */
final class StreamCaller implements AutoCloseable {
    /** A client allows a new connection this long. */
    private static final int CONNECT_MILLIS = 1_000;

    private final Socket socket = new Socket();
    private final InputStream in;
    private boolean usable = true;
    private long leaveAt;

    /** What a client says about keeping its connection. */
    enum Keeping {
        KEPT("HTTP/1.1", ""),
        CLOSES("HTTP/1.1", "Connection: close\r\n"),
        OLD("HTTP/1.0", "");

        private final String version;
        private final String header;

        Keeping(String version, String header) {
            this.version = version;
            this.header = header;
        }
    }

    /** How a response ends. */
    enum End {
        COMPLETE,
        /** The connection ended with FIN before what the framing states. */
        FIN,
        RESET,
        /** Nothing came until the client gave up. */
        LEFT,
        /** Bytes that are no answer in the protocol. */
        INVALID
    }

    /**
     * What a client wants.
     *
     * @param after the last event that the client has; -1 if it has none
     */
    record Ask(String id, String path, String key, String model, int after, int budgetMillis, String body) {
        String head(Keeping keeping) {
            String prefix = ServiceRunner.PREFIX;
            return "POST " + path + " " + keeping.version + "\r\nHost: " + Deployment.HOST + "\r\n" + prefix
                    + "Request-Id: " + id + "\r\n" + prefix + "Deadline-Ms: " + budgetMillis + "\r\n" + prefix + "Model: "
                    + model + "\r\n" + prefix + "Token-Count: 100,20\r\n" + prefix + "Prompt-Prefix: 5c1e07a2:100\r\n"
                    + "X-Api-Key: " + key + "\r\n" + (after < 0 ? "" : "Last-Event-Id: " + after + "\r\n")
                    + keeping.header + "Content-Length: " + body.length() + "\r\n\r\n" + body;
        }
    }

    /** A response; status 0 if none began. */
    record Answer(int status, Map<String, String> headers, String body, End end, double seconds) {
        boolean framed() {
            return headers.containsKey("transfer-encoding") || headers.containsKey("content-length");
        }
    }

    StreamCaller(String host, int port) throws IOException {
        socket.connect(new InetSocketAddress(host, port), CONNECT_MILLIS);
        socket.setTcpNoDelay(true);
        in = new BufferedInputStream(socket.getInputStream(), 16 * 1024);
    }

    boolean usable() {
        return usable;
    }

    /** Sends a request and reads its response, for a time at most. */
    Answer call(Ask ask, Keeping keeping, int waitMillis) {
        long start = System.nanoTime();
        leaveAt = start + waitMillis * 1_000_000L;
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        int status = 0;
        Map<String, String> headers = Map.of();
        End end;
        try {
            socket.getOutputStream().write(ask.head(keeping).getBytes(StandardCharsets.ISO_8859_1));
            String first = line();
            Map<String, String> head = first == null ? null : readHead();
            if (head != null) {
                headers = head;
                status = Integer.parseInt(first.split(" ")[1]);
            }
            end = head == null ? End.FIN : readBody(headers, body);
        } catch (SocketTimeoutException e) {
            end = End.LEFT;
        } catch (SocketException e) {
            end = End.RESET;
        } catch (IOException e) {
            end = End.FIN;
        } catch (RuntimeException e) {
            end = End.INVALID;
        }
        boolean kept = keeping == Keeping.KEPT && !"close".equalsIgnoreCase(headers.get("connection"));
        usable = end == End.COMPLETE && kept;
        String text = body.toString(StandardCharsets.UTF_8);
        return new Answer(status, headers, text, end, (System.nanoTime() - start) / 1e9);
    }

    /** Reads headers; null if the connection ends within them. */
    private Map<String, String> readHead() throws IOException {
        Map<String, String> headers = new TreeMap<>();
        for (String line = line(); line != null; line = line()) {
            if (line.isEmpty()) {
                return headers;
            }
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        return null;
    }

    private End readBody(Map<String, String> headers, ByteArrayOutputStream body) throws IOException {
        if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
            while (true) {
                String size = line();
                if (size == null) {
                    return End.FIN;
                }
                int length = Integer.parseInt(size.trim(), 16);
                if (!copy(length, body) || line() == null) {
                    return End.FIN;
                }
                if (length == 0) {
                    return End.COMPLETE;
                }
            }
        }
        if (headers.containsKey("content-length")) {
            return copy(Integer.parseInt(headers.get("content-length")), body) ? End.COMPLETE : End.FIN;
        }
        copy(Integer.MAX_VALUE, body);
        return End.COMPLETE;
    }

    private boolean copy(int length, ByteArrayOutputStream to) throws IOException {
        for (int i = 0; i < length; i++) {
            int b = read();
            if (b < 0) {
                return false;
            }
            to.write(b);
        }
        return true;
    }

    private String line() throws IOException {
        return RawServer.readLine(new Timed());
    }

    private int read() throws IOException {
        if (in.available() == 0) {
            long left = (leaveAt - System.nanoTime()) / 1_000_000;
            if (left <= 0) {
                throw new SocketTimeoutException();
            }
            socket.setSoTimeout((int) left);
        }
        return in.read();
    }

    /** The bytes of the connection until the client leaves. */
    private final class Timed extends InputStream {
        @Override
        public int read() throws IOException {
            return StreamCaller.this.read();
        }
    }

    @Override
    public void close() throws IOException {
        usable = false;
        socket.close();
    }
}
