package org.baobabspindle.standins;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;

/** Prints free TCP ports of the loopback address, one per line. */
public final class FreePorts {
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
        for (int i = 0; i < count; i++) {
            ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
            sockets.add(socket);
            ports.add(socket.getLocalPort());
        }
        for (ServerSocket socket : sockets) {
            socket.close();
        }
        return ports;
    }
}
