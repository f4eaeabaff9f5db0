package org.baobabspindle.standins;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;

/** Prints free TCP ports of the loopback address, one a line. */
public final class FreePorts {
    private FreePorts() {}

    /**
     * Prints ports.
     *
     * @param args how many
     * @throws IOException if no port can be taken
     */
    public static void main(String[] args) throws IOException {
        for (int port : take(Integer.parseInt(args[0]))) {
            System.out.println(port);
        }
    }

    /**
     * Finds ports that are free now.
     *
     * @param count how many
     * @return the ports, all different
     * @throws IOException if no port can be taken
     */
    public static List<Integer> take(int count) throws IOException {
        List<ServerSocket> held = new ArrayList<>();
        List<Integer> ports = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            ServerSocket s = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
            held.add(s);
            ports.add(s.getLocalPort());
        }
        for (ServerSocket s : held) {
            s.close();
        }
        return ports;
    }
}
