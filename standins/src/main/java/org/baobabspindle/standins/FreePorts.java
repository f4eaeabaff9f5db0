package org.baobabspindle.standins;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Prints free TCP ports of the loopback address, one per line. They are below the usual range of ephemeral ports, so that
 * no outgoing connection takes one before its use.
 */
public final class FreePorts {
    private static final int FIRST_PORT = 16_384;
    private static final int PORT_LIMIT = 32_768;

    private FreePorts() {}

    /**
     * Prints free ports.
     *
     * @param args the number of ports
     * @throws IOException if a port cannot be opened
     */
    public static void main(String[] args) throws IOException {
        for (int port : findFree(Integer.parseInt(args[0]))) {
            System.out.println(port);
        }
    }

    /**
     * Returns ports that are free at the time of the call. All are opened before the first is closed, so they differ.
     *
     * @param count the number of ports
     * @return the ports, without duplicates
     * @throws IOException if a port cannot be opened
     */
    public static List<Integer> findFree(int count) throws IOException {
        List<ServerSocket> sockets = new ArrayList<>();
        List<Integer> ports = new ArrayList<>();
        while (ports.size() < count) {
            int port = ThreadLocalRandom.current().nextInt(FIRST_PORT, PORT_LIMIT);
            try {
                sockets.add(new ServerSocket(port, 1, InetAddress.getLoopbackAddress()));
                ports.add(port);
            } catch (BindException e) {
                // Another process listens on this port; another one is tried.
            }
        }
        for (ServerSocket socket : sockets) {
            socket.close();
        }
        return ports;
    }
}
