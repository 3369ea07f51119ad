package org.cowsliplatch.test;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.cowsliplatch.pgm.ExitCode;
import org.cowsliplatch.pgm.Main;
import org.junit.jupiter.api.Test;

/** Runs the demo, which checks the whole path over sockets. */
final class DemoTest {
    @Test
    void wholePath() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        PrintStream stream = new PrintStream(out, true, StandardCharsets.UTF_8);

        ExitCode exitCode = Main.run(List.of("demo"), stream, stream);

        String text = out.toString(StandardCharsets.UTF_8);
        assertWithMessage(text).that(exitCode).isEqualTo(ExitCode.OK);
        assertThat(text).contains("a booking sent twice with one key ran 1 time");
    }
}
