package org.cowsliplatch.adapter;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.cowsliplatch.adapter.ScriptedServer.End;
import org.cowsliplatch.adapter.ScriptedServer.Script;
import org.cowsliplatch.adapter.ScriptedServer.Step;
import org.cowsliplatch.client.CallerClient;
import org.cowsliplatch.client.CallerException;
import org.cowsliplatch.errors.PlatformUnavailableException;
import org.cowsliplatch.errors.WriteOutcomeUnknownException;
import org.cowsliplatch.internal.http.CompleteResponses;
import org.cowsliplatch.internal.platform.HttpPlatform;
import org.cowsliplatch.internal.steer.EntryLookup;
import org.cowsliplatch.pgm.ExitCode;
import org.cowsliplatch.pgm.Main;
import org.cowsliplatch.platform.TableService;
import org.cowsliplatch.settings.Settings;
import org.eclipse.jetty.client.HttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards the clients of the platform, of callers and of operators against responses that are reset or malformed. */
final class BrokenReplyTest {
    private static final String HEAD = "HTTP/1.1 200 OK\r\n\r\n";
    private static final String CONTENT = "content";
    /** Time in ms in which a client reads what was sent, which a reset could discard otherwise. */
    private static final long READ_MS = 100;

    @TempDir
    private Path folder;

    private final ScriptedServer server;
    private volatile Script script = new Script(List.of(), End.NONE);

    BrokenReplyTest() throws IOException {
        server = new ScriptedServer(request -> script);
    }

    private void respond(String response, End end) {
        script = new Script(List.of(Step.of(response), Step.of(READ_MS, "")), end);
    }

    @AfterEach
    void stop() throws IOException {
        server.close();
    }

    private HttpPlatform platform() throws Exception {
        URI uri = URI.create("http://" + server.address());
        return HttpPlatform.start(new Settings.Platform(uri, uri, uri, uri, "cowsliplatch", Duration.ofSeconds(2)));
    }

    private InetSocketAddress serverAddress() {
        int port = Integer.parseInt(server.address().split(":", -1)[1]);
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }

    @Test
    void partOfAnObjectIsNotTheObject() throws Exception {
        respond(HEAD + CONTENT.substring(0, 4), End.RESET);
        try (HttpPlatform platform = platform()) {
            assertThrows(
                    PlatformUnavailableException.class,
                    () -> platform.services().objects().read("a"));
        }
    }

    @Test
    void objectThatEndsWithTheConnectionIsWhole() throws Exception {
        respond(HEAD + CONTENT, End.CLOSE);
        try (HttpPlatform platform = platform()) {
            assertThat(platform.services().objects().read("a").orElseThrow())
                    .isEqualTo(CONTENT.getBytes(StandardCharsets.US_ASCII));
        }
    }

    @Test
    void writeWhoseResponseIsCutIsNotConfirmed() throws Exception {
        respond(HEAD, End.RESET);
        List<TableService.Write> writes = List.of(new TableService.Write("a", 0, "b"));
        try (HttpPlatform platform = platform();
                RowStoreClient rows = RowStoreClient.start(serverAddress())) {
            assertThrows(
                    WriteOutcomeUnknownException.class,
                    () -> platform.services().tables().write(writes));
            assertThrows(
                    PlatformUnavailableException.class,
                    () -> platform.services().objects().write("a", new byte[9]));
            assertThrows(WriteOutcomeUnknownException.class, () -> rows.put("table", "key", new byte[9]));
        }
    }

    @Test
    void callerGetsNoPartOfAResponse() throws Exception {
        respond(HEAD + CONTENT.substring(0, 4), End.RESET);
        for (HttpClient http : List.of(new HttpClient(), CompleteResponses.createClient())) {
            checkCallerGetsNoResponse(http);
        }
    }

    private void checkCallerGetsNoResponse(HttpClient http) throws Exception {
        EntryLookup.Entry entry = new EntryLookup.Entry("entry-1", server.address(), "region", "zone", 1, "key");
        CallerClient.Call call = new CallerClient.Call("route", "POST", "a.example", "/", new byte[9], false);
        http.start();
        try (CallerClient caller = new CallerClient(http, List.of(), Duration.ofSeconds(2))) {
            CallerException failure = assertThrows(CallerException.class, () -> caller.exchange(call, entry, "key.1"));
            assertThat(failure.outcome()).isEqualTo(CallerClient.UNKNOWN);
        } finally {
            http.stop();
        }
    }

    @Test
    void operatorIsNotToldThatACommandWasDone() throws Exception {
        respond(HEAD, End.RESET);
        checkOperatorIsToldThatThereWasNoAnswer();
    }

    private void checkOperatorIsToldThatThereWasNoAnswer() throws Exception {
        Path token = Files.writeString(folder.resolve("token"), "token-token-token-token\n");
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        PrintStream stream = new PrintStream(out, true, StandardCharsets.UTF_8);
        List<String> arguments =
                List.of("drain", "--admin", "http://" + server.address(), "--token-file", token.toString());
        assertWithMessage("%s", out).that(Main.run(arguments, stream, stream)).isEqualTo(ExitCode.UNAVAILABLE);
    }

    @Test
    void malformedHeadIsNoResponse() throws Exception {
        List<String> heads = List.of(
                "HTTP/1.1 000 None\r\n",
                "HTTP/1.1 200 OK\r\nBad Name: v\r\n",
                "HTTP/1.1 200 OK\r\nBad\u0001Name: v\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n");
        for (String head : heads) {
            respond(head + "Content-Length: 2\r\n\r\n{}", End.CLOSE);
            try (RowStoreClient rows = RowStoreClient.start(serverAddress())) {
                assertThrows(WriteOutcomeUnknownException.class, () -> rows.put("table", "key", new byte[9]));
            }
            checkCallerGetsNoResponse(CompleteResponses.createClient());
            checkOperatorIsToldThatThereWasNoAnswer();
        }
    }
}
