package org.baobabspindle.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.net.InetAddress;
import java.net.Socket;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests that the check of a caller's connection takes no bytes from a request that follows on it. */
@Timeout(30)
class PeekingEndPointTests {
    private static final byte[] REQUEST = "GET / HTTP/1.1\r\nHost: a\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1);

    private final BlockingQueue<PeekingEndPoint> endPoints = new ArrayBlockingQueue<>(1);
    private final BlockingQueue<Callback> handled = new ArrayBlockingQueue<>(2);
    private final Server server = new Server();
    private volatile ManagedSelector selector;
    private ServerConnector connector;

    @BeforeEach
    void start() throws Exception {
        connector = new ServerConnector(server, 0, 1) {
            @Override
            protected SocketChannelEndPoint newEndPoint(
                    SocketChannel channel, ManagedSelector managed, SelectionKey key) {
                selector = managed;
                PeekingEndPoint endPoint = new PeekingEndPoint(channel, managed, key, getScheduler(), getExecutor());
                endPoints.add(endPoint);
                return endPoint;
            }
        };
        connector.setHost("127.0.0.1");
        server.addConnector(connector);
        server.setHandler(new Handler.Abstract.NonBlocking() {
            @Override
            public boolean handle(Request request, Response response, Callback callback) {
                handled.add(callback);
                return true;
            }
        });
        server.start();
    }

    @AfterEach
    void stop() throws Exception {
        server.stop();
    }

    private Callback takeHandled() throws InterruptedException {
        Callback callback = handled.poll(10, TimeUnit.SECONDS);
        assertThat(callback).isNotNull();
        return callback;
    }

    /** Stops the selector from reporting that a connection is readable until the latch is released. */
    private void holdSelector(CountDownLatch release) throws InterruptedException {
        CountDownLatch held = new CountDownLatch(1);
        selector.submit(ignored -> {
            held.countDown();
            awaitUninterrupted(release);
        });
        held.await();
    }

    private static void awaitUninterrupted(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Test
    void nextRequestIsNotSwallowedByACheckAfterTheResponse() throws Exception {
        try (Socket caller = new Socket(InetAddress.getLoopbackAddress(), connector.getLocalPort())) {
            caller.getOutputStream().write(REQUEST);
            takeHandled().succeeded();
            PeekingEndPoint endPoint = endPoints.take();
            GatewayTestSupport.await(endPoint::isFillInterested);
            CountDownLatch release = new CountDownLatch(1);
            holdSelector(release);
            caller.getOutputStream().write(REQUEST);
            assertThat(endPoint.closedByCaller()).isFalse();
            release.countDown();
            takeHandled().succeeded();
        }
    }

    @Test
    void requestReadDuringTheRequestBeforeItIsHandled() throws Exception {
        try (Socket caller = new Socket(InetAddress.getLoopbackAddress(), connector.getLocalPort())) {
            caller.getOutputStream().write(REQUEST);
            Callback first = takeHandled();
            PeekingEndPoint endPoint = endPoints.take();
            caller.getOutputStream().write(REQUEST);
            assertThat(endPoint.closedByCaller()).isFalse();
            first.succeeded();
            takeHandled().succeeded();
        }
    }

    @Test
    void closeDuringARequestIsDetected() throws Exception {
        PeekingEndPoint endPoint;
        try (Socket caller = new Socket(InetAddress.getLoopbackAddress(), connector.getLocalPort())) {
            caller.getOutputStream().write(REQUEST);
            takeHandled();
            endPoint = endPoints.take();
        }
        GatewayTestSupport.await(endPoint::closedByCaller);
    }
}
