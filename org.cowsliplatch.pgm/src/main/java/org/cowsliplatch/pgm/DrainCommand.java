package org.cowsliplatch.pgm;

import java.util.Map;

/** Begins the planned stop of an entry instance. */
final class DrainCommand extends AdminSubcommand {
    @Override
    String name() {
        return "drain";
    }

    @Override
    String summary() {
        return "Begins a planned stop of the entry instance at --admin; it cuts no request.";
    }

    @Override
    ExitCode run() throws CommandException {
        try (AdminClient client = client()) {
            AdminClient.Answer answer = client.post("drain", Map.of());
            expectSuccess(answer);
            if (isJson()) {
                printJson(answer.json());
            } else {
                print(CliText.LEAVING);
            }
            return ExitCode.OK;
        }
    }
}
