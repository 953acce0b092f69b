package org.bankturn.harness;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;

/** Free ports on loopback, all different. */
final class Ports {
    private final Iterator<Integer> free;

    private Ports(List<Integer> free) {
        this.free = free.iterator();
    }

    static Ports find(int count) throws IOException {
        List<ServerSocket> held = new ArrayList<>();
        List<Integer> ports = new ArrayList<>();
        try {
            for (int number = 0; number < count; number++) {
                ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                held.add(socket);
                ports.add(socket.getLocalPort());
            }
        } finally {
            for (ServerSocket socket : held) {
                socket.close();
            }
        }
        return new Ports(ports);
    }

    int next() {
        return free.next();
    }

    String nextAddress() {
        return "127.0.0.1:" + next();
    }
}
