package org.baobabspindle.gateway;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A TCP link between one entry and one backend server: it accepts connections at a port of its own and forwards their
 * bytes in both directions until it is cut.
 */
final class CuttableLink implements AutoCloseable {
    /** The time after which a connection counts as hanging; on loopback one is accepted at once. */
    private static final int HANG_TIMEOUT_MILLIS = 100;

    /** The length of the accept queue; connections beyond it hang, since their SYN is dropped. */
    private static final int ACCEPT_QUEUE_SIZE = 1;

    /** How connections fail while the link is cut. */
    enum Cut {
        /** Existing connections stay open without passing a byte; new ones hang. */
        SILENT {
            @Override
            void apply(CuttableLink link) throws IOException {
                link.hangNewConnections();
                link.holdBytes();
            }
        },
        /** Existing connections are reset; new ones hang. */
        RESET {
            @Override
            void apply(CuttableLink link) throws IOException {
                link.hangNewConnections();
                link.resetConnections();
            }
        },
        /** Existing connections go on; new ones are refused. */
        REFUSE {
            @Override
            void apply(CuttableLink link) throws IOException {
                link.listener.close();
            }
        };

        abstract void apply(CuttableLink link) throws IOException;
    }

    private final int serverPort;

    /** Bound to the port of the link without listening, so that no other socket gets it while the link refuses. */
    private final Socket reservation = new Socket();

    private final List<Connection> connections = new CopyOnWriteArrayList<>();
    private final List<Socket> fillers = new ArrayList<>();
    private final AtomicLong bytesToServer = new AtomicLong();
    private volatile ServerSocket listener;
    private boolean accepting = true;

    /** Whether the thread that accepts connections has stopped to do so. */
    private boolean paused;

    private boolean holding;
    private boolean closed;

    CuttableLink(int serverPort) throws IOException {
        this.serverPort = serverPort;
        reservation.setReuseAddress(true);
        reservation.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        listen();
    }

    private void listen() throws IOException {
        ServerSocket s = new ServerSocket();
        s.setReuseAddress(true);
        s.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port()), ACCEPT_QUEUE_SIZE);
        listener = s;
        startThread(() -> accept(s));
    }

    private static void startThread(Runnable task) {
        Thread t = new Thread(task, "cuttable-link");
        t.setDaemon(true);
        t.start();
    }

    int port() {
        return reservation.getLocalPort();
    }

    /** Returns the number of bytes that the server has been sent. */
    long bytesToServer() {
        return bytesToServer.get();
    }

    /** Cuts the link until {@link #heal()}. */
    void cut(Cut cut) throws IOException {
        cut.apply(this);
    }

    /** Ends a cut: bytes that were held are passed on, as TCP retransmits them, and new connections succeed. */
    void heal() throws IOException {
        synchronized (this) {
            holding = false;
            accepting = true;
            notifyAll();
        }
        for (Socket s : fillers) {
            s.close();
        }
        fillers.clear();
        if (listener.isClosed()) {
            listen();
        }
    }

    private void accept(ServerSocket from) {
        try {
            while (true) {
                Socket s = from.accept();
                connections.add(new Connection(s));
                awaitAccepting();
            }
        } catch (IOException e) {
            // The listener was closed.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized void awaitAccepting() throws InterruptedException {
        while (!accepting && !closed) {
            paused = true;
            notifyAll();
            wait();
        }
        paused = false;
    }

    private synchronized void holdBytes() {
        holding = true;
    }

    /** Stops accepting and fills the accept queue, so that further connections get no response. */
    private void hangNewConnections() throws IOException {
        synchronized (this) {
            accepting = false;
        }
        // The thread that accepts stops after one more connection, which would leave a place in the queue.
        connectFiller();
        awaitPaused();
        while (connectFiller()) {
            // The queue has another place.
        }
    }

    /** Connects to the link without sending anything; returns false if the connection hangs. */
    private boolean connectFiller() throws IOException {
        Socket s = new Socket();
        try {
            s.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port()), HANG_TIMEOUT_MILLIS);
            fillers.add(s);
            return true;
        } catch (SocketTimeoutException e) {
            s.close();
            return false;
        }
    }

    private synchronized void awaitPaused() {
        boolean interrupted = false;
        while (!paused) {
            try {
                wait();
            } catch (InterruptedException e) {
                interrupted = true;
            }
        }
        if (interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private void resetConnections() {
        connections.forEach(Connection::reset);
        connections.clear();
    }

    private synchronized void awaitForwarding() throws InterruptedException {
        while (holding && !closed) {
            wait();
        }
    }

    /** A connection of the entry and the one to the server to which its bytes are forwarded. */
    private final class Connection {
        private final Socket entry;
        private final Socket server = new Socket();

        Connection(Socket entry) {
            this.entry = entry;
            startThread(this::serve);
        }

        private void serve() {
            try {
                awaitForwarding();
                server.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), serverPort));
                startThread(() -> forward(server, entry, new AtomicLong()));
                forward(entry, server, bytesToServer);
            } catch (IOException e) {
                closeBoth();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        private void forward(Socket from, Socket to, AtomicLong count) {
            byte[] buffer = new byte[8_192];
            try {
                InputStream in = from.getInputStream();
                OutputStream out = to.getOutputStream();
                while (true) {
                    int n = in.read(buffer);
                    awaitForwarding();
                    if (n < 0) {
                        break;
                    }
                    count.addAndGet(n);
                    out.write(buffer, 0, n);
                }
            } catch (IOException e) {
                // One of the ends was closed; the other one is closed below.
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            closeBoth();
        }

        private void closeBoth() {
            try {
                entry.close();
                server.close();
            } catch (IOException e) {
                // Nothing is left to close.
            }
        }

        void reset() {
            try {
                RawBackend.reset(entry);
                RawBackend.reset(server);
            } catch (IOException e) {
                // The connection has ended by itself.
            }
        }
    }

    @Override
    public void close() throws IOException {
        synchronized (this) {
            closed = true;
            notifyAll();
        }
        listener.close();
        reservation.close();
        for (Connection c : connections) {
            c.closeBoth();
        }
        for (Socket s : fillers) {
            s.close();
        }
    }
}
