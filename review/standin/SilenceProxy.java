package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A proxy that can let its open channels go silent for good, while new ones work. */
final class SilenceProxy implements AutoCloseable {
    /** One channel through the proxy. */
    private static final class Link {
        final Socket from;
        final Socket to;
        volatile boolean silent;

        Link(Socket from, Socket to) {
            this.from = from;
            this.to = to;
        }
    }

    private final ServerSocket listener;
    private final int target;
    private final Set<Link> links = ConcurrentHashMap.newKeySet();

    SilenceProxy(int target) throws IOException {
        this.target = target;
        listener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        Threads.start("proxy-accept", this::accept);
    }

    int port() {
        return listener.getLocalPort();
    }

    /** Lets all open channels go silent, in both directions and without a reset; returns how many there are. */
    int silence() {
        int count = 0;
        for (Link link : links) {
            link.silent = true;
            count++;
        }
        return count;
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Link link : links) {
            link.from.close();
            link.to.close();
        }
    }

    private void accept() {
        try {
            while (true) {
                Socket from = listener.accept();
                Socket to = new Socket();
                to.connect(new InetSocketAddress("127.0.0.1", target), 1_000);
                from.setTcpNoDelay(true);
                to.setTcpNoDelay(true);
                Link link = new Link(from, to);
                links.add(link);
                Threads.start("proxy", () -> copy(link, from, to));
                Threads.start("proxy", () -> copy(link, to, from));
            }
        } catch (IOException e) {
            // The listener was closed.
        }
    }

    /** Copies until the end of the stream; what arrives on a silent channel, its end included, is dropped. */
    private void copy(Link link, Socket source, Socket sink) {
        byte[] buffer = new byte[16 * 1024];
        try {
            InputStream in = source.getInputStream();
            OutputStream out = sink.getOutputStream();
            int count = in.read(buffer);
            while (count >= 0) {
                if (!link.silent) {
                    out.write(buffer, 0, count);
                }
                count = in.read(buffer);
            }
            if (!link.silent) {
                links.remove(link);
                sink.close();
                source.close();
            }
        } catch (IOException e) {
            // One of the two sides was closed.
            closeQuietly(link);
        }
    }

    private void closeQuietly(Link link) {
        if (link.silent) {
            return;
        }
        links.remove(link);
        try {
            link.from.close();
            link.to.close();
        } catch (IOException e) {
            // Both sides are closed then.
        }
    }
}
