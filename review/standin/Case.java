package review;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

/** What all cases share: the record, the store, the result and the end of all processes. */
abstract class Case {
    static final int BROKEN = 1;
    static final int HELD = 0;
    static final int NOT_RUN = 2;
    /** Time after which a case that hangs is given up. */
    private static final long MAX_MS = 115_000;

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    Recorder recorder;
    Path root;

    /** Plays the case; returns whether the rule held. */
    abstract boolean play() throws Exception;

    /** Plays a case and ends the process with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. */
    static void main(Case played, String[] args) {
        int code = NOT_RUN;
        Threads.start("watchdog", () -> {
            Threads.sleepMs(MAX_MS);
            System.out.println("result: the case took too long");
            System.exit(NOT_RUN);
        });
        played.root = Path.of(args[0]);
        try (Recorder recorder = new Recorder(Path.of(args[1], "record.txt"))) {
            played.recorder = recorder;
            recorder.note("disruption: " + (played.trouble ? "on" : "off"));
            code = played.play() ? HELD : BROKEN;
            recorder.note(code == HELD ? "result: the rule held" : "result: the rule was broken");
        } catch (Exception e) {
            System.out.println("result: the case could not run: " + e);
            e.printStackTrace(System.out);
        }
        System.out.flush();
        Runtime.getRuntime().halt(code);
    }

    /** Returns a configuration with one service for each route, in the format of the operator. */
    static String configuration(int version, List<String> routes, List<String> services) {
        return Wire.format("row.configuration", version, String.join(",", routes), String.join(",", services));
    }

    static String route(
            String name, String prefix, String kind, double timeoutS, double targetS, String service, boolean sticky) {
        return Wire.format("row.route", name, prefix, kind, timeoutS, targetS, service, sticky);
    }

    static String service(String name, double coldS, double coldPerS) {
        return Wire.format("row.service", name, coldS, coldPerS);
    }

    void list(StoreStandIn store, EndpointStandIn endpoint, String state, double coldRemainingS) {
        long version = store.put("servers", endpoint.id, endpoint.row(state, coldRemainingS));
        recorder.line("store", endpoint.id, "-", state + ", cold for " + coldRemainingS + " s, version " + version);
    }

    static double seconds(long nanos) {
        return nanos / 1e9;
    }

    static void closeAll(List<? extends AutoCloseable> all) throws IOException {
        for (AutoCloseable one : all) {
            try {
                one.close();
            } catch (Exception e) {
                throw new IOException(e);
            }
        }
    }
}
