package org.cowsliplatch.standin;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Runs the platform's services and some backend servers, for trying entry instances as processes of their own.
 *
 * <p>Arguments: a port, then any number of {@code service,region,zone,count}.
 */
public final class StandInMain {
    private static final int PARTS = 4;

    private StandInMain() {}

    /** Runs until the process is ended. */
    public static void main(String[] args) throws IOException, InterruptedException {
        if (args.length < 2) {
            System.err.println("usage: StandInMain PORT SERVICE,REGION,ZONE,COUNT …");
            System.exit(2);
        }
        MemoryPlatform memory = MemoryPlatform.create();
        List<BackendServer> backends = new ArrayList<>();
        try (PlatformServer server = new PlatformServer(memory, Integer.parseInt(args[0]))) {
            for (String spec : List.of(args).subList(1, args.length)) {
                String[] parts = spec.split(",", -1);
                if (parts.length != PARTS) {
                    throw new IOException("'" + spec + "' is not of the form SERVICE,REGION,ZONE,COUNT");
                }
                start(parts, backends, memory);
            }
            System.out.println("platform at " + server.uri() + ", " + backends.size() + " backend servers");
            Thread.currentThread().join();
        }
    }

    private static void start(String[] parts, List<BackendServer> backends, MemoryPlatform memory) throws IOException {
        for (int i = 1; i <= Integer.parseInt(parts[3]); i++) {
            String id = parts[0] + "-" + parts[2] + "-" + i;
            BackendServer backend = new BackendServer(parts[0], id, parts[1], parts[2]);
            backends.add(backend);
            memory.instances().put(backend.instance());
        }
    }
}
