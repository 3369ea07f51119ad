package org.cowsliplatch.test;

import static com.google.common.truth.Truth.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.cowsliplatch.pgm.ExitCode;
import org.cowsliplatch.pgm.Main;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** One request's way, from the logs of two entry instances. */
final class ExplainTest {
    @TempDir
    private Path folder = Path.of("");

    private String out = "";

    private ExitCode explain(String... words) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        PrintStream stream = new PrintStream(bytes, true, StandardCharsets.UTF_8);
        ExitCode exitCode = Main.run(List.of(words), stream, stream);
        out = bytes.toString(StandardCharsets.UTF_8);
        return exitCode;
    }

    private String log(String name, String... lines) throws IOException {
        return Files.write(folder.resolve(name), List.of(lines)).toString();
    }

    private static String line(String second, String instance, String rest) {
        return "{\"time\":\"2026-01-22T21:02:" + second + "Z\",\"instance\":\"" + instance + "\"," + rest + "}";
    }

    private static final String REFUSED = "\"event\":\"request\",\"request\":\"a1\",\"route\":\"r\",\"pool\":\"p\","
            + "\"rank\":\"urgent\",\"object\":\"2c\",\"version\":93,\"outcome\":\"not-run\",\"status\":503,\"ms\":205,"
            + "\"callerMs\":1901,\"sinceFirstMs\":712,"
            + "\"steps\":[{\"refused\":\"TOO_LATE\",\"region\":\"south\",\"waitMs\":201}],\"reason\":\"no slot\"";
    private static final String GONE = "\"event\":\"request\",\"request\":\"b2\",\"route\":\"r\",\"pool\":\"p\","
            + "\"rank\":\"lookup\",\"object\":\"\",\"version\":93,\"outcome\":\"not-run\",\"status\":503,\"ms\":6,"
            + "\"callerMs\":3800,\"sinceFirstMs\":0,\"steps\":[{\"endpoint\":\"i-7~176\",\"address\":\"10.3.64.40:81\","
            + "\"region\":\"north\",\"waitMs\":0,\"failed\":\"WRONG_ENDPOINT\",\"reason\":\"answered 421\"}]";

    @Test
    void refusalOfACallerThatCameBackIsTold() throws Exception {
        String one = log("one.log", line("10.000", "e1", REFUSED));
        String two = log("two.log", line("09.000", "e2", "\"event\":\"store-lost\",\"table\":\"t\""));

        assertThat(explain("explain", "a1", one, two)).isEqualTo(ExitCode.OK);
        assertThat(out).contains("first tried about 712 ms before");
        assertThat(out).contains("1. no slot in south after 201 ms: TOO_LATE");
        assertThat(out).contains("status 503, not-run, after 205 ms of the 1901 ms");
        // What another instance believed does not bear on it.
        assertThat(out).doesNotContain("store-lost");
    }

    private static final String ANSWERED = "\"event\":\"request\",\"request\":\"c3\",\"route\":\"r\",\"pool\":\"p\","
            + "\"rank\":\"lookup\",\"object\":\"\",\"version\":93,\"outcome\":\"answered\",\"status\":200,\"ms\":6,"
            + "\"callerMs\":3800,\"sinceFirstMs\":0,\"steps\":[{\"endpoint\":\"i-7~176\",\"address\":\"10.3.64.40:81\","
            + "\"region\":\"north\",\"waitMs\":0,\"response\":{\"status\":200,\"framing\":\"connection-end\","
            + "\"headBytes\":120,\"bodyBytes\":900,\"connectionBytes\":1020,\"serverEnd\":\"closed\"}}],"
            + "\"framing\":\"chunks\",\"bytes\":900,\"callerEnd\":\"complete\"";

    @Test
    void framingAndEndOfTheResponseAreTold() throws Exception {
        assertThat(explain("explain", "c3", log("one.log", line("10.000", "e1", ANSWERED))))
                .isEqualTo(ExitCode.OK);
        assertThat(out)
                .contains("response 200 with a body of 900 bytes, framing connection-end, after a head of 120, "
                        + "of 1020 bytes read; server's end: closed");
        assertThat(out).contains("the caller got 900 bytes of a body, framing chunks, end: complete");
    }

    @Test
    void whatWasBelievedOfTheEndpointIsTold() throws Exception {
        String log = log(
                "one.log",
                "  9.1 e1 " + line("08.000", "e1", "\"event\":\"endpoint-listed\",\"endpoint\":\"i-7\",\"sequence\":3"),
                line("08.500", "e1", "\"event\":\"endpoint-listed\",\"endpoint\":\"i-8\",\"sequence\":1"),
                line("09.000", "e1", "\"event\":\"configuration-in-force\",\"version\":93"),
                line("10.000", "e1", GONE),
                line("11.000", "e1", "\"event\":\"endpoint-gone\",\"endpoint\":\"i-7\""));

        assertThat(explain("explain", "b2", log)).isEqualTo(ExitCode.OK);
        assertThat(out).contains("WRONG_ENDPOINT: answered 421");
        assertThat(out).contains("endpoint-listed endpoint=i-7 sequence=3");
        assertThat(out).contains("configuration-in-force version=93");
        assertThat(out).doesNotContain("i-8");
        assertThat(out).doesNotContain("endpoint-gone");
    }

    @Test
    void damagedLinesAreCountedAndPassedOver() throws Exception {
        String log = log("one.log", "{\"time\":", "no JSON", line("10.000", "e1", REFUSED), "{}");

        assertThat(explain("explain", "--json", "a1", log)).isEqualTo(ExitCode.OK);
        assertThat(out).contains("\"unreadableLines\" : 3");
    }

    @Test
    void unknownRequestAndMissingFileAreTold() throws Exception {
        String log = log("one.log", line("10.000", "e1", REFUSED));

        assertThat(explain("explain", "zz", log)).isEqualTo(ExitCode.INVALID);
        assertThat(out).contains("no line tells of request 'zz'");
        assertThat(explain("explain", "a1", folder.resolve("none.log").toString()))
                .isEqualTo(ExitCode.INVALID);
        assertThat(out).contains("none.log' can't be read");
        assertThat(explain("explain", "a1")).isEqualTo(ExitCode.USAGE);
    }
}
