package org.cowsliplatch.pgm;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Tells on which entry instances a table version is in force. */
final class InForce {
    private static final long POLL_MS = 200;
    private static final long LONGEST_WAIT_MS = 30_000;

    private final AdminSubcommand command;

    InForce(AdminSubcommand command) {
        this.command = command;
    }

    /** Waits until a version is in force everywhere. */
    ExitCode await(AdminClient client, long version) throws CommandException {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LONGEST_WAIT_MS);
        while (true) {
            List<JsonNode> instances = instances(client);
            List<String> behind = behind(instances, version);
            if (behind.isEmpty()) {
                command.print(CliText.IN_FORCE_EVERYWHERE, version, instances.size());
                return ExitCode.OK;
            }
            if (System.nanoTime() > deadline) {
                command.print(CliText.NOT_IN_FORCE, version, String.join(", ", behind));
                return ExitCode.UNKNOWN;
            }
            pause();
        }
    }

    /** Returns the state of the asked entry instance and of all peers it knows. */
    List<JsonNode> instances(AdminClient client) throws CommandException {
        AdminClient.Answer answer = client.get("status", Map.of());
        command.expectSuccess(answer);
        List<JsonNode> instances = new ArrayList<>();
        instances.add(answer.json().path("instance"));
        answer.json().path("peers").forEach(instances::add);
        return instances;
    }

    private static List<String> behind(List<JsonNode> instances, long version) {
        List<String> behind = new ArrayList<>();
        for (JsonNode instance : instances) {
            if (instance.path("tableVersion").asLong() < version) {
                behind.add(instance.path("name").asText());
            }
        }
        return behind;
    }

    private static void pause() throws CommandException {
        try {
            Thread.sleep(POLL_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new CommandException(ExitCode.UNKNOWN, "interrupted", e);
        }
    }
}
