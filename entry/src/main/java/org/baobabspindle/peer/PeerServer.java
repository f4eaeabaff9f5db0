package org.baobabspindle.peer;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Function;

/** Accepts connections of other entries and answers their questions on a pool of workers. */
public final class PeerServer implements AutoCloseable {
    private static final Logger LOGGER = System.getLogger(PeerServer.class.getName());
    private static final int MAX_PROOF_BYTES = 4 * 1024;
    private static final int PROOF_TIMEOUT_MILLIS = 2_000;

    private final ServerSocket listener;
    private final PeerSecret secret;
    private final ExecutorService workers;
    private final Function<PeerMessage, PeerMessage> answers;
    private final PeerTraffic traffic;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();

    private PeerServer(
            ServerSocket listener,
            PeerSecret secret,
            ExecutorService workers,
            Function<PeerMessage, PeerMessage> answers,
            PeerTraffic traffic) {
        this.listener = listener;
        this.secret = secret;
        this.workers = workers;
        this.answers = answers;
        this.traffic = traffic;
    }

    /**
     * Starts to listen.
     *
     * @param host the IP number
     * @param port the TCP port; 0 takes a free one
     * @param secret the shared secret
     * @param workers the pool that answers questions
     * @param answers the answer to each question
     * @param traffic counts what is sent
     * @return the running server
     * @throws IOException if it cannot listen
     */
    public static PeerServer start(
            String host,
            int port,
            PeerSecret secret,
            ExecutorService workers,
            Function<PeerMessage, PeerMessage> answers,
            PeerTraffic traffic)
            throws IOException {
        ServerSocket listener = new ServerSocket(port, 512, InetAddress.getByName(host));
        PeerServer server = new PeerServer(listener, secret, workers, answers, traffic);
        Thread accepting = new Thread(server::accept, "peer-accept");
        accepting.setDaemon(true);
        accepting.start();
        return server;
    }

    /**
     * Returns the port.
     *
     * @return the TCP port
     */
    public int port() {
        return listener.getLocalPort();
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                open.add(socket);
                Thread t = new Thread(() -> serve(socket), "peer-" + socket.getRemoteSocketAddress());
                t.setDaemon(true);
                t.start();
            } catch (IOException e) {
                if (!listener.isClosed()) {
                    LOGGER.log(Level.WARNING, "accepting a peer failed: {0}", e.getMessage());
                }
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            DataInputStream in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
            DataOutputStream out = new DataOutputStream(new BufferedOutputStream(socket.getOutputStream()));
            if (!authenticate(socket, in, out)) {
                LOGGER.log(Level.WARNING, "peer {0} failed to prove itself", socket.getRemoteSocketAddress());
                return;
            }
            while (true) {
                PeerFrame ask = FrameCodec.read(in, FrameCodec.MAX_FRAME_BYTES);
                workers.execute(() -> answer(ask, out, socket));
            }
        } catch (EOFException | SocketException | RejectedExecutionException e) {
            LOGGER.log(Level.DEBUG, "peer connection ended: {0}", e.getMessage());
        } catch (IOException e) {
            LOGGER.log(Level.WARNING, "peer {0}: {1}", socket.getRemoteSocketAddress(), e.getMessage());
        } finally {
            open.remove(socket);
        }
    }

    private boolean authenticate(Socket socket, DataInputStream in, DataOutputStream out) throws IOException {
        String nonce = PeerSecret.nonce();
        FrameCodec.write(out, new PeerFrame(0, false, new PeerMessage.Challenge(nonce)));
        socket.setSoTimeout(PROOF_TIMEOUT_MILLIS);
        PeerFrame first = FrameCodec.read(in, MAX_PROOF_BYTES);
        socket.setSoTimeout(0);
        return first.message() instanceof PeerMessage.Proof proof && secret.verify(nonce, proof);
    }

    private void answer(PeerFrame ask, DataOutputStream out, Socket socket) {
        PeerMessage message;
        try {
            message = answers.apply(ask.message());
        } catch (RuntimeException e) {
            LOGGER.log(Level.ERROR, "a peer's question failed", e);
            message = new PeerMessage.Failed(String.valueOf(e.getMessage()));
        }
        try {
            int sent;
            synchronized (out) {
                sent = FrameCodec.write(out, new PeerFrame(ask.id(), true, message));
            }
            traffic.sent(message, sent);
        } catch (IOException e) {
            closeQuietly(socket);
        }
    }

    private static void closeQuietly(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            LOGGER.log(Level.DEBUG, "closing a peer connection failed: {0}", e.getMessage());
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
        open.forEach(PeerServer::closeQuietly);
    }
}
