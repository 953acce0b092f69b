package org.bankturn.daemon.gateway;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import org.bankturn.daemon.http.PlainHealthDialect;

/** A target on loopback that answers each request with a script given by the test. */
public final class ScriptedTarget implements AutoCloseable {
    private final ServerSocket server;
    private final Script script;
    private final List<Socket> open = new CopyOnWriteArrayList<>();
    private volatile boolean portClosesLate;
    private volatile boolean hangs;
    private volatile boolean closesOutputOnly;
    private volatile boolean crashed;
    private volatile CheckScript checkScript;
    public final List<String> heads = new CopyOnWriteArrayList<>();
    public final List<String> bodies = new CopyOnWriteArrayList<>();

    /** The names that health requests expected of the target. */
    final List<String> checks = new CopyOnWriteArrayList<>();

    /** Answers one request on its connection. */
    @FunctionalInterface
    public interface Script {
        /** Writes a response; returns false to close the connection. */
        boolean answer(int number, String id, Socket socket) throws IOException;
    }

    /** Answers a health request on its connection. */
    @FunctionalInterface
    public interface CheckScript {
        /** Writes an answer; returns false to close the connection. */
        boolean answer(String expectedName, Socket socket) throws IOException;
    }

    public ScriptedTarget(Script script) throws IOException {
        this(script, 0, ScriptedTarget::nameExpected);
    }

    private ScriptedTarget(Script script, int port, CheckScript checkScript) throws IOException {
        this.script = script;
        this.checkScript = checkScript;
        this.server = new ServerSocket(port, 50, InetAddress.getLoopbackAddress());
        Thread acceptor = new Thread(this::accept, "scripted-target");
        acceptor.setDaemon(true);
        acceptor.start();
    }

    /** Simulates a process crash after which another target listens on the address before any connection has ended. */
    ScriptedTarget crashAndSucceed(String successorName, Script successorScript) throws IOException {
        crashed = true;
        server.close();
        ScriptedTarget successor = successor(successorName, successorScript);
        closeConnections();
        return successor;
    }

    /** Starts another target at the address of this one, which has crashed. */
    ScriptedTarget successor(String name, Script successorScript) throws IOException {
        while (true) {
            try {
                return new ScriptedTarget(successorScript, server.getLocalPort(), (expected, socket) -> {
                    write(socket, answerOf(name));
                    return true;
                });
            } catch (BindException e) {
                // an accept in progress keeps the address for a moment
                Thread.onSpinWait();
            }
        }
    }

    /** Answers health requests with a script; without one, the target names itself as is expected of it. */
    ScriptedTarget onCheck(CheckScript script) {
        checkScript = script;
        return this;
    }

    private static boolean nameExpected(String expectedName, Socket socket) throws IOException {
        write(socket, answerOf(expectedName));
        return true;
    }

    /** Returns the answer to a health request of the target with a name. */
    static String answerOf(String name) {
        return "HTTP/1.1 200 OK\r\n" + PlainHealthDialect.NAME + ": " + name + "\r\nContent-Length: 0\r\n\r\n";
    }

    public String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** Simulates a process crash: closes all connections and refuses new ones. */
    public void crash() throws IOException {
        crashed = true;
        server.close();
        closeConnections();
    }

    /** Simulates a process crash that its open connections do not tell of: they carry nothing any more. */
    public void crashSilently() throws IOException {
        crashed = true;
        server.close();
        awaitForever();
    }

    /** Waits until the other side closes the connection. */
    public static void awaitClose(Socket socket) throws IOException {
        while (socket.getInputStream().read() >= 0) {
            // a further request on the connection is not expected
        }
    }

    private static void awaitForever() {
        try {
            new CountDownLatch(1).await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Simulates a process crash that closes its port only after one more connection. */
    public void crashWithLatePort() throws IOException {
        portClosesLate = true;
        closeConnections();
    }

    /** Ends connections by closing their output, and goes on reading. */
    void closeOutputOnly() {
        closesOutputOnly = true;
    }

    /** Simulates a process that closes its connections and hangs: its port accepts connections, and nothing answers. */
    void hang() throws IOException {
        hangs = true;
        closeConnections();
    }

    private void closeConnections() throws IOException {
        for (Socket socket : open) {
            socket.close();
        }
    }

    public static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }

    static void reset(Socket socket) throws SocketException {
        socket.setSoLinger(true, 0);
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                open.add(socket);
                // closing the server does not stop an accept that is in progress
                if (crashed) {
                    socket.close();
                    return;
                }
                if (portClosesLate) {
                    crash();
                    return;
                }
                if (hangs) {
                    continue;
                }
                Thread thread = new Thread(() -> serve(socket), "scripted-connection");
                thread.setDaemon(true);
                thread.start();
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream input = new BufferedInputStream(socket.getInputStream());
            while (true) {
                String head = readHead(input);
                if (head == null) {
                    return;
                }
                String expectedName = field(head, PlainHealthDialect.EXPECTED);
                if (!expectedName.isEmpty()) {
                    checks.add(expectedName);
                    if (checkScript.answer(expectedName, socket)) {
                        continue;
                    }
                    return;
                }
                String body = new String(input.readNBytes(length(head)), StandardCharsets.ISO_8859_1);
                int number;
                synchronized (heads) {
                    heads.add(head);
                    bodies.add(body);
                    number = heads.size();
                }
                if (!script.answer(number, field(head, "id"), socket)) {
                    if (!closesOutputOnly) {
                        return;
                    }
                    socket.shutdownOutput();
                }
            }
        } catch (IOException e) {
            // connection closed; tests observe this from the client side
        }
    }

    static String readHead(InputStream input) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        while (!head.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
            int next = input.read();
            if (next < 0) {
                return null;
            }
            head.write(next);
        }
        return head.toString(StandardCharsets.ISO_8859_1);
    }

    public static String field(String head, String name) {
        for (String line : head.split("\r\n", -1)) {
            if (line.toLowerCase(Locale.ROOT).startsWith(name.toLowerCase(Locale.ROOT) + ":")) {
                return line.substring(line.indexOf(':') + 1).trim();
            }
        }
        return "";
    }

    private static int length(String head) {
        String length = field(head, "content-length");
        return length.isEmpty() ? 0 : Integer.parseInt(length);
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
