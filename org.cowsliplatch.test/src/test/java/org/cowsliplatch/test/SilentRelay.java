package org.cowsliplatch.test;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * A TCP relay that can lose track of the connections it has, as a middlebox does: they stay open and go silent,
 * while new ones work.
 */
public final class SilentRelay implements AutoCloseable {
    private static final int BUFFER_BYTES = 8 * 1024;

    private final ServerSocket server;
    private final String target;
    private final List<AtomicBoolean> tracked = new CopyOnWriteArrayList<>();
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();

    /** Starts a relay to an address. */
    public SilentRelay(String target) throws IOException {
        this.target = target;
        this.server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        daemon(this::accept);
    }

    /** Returns the address to connect to. */
    public String address() {
        return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
    }

    /** Returns the number of connections so far. */
    public int connections() {
        return tracked.size();
    }

    /** Silences all connections there are. */
    public void loseTrack() {
        tracked.forEach(flag -> flag.set(false));
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }

    private void accept() {
        try {
            while (!server.isClosed()) {
                Socket in = server.accept();
                int colon = target.indexOf(':');
                Socket out = new Socket(target.substring(0, colon), Integer.parseInt(target.substring(colon + 1)));
                sockets.add(in);
                sockets.add(out);
                AtomicBoolean alive = new AtomicBoolean(true);
                tracked.add(alive);
                daemon(() -> pump(in, out, alive));
                daemon(() -> pump(out, in, alive));
            }
        } catch (IOException e) {
            // The relay was closed.
        }
    }

    private static void pump(Socket from, Socket to, AtomicBoolean alive) {
        byte[] buffer = new byte[BUFFER_BYTES];
        try (InputStream in = from.getInputStream();
                OutputStream out = to.getOutputStream()) {
            int read = in.read(buffer);
            while (read >= 0) {
                if (alive.get()) {
                    out.write(buffer, 0, read);
                    out.flush();
                }
                read = in.read(buffer);
            }
        } catch (IOException e) {
            // One side closed.
        }
    }

    private static void daemon(Runnable task) {
        Thread thread = new Thread(task, "relay");
        thread.setDaemon(true);
        thread.start();
    }
}
