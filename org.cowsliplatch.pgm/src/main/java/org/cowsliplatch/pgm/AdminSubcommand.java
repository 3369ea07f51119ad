package org.cowsliplatch.pgm;

import java.io.IOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import org.kohsuke.args4j.Option;

/** Base of the subcommands that ask the administration API. */
abstract class AdminSubcommand extends Subcommand {
    @Option(name = "--admin", metaVar = "URI", usage = "address of the administration API of any entry instance")
    private String admin = "http://127.0.0.1:8082";

    @Option(name = "--token-file", metaVar = "FILE", usage = "file that holds the bearer token")
    private String tokenFile = "admin.token";

    @Option(name = "--json", usage = "print JSON for scripts")
    private boolean json;

    final boolean isJson() {
        return json;
    }

    final AdminClient client() throws CommandException {
        return client(admin);
    }

    final AdminClient client(String address) throws CommandException {
        Path path = Path.of(tokenFile);
        try {
            return new AdminClient(URI.create(address), Files.readString(path).trim());
        } catch (IOException e) {
            String message = String.format(java.util.Locale.ROOT, CliText.TOKEN_UNREADABLE, path);
            throw new CommandException(ExitCode.USAGE, message, e);
        } catch (IllegalArgumentException e) {
            throw new CommandException(ExitCode.USAGE, "--admin " + address + " is no address", e);
        }
    }

    /** Returns the scheme of the administration API, which all entry instances share. */
    final String scheme() {
        return admin.startsWith("https:") ? "https://" : "http://";
    }

    /** Ends the command if an answer is no success. */
    final void expectSuccess(AdminClient.Answer answer) throws CommandException {
        if (answer.status() < 300) {
            return;
        }
        ExitCode exitCode =
                switch (answer.status()) {
                    case 503 -> ExitCode.UNAVAILABLE;
                    case 504 -> ExitCode.UNKNOWN;
                    case 409 -> ExitCode.CONFLICT;
                    case 401 -> ExitCode.USAGE;
                    default -> ExitCode.INVALID;
                };
        StringBuilder message = new StringBuilder(answer.detail());
        answer.json().path("problems").forEach(problem -> message.append('\n')
                .append(problem.path("table").asText())
                .append(" row ")
                .append(problem.path("line").asInt())
                .append(" (")
                .append(problem.path("row").asText())
                .append("), column ")
                .append(problem.path("column").asText())
                .append(": ")
                .append(problem.path("what").asText())
                .append("; ")
                .append(problem.path("remedy").asText()));
        throw new CommandException(exitCode, message.toString(), null);
    }
}
