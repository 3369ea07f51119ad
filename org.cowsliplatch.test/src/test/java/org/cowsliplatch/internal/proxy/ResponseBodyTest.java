package org.cowsliplatch.internal.proxy;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.cowsliplatch.internal.http.BodyFraming;
import org.cowsliplatch.internal.http.ConnectionEnd;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.io.content.ByteBufferContentSource;
import org.junit.jupiter.api.Test;

/** Evidence that a backend server's body is complete. */
final class ResponseBodyTest {
    private static final String HEAD = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n";

    private static Content.Source source(List<String> pieces) {
        return new ByteBufferContentSource(
                pieces.stream().map(piece -> ByteBuffer.wrap(bytes(piece))).toList());
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    private static boolean isComplete(ResponseBody body) {
        while (true) {
            Content.Chunk chunk = body.read();
            if (chunk == null || Content.Chunk.isFailure(chunk)) {
                return false;
            }
            chunk.release();
            if (chunk.isLast()) {
                return true;
            }
        }
    }

    private static boolean isCompleteWithoutLength(ConnectionEnd end, String... pieces) {
        return isComplete(new ResponseBody(source(List.of(pieces)), BodyFraming.CONNECTION_END, -1, () -> end));
    }

    @Test
    void bodyWithoutLengthIsCompleteOnlyIfTheServerClosedTheConnection() {
        assertThat(isCompleteWithoutLength(ConnectionEnd.CLOSED, "body")).isTrue();
        assertThat(isCompleteWithoutLength(ConnectionEnd.CLOSED, "")).isTrue();
        assertThat(isCompleteWithoutLength(ConnectionEnd.NONE, "body")).isFalse();
        assertThat(isCompleteWithoutLength(ConnectionEnd.RESET, "body")).isFalse();
    }

    @Test
    void bodyWithLengthIsCompleteOnlyWithAllItsBytes() {
        for (int length = 3; length <= 5; length++) {
            ResponseBody body =
                    new ResponseBody(source(List.of("bo", "dy")), BodyFraming.LENGTH, length, () -> ConnectionEnd.NONE);
            assertThat(isComplete(body)).isEqualTo(length == 4);
        }
    }

    @Test
    void failureIsReadAgain() {
        for (String second : List.of(HEAD, "HTTP/1.1 200")) {
            ResponseBody body = new ResponseBody(
                    source(List.of("body", second)), BodyFraming.CONNECTION_END, -1, () -> ConnectionEnd.CLOSED);
            assertWithMessage(second).that(isComplete(body)).isFalse();
            assertWithMessage(second).that(isComplete(body)).isFalse();
        }
    }

    @Property(tries = 300)
    void secondResponseIsFoundWhereverItIsSplit(
            @ForAll @IntRange(min = 0, max = 60) int bodyLength,
            @ForAll @IntRange(min = 1, max = 90) int first,
            @ForAll @IntRange(min = 1, max = 90) int second) {
        String text = "HTTP/1.H".repeat(8).substring(0, bodyLength) + HEAD + "late";
        int from = Math.min(first, second) % text.length();
        int to = Math.max(first, second) % text.length();
        boolean complete = isCompleteWithoutLength(
                ConnectionEnd.CLOSED,
                text.substring(0, Math.min(from, to)),
                text.substring(Math.min(from, to), Math.max(from, to)),
                text.substring(Math.max(from, to)));
        assertThat(complete).isFalse();
    }

    @Test
    void secondResponseOfWhichTheStatusWasSentIsFound() {
        for (String begun :
                List.of("HTTP/1.1 200", "HTTP/1.0 503 Service", "HTTP/1.1 200 OK\r", "HTTP/1.1 200 OK\r\nDa")) {
            assertWithMessage(begun)
                    .that(isCompleteWithoutLength(ConnectionEnd.CLOSED, "body" + begun))
                    .isFalse();
        }
    }

    @Test
    void bodyThatNamesAVersionOrQuotesAStatusLineIsComplete() {
        for (String quote : List.of(
                "served over HTTP/1.1 since 1999",
                "HTTP/1.1 200 OK\n",
                "the server said HTTP/1.1 200 OK\r\nand then nothing",
                "HTTP/1.1 2xx means success",
                "HTTP/1.1 200OK\r\na: b",
                "HTTP/1.1 200 OK\r\n: no name",
                "GET / HTTP/1.1\r\nHost: a.example\r\n\r\n")) {
            assertWithMessage(quote)
                    .that(isCompleteWithoutLength(ConnectionEnd.CLOSED, quote + " end"))
                    .isTrue();
        }
    }

    @Test
    void secondResponseAfterAQuoteIsFound() {
        assertThat(isCompleteWithoutLength(ConnectionEnd.CLOSED, "HTTP/1.1 200 OK\r\n" + HEAD))
                .isFalse();
        assertThat(isCompleteWithoutLength(ConnectionEnd.CLOSED, "HTTP/1.1 2" + HEAD))
                .isFalse();
        assertThat(isCompleteWithoutLength(ConnectionEnd.CLOSED, "HTTP/1." + HEAD))
                .isFalse();
    }

    @Test
    void chunkedBodyMayQuoteAResponse() {
        ResponseBody body = new ResponseBody(source(List.of(HEAD)), BodyFraming.CHUNKS, -1, () -> ConnectionEnd.NONE);
        assertThat(isComplete(body)).isTrue();
    }
}
