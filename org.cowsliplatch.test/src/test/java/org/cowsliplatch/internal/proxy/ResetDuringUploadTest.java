package org.cowsliplatch.internal.proxy;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.io.content.AsyncContent;
import org.eclipse.jetty.util.Callback;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a reset that a write reports first, and that the next read then returns as the end of the stream.
 *
 * <p>The order is forced: the response is not read before the upload has failed, and the failure of the upload reaches
 * nothing else before the response was read to its end.
 */
final class ResetDuringUploadTest {
    private static final String PART = "only a part";
    private static final long MAX_WAIT_MS = 8_000;
    private static final int UPLOAD_BYTES = 100_000;

    private final BackendClient client = new BackendClient();
    private final ServerSocket server;
    private final Upload upload = new Upload();
    private final ResponseReader reader = new ResponseReader();

    ResetDuringUploadTest() throws IOException {
        server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    }

    @BeforeEach
    void start() throws Exception {
        client.start();
    }

    @AfterEach
    void stop() throws Exception {
        client.close();
        server.close();
    }

    /** Upload whose failure is reported, and then delayed until the response has ended. */
    private final class Upload extends AsyncContent {
        private final CompletableFuture<Void> failed = new CompletableFuture<>();

        void send(int length) {
            write(false, ByteBuffer.allocate(length), Callback.NOOP);
        }

        @Override
        public void fail(Throwable failure) {
            failed.complete(null);
            try {
                reader.end.get(MAX_WAIT_MS, TimeUnit.MILLISECONDS);
            } catch (Exception e) {
                // The test reports that the response has not ended.
            }
            super.fail(failure);
        }
    }

    /** Reads the response when it is told to, and tells how it ended. */
    private static final class ResponseReader implements Attempt.Listener {
        private final CompletableFuture<Content.Source> begun = new CompletableFuture<>();
        private final CompletableFuture<String> end = new CompletableFuture<>();
        private final StringBuilder body = new StringBuilder();

        @Override
        public AttemptFailure.@Nullable Kind validate(Response response) {
            return null;
        }

        @Override
        public void onResponse(Response response, Content.Source content, Callback completion) {
            begun.complete(content);
        }

        @Override
        public void onResponseComplete(HttpFields headers) {
            end.complete("completed");
        }

        @Override
        public void onFailure(AttemptFailure result, boolean responseStarted) {
            end.complete("failed: " + result);
        }

        void read() {
            Content.Source content = begun.join();
            while (!end.isDone()) {
                Content.Chunk chunk = content.read();
                if (chunk == null) {
                    content.demand(this::read);
                    return;
                }
                if (Content.Chunk.isFailure(chunk)) {
                    end.complete("failed: " + chunk.getFailure());
                    return;
                }
                body.append(StandardCharsets.ISO_8859_1.decode(chunk.getByteBuffer()));
                if (chunk.isLast()) {
                    end.complete("completed");
                }
                chunk.release();
            }
        }
    }

    private Socket respond(String body) throws IOException {
        Socket connection = server.accept();
        InputStream in = connection.getInputStream();
        List<Integer> head = new ArrayList<>();
        while (head.size() < 4 || !head.subList(head.size() - 4, head.size()).equals(List.of(13, 10, 13, 10))) {
            head.add(in.read());
        }
        String response = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body;
        connection.getOutputStream().write(response.getBytes(StandardCharsets.ISO_8859_1));
        return connection;
    }

    private void send() {
        new Attempt(address(), reader)
                .send(
                        client.request(address(), "/upload").method("POST"),
                        new RequestBody.Streamed(upload),
                        null,
                        null,
                        MAX_WAIT_MS);
        upload.send(1);
    }

    private String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** Returns how the response ends that is read only after the upload has failed. */
    private String endAfterFailedUpload() throws Exception {
        reader.begun.get(MAX_WAIT_MS, TimeUnit.MILLISECONDS);
        // The thread that sends a part of an upload also reports its failure.
        CompletableFuture<Void> sent = CompletableFuture.runAsync(() -> upload.send(UPLOAD_BYTES));
        upload.failed.get(MAX_WAIT_MS, TimeUnit.MILLISECONDS);
        reader.read();
        String end = reader.end.get(MAX_WAIT_MS, TimeUnit.MILLISECONDS);
        sent.get(MAX_WAIT_MS, TimeUnit.MILLISECONDS);
        return end;
    }

    @Test
    void resetIsNotTheEndOfTheResponse() throws Exception {
        send();
        Socket connection = respond(PART);
        reader.begun.get(MAX_WAIT_MS, TimeUnit.MILLISECONDS);
        connection.setSoLinger(true, 0);
        connection.close();
        assertThat(endAfterFailedUpload()).startsWith("failed");
    }

    @Test
    void orderlyEndBeforeAResetIsTheEndOfTheResponse() throws Exception {
        send();
        Socket connection = respond(PART);
        reader.begun.get(MAX_WAIT_MS, TimeUnit.MILLISECONDS);
        connection.shutdownOutput();
        connection.setSoLinger(true, 0);
        connection.close();
        assertThat(endAfterFailedUpload()).isEqualTo("completed");
        assertThat(reader.body.toString()).isEqualTo(PART);
    }
}
