package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** An HTTP/1.1 server on a loopback address with one thread per connection; stand-ins have the raw connection. */
abstract class RawServer implements AutoCloseable {
    private ServerSocket listener = new ServerSocket();
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private volatile boolean closed;
    private volatile int maxConnections = Integer.MAX_VALUE;
    private volatile int heldConnections;
    private volatile Cuts cuts = Cuts.NONE;

    RawServer(String host) throws IOException {
        listener.bind(new InetSocketAddress(InetAddress.getByName(host), 0), 512);
    }

    final void start() {
        Thread t = new Thread(this::accept, "accept-" + address());
        t.setDaemon(true);
        t.start();
    }

    final String host() {
        return listener.getInetAddress().getHostAddress();
    }

    final int port() {
        return listener.getLocalPort();
    }

    final String address() {
        return host() + ":" + port();
    }

    /** Lets some callers not reach this server. */
    final void setCuts(Cuts to) {
        cuts = to;
    }

    /** Waits while the peer of a connection is cut off; returns false if the connection is to be reset. */
    final boolean isReached(Connection c) throws InterruptedException {
        return cuts.passes(c.socket);
    }

    /** Reads a request; null at the end of the connection. */
    Request receive(Connection c) throws Exception {
        return c.readRequest();
    }

    /** Answers one request; returns whether the connection is kept. */
    abstract boolean handle(Request request, Connection connection) throws Exception;

    private void accept() {
        while (!closed) {
            try {
                Socket s = listener.accept();
                if (open.size() + heldConnections >= maxConnections) {
                    s.setSoLinger(true, 0);
                    s.close();
                    continue;
                }
                s.setTcpNoDelay(true);
                open.add(s);
                Thread t = new Thread(() -> serve(s), "serve-" + address());
                t.setDaemon(true);
                t.start();
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket s) {
        try (s) {
            Connection c = new Connection(s);
            for (Request r = receive(c); r != null; r = receive(c)) {
                if (!r.headers().containsKey(StoreCalls.MARK) && !isReached(c)) {
                    s.setSoLinger(true, 0);
                    return;
                }
                if (!handle(r, c)) {
                    return;
                }
            }
        } catch (IOException e) {
            // The peer has closed the connection.
        } catch (Exception e) {
            System.out.println("the stand-in at " + address() + " fails: " + e);
        } finally {
            open.remove(s);
        }
    }

    /** Listens at another port than the one that was chosen for it; called before the start. */
    final void moveTo(int port) throws IOException {
        InetAddress address = listener.getInetAddress();
        listener.close();
        listener = new ServerSocket();
        listener.bind(new InetSocketAddress(address, port), 512);
    }

    /** Sets the connections that are accepted; further ones are reset. */
    final void limitConnections(int max) {
        maxConnections = max;
    }

    /** Counts as many connections as are open for a while, as if they had gone silent; returns their number. */
    final int holdConnections(int millis) {
        int held = open.size();
        heldConnections = held;
        Thread t = new Thread(() -> {
            try {
                Thread.sleep(millis);
                heldConnections = 0;
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        t.setDaemon(true);
        t.start();
        return held;
    }

    /** Resets all connections, as when the process ends; new ones are accepted. */
    final void resetConnections() throws IOException {
        for (Socket s : open) {
            try {
                s.setSoLinger(true, 0);
            } catch (SocketException e) {
                // Its thread has closed the connection meanwhile.
            }
            s.close();
        }
    }

    @Override
    public void close() throws IOException {
        closed = true;
        listener.close();
        for (Socket s : open) {
            s.close();
        }
    }

    /** One HTTP request; names of headers are in lower case. */
    record Request(String method, String target, Map<String, String> headers, byte[] body) {
        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        String path() {
            int q = target.indexOf('?');
            return q < 0 ? target : target.substring(0, q);
        }

        String query(String name) {
            int q = target.indexOf('?');
            for (String pair : q < 0 ? new String[0] : target.substring(q + 1).split("&")) {
                if (pair.startsWith(name + "=")) {
                    return pair.substring(name.length() + 1);
                }
            }
            return "";
        }
    }

    /** One connection of a caller. */
    static final class Connection {
        final Socket socket;
        final InputStream in;
        final OutputStream out;

        Connection(Socket socket) throws IOException {
            this.socket = socket;
            this.in = new BufferedInputStream(socket.getInputStream(), 64 * 1024);
            this.out = socket.getOutputStream();
        }

        /** Reads a request; null at the end of the connection. */
        Request readRequest() throws IOException {
            Request head = readHead();
            return head == null ? null : withBody(head);
        }

        /** Reads a request without its body; null at the end of the connection. */
        Request readHead() throws IOException {
            String first = readLine(in);
            if (first == null) {
                return null;
            }
            String[] words = first.split(" ");
            return new Request(words[0], words[1], readHeaders(in), new byte[0]);
        }

        /** Reads the body of a request. */
        Request withBody(Request head) throws IOException {
            return new Request(head.method(), head.target(), head.headers(), readBody(in, head.headers()));
        }

        void respond(int status, String extraHeaders, byte[] body) throws IOException {
            out.write(response(status, extraHeaders, body));
            out.flush();
        }
    }

    static byte[] response(int status, String extraHeaders, byte[] body) {
        String head = "HTTP/1.1 " + status + " X\r\n" + extraHeaders + "Content-Length: " + body.length + "\r\n\r\n";
        byte[] start = head.getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = new byte[start.length + body.length];
        System.arraycopy(start, 0, all, 0, start.length);
        System.arraycopy(body, 0, all, start.length, body.length);
        return all;
    }

    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                return null;
            }
            if (b != '\r') {
                line.write(b);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    static Map<String, String> readHeaders(InputStream in) throws IOException {
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).trim().toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        return headers;
    }

    static byte[] readBody(InputStream in, Map<String, String> headers) throws IOException {
        if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                String size = readLine(in);
                if (size == null) {
                    throw new EOFException();
                }
                int length = Integer.parseInt(size.trim(), 16);
                body.write(in.readNBytes(length));
                readLine(in);
                if (length == 0) {
                    return body.toByteArray();
                }
            }
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new EOFException();
        }
        return body;
    }
}
