package org.cowsliplatch.pgm;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import org.cowsliplatch.client.CallerClient;
import org.cowsliplatch.client.CallerException;
import org.cowsliplatch.internal.http.CompleteResponses;
import org.cowsliplatch.internal.steer.EntryLookup;
import org.cowsliplatch.internal.util.Addresses;
import org.eclipse.jetty.client.HttpClient;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Asks which entry instances a caller should use. */
final class LookupCommand extends Subcommand {
    private static final Duration TIMEOUT = Duration.ofSeconds(5);

    @Argument(metaVar = "ROUTE", required = true, usage = "name of a route")
    private String route = "";

    @Option(name = "--entry", metaVar = "ADDRESS", usage = "caller address of any entry instance")
    private String entry = "127.0.0.1:8080";

    @Option(name = "--json", usage = "print JSON for scripts")
    private boolean json;

    @Override
    String name() {
        return "lookup";
    }

    @Override
    String summary() {
        return "Asks which entry instances a caller should use for a route.";
    }

    @Override
    ExitCode run() throws CommandException {
        InetSocketAddress address = Addresses.parse(entry)
                .orElseThrow(() ->
                        new CommandException(ExitCode.USAGE, "--entry " + entry + " is no IP number and port", null));
        HttpClient http = CompleteResponses.createClient();
        try (CallerClient client = new CallerClient(http, List.of(address), TIMEOUT)) {
            http.start();
            EntryLookup.Answer answer = client.lookUp(route);
            show(answer);
            return ExitCode.OK;
        } catch (CallerException e) {
            throw new CommandException(ExitCode.UNAVAILABLE, e.text(), e);
        } catch (Exception e) {
            throw new CommandException(ExitCode.UNAVAILABLE, "the HTTP client can't start", e);
        } finally {
            org.eclipse.jetty.util.component.LifeCycle.stop(http);
        }
    }

    private void show(EntryLookup.Answer answer) {
        if (json) {
            printJson(answer);
            return;
        }
        print("route %s, table version %d, good for %d ms", answer.route(), answer.tableVersion(), answer.ttlMs());
        for (EntryLookup.Entry found : answer.entries()) {
            print("  weight %5d  %-22s %s in %s", found.weight(), found.address(), found.name(), found.zone());
        }
    }
}
