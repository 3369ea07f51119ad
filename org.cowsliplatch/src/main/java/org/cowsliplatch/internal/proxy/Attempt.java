package org.cowsliplatch.internal.proxy;

import java.io.EOFException;
import java.io.IOException;
import java.net.ConnectException;
import java.net.SocketTimeoutException;
import java.nio.channels.ClosedChannelException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import org.cowsliplatch.internal.http.BodyFraming;
import org.cowsliplatch.internal.http.ConnectionEnd;
import org.eclipse.jetty.client.Connection;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.io.Content;
import org.jspecify.annotations.Nullable;

/** One attempt at a request, sent to one address. */
final class Attempt {
    /** Receives the result of an attempt. */
    interface Listener {
        /** Returns why a response is rejected, or null if it is accepted and goes to {@link #onResponse} next. */
        AttemptFailure.@Nullable Kind validate(Response response);

        /** Copies the accepted response to the caller, and completes the callback when that has ended. */
        void onResponse(Response response, Content.Source content, org.eclipse.jetty.util.Callback completion);

        /** Called after the whole response was copied. */
        void onResponseComplete(HttpFields headers);

        /** Called if the attempt failed; nothing was written to the caller unless {@code responseStarted}. */
        void onFailure(AttemptFailure result, boolean responseStarted);
    }

    /** Longest body of a rejected response that is read to its end, in bytes. */
    private static final long MAX_DISCARDED_BYTES = 64 * 1024;

    private final String address;
    private final Listener listener;
    private final AtomicBoolean ended = new AtomicBoolean();
    private volatile @Nullable Request request;
    private volatile @Nullable Connection connection;
    private volatile boolean requestBegun;
    private volatile boolean responseAccepted;
    private volatile AttemptFailure.@Nullable Kind rejection;
    private volatile boolean responseCopied;
    private volatile @Nullable Response response;
    private volatile @Nullable ResponseBody responseBody;

    Attempt(String address, Listener listener) {
        this.address = address;
        this.listener = listener;
    }

    /** Sends the request; exactly one of the listener's end methods is called, once. */
    void send(
            Request newRequest,
            RequestBody body,
            @Nullable String contentType,
            @Nullable FlowPacer pacer,
            long timeoutMs) {
        request = newRequest;
        Request.Content content = body.content(contentType, pacer);
        if (content != null) {
            newRequest.body(content);
        }
        newRequest
                .timeout(timeoutMs, TimeUnit.MILLISECONDS)
                .idleTimeout(timeoutMs * 2, TimeUnit.MILLISECONDS)
                .onRequestBegin(this::onBegin)
                .onResponseContentSource(this::onContent)
                .send(this::onComplete);
    }

    /** Aborts the attempt. */
    void cancel(Throwable cause) {
        Request sent = request;
        if (sent != null) {
            var unused = sent.abort(cause);
        }
    }

    private void onBegin(Request sent) {
        requestBegun = true;
        connection = sent.getConnection();
    }

    private void onContent(Response newResponse, Content.Source content) {
        response = newResponse;
        AttemptFailure.Kind reason =
                isHttp1(newResponse) ? listener.validate(newResponse) : AttemptFailure.Kind.FOREIGN_ANSWER;
        if (reason != null) {
            rejection = reason;
            discard(newResponse, content, reason);
            return;
        }
        responseAccepted = true;
        long declaredBytes = newResponse.getHeaders().getLongField(HttpHeader.CONTENT_LENGTH);
        ResponseBody body = new ResponseBody(content, BodyFraming.of(newResponse), declaredBytes, this::connectionEnd);
        responseBody = body;
        listener.onResponse(
                newResponse,
                body,
                org.eclipse.jetty.util.Callback.from(
                        () -> onCopyComplete(newResponse, null), failure -> onCopyComplete(newResponse, failure)));
    }

    /** Returns whether the message is of a version that its connection can carry; the parser accepts others as well. */
    private static boolean isHttp1(Response response) {
        return response.getVersion() == HttpVersion.HTTP_1_1 || response.getVersion() == HttpVersion.HTTP_1_0;
    }

    /** Returns what was read of the response, or null if its head was not. */
    @Nullable
    ReceivedResponse received() {
        Response currentResponse = response;
        if (currentResponse == null) {
            return null;
        }
        ResponseBody body = responseBody;
        BackendEndPoint endPoint = endPoint();
        return new ReceivedResponse(
                currentResponse.getStatus(),
                BodyFraming.of(currentResponse),
                endPoint == null ? 0 : endPoint.headBytes(),
                body == null ? 0 : body.bytes(),
                endPoint == null ? 0 : endPoint.bytesRead(),
                connectionEnd());
    }

    private ConnectionEnd connectionEnd() {
        BackendEndPoint endPoint = endPoint();
        return endPoint == null ? ConnectionEnd.NONE : endPoint.peerEnd();
    }

    private @Nullable BackendEndPoint endPoint() {
        return connection instanceof org.eclipse.jetty.io.Connection current
                        && current.getEndPoint() instanceof BackendEndPoint endPoint
                ? endPoint
                : null;
    }

    /** Reads a short body to its end; any other is cut off, since it may never end. */
    private void discard(Response response, Content.Source content, AttemptFailure.Kind reason) {
        long length = response.getHeaders().getLongField(HttpHeader.CONTENT_LENGTH);
        if (length >= 0 && length <= MAX_DISCARDED_BYTES) {
            Content.Source.consumeAll(content, org.eclipse.jetty.util.Callback.NOOP);
            return;
        }
        IOException cause = new IOException("rejected response without a short body");
        cancel(cause);
        closeConnection();
        endRejected(response, reason);
    }

    private void endRejected(Response response, AttemptFailure.Kind reason) {
        if (ended.compareAndSet(false, true)) {
            listener.onFailure(
                    new AttemptFailure(
                            reason,
                            address + " responded with status " + response.getStatus() + " in "
                                    + response.getVersion()),
                    false);
        }
    }

    private void onCopyComplete(Response response, @Nullable Throwable failure) {
        if (failure == null) {
            responseCopied = true;
            if (ended.compareAndSet(false, true)) {
                listener.onResponseComplete(response.getHeaders());
            }
            return;
        }
        cancel(failure);
        end(failure);
    }

    private void onComplete(Result result) {
        Throwable failure = result.getFailure();
        AttemptFailure.Kind rejected = rejection;
        if (failure != null && rejected == null) {
            end(failure);
            return;
        }
        if (responseAccepted) {
            return;
        }
        endRejected(result.getResponse(), rejected == null ? AttemptFailure.Kind.CUT : rejected);
    }

    private void end(Throwable failure) {
        if (responseCopied || !ended.compareAndSet(false, true)) {
            return;
        }
        AttemptFailure.Kind kind = kind(failure);
        listener.onFailure(new AttemptFailure(kind, address + ": " + describe(failure)), responseAccepted);
    }

    private AttemptFailure.Kind kind(Throwable failure) {
        if (failure instanceof CallerDisconnectedException) {
            return AttemptFailure.Kind.CANCELLED;
        }
        if (failure instanceof org.eclipse.jetty.http.HttpException) {
            return AttemptFailure.Kind.BODY_FAILED;
        }
        if (failure instanceof BackendEndPoint.UnsolicitedBytesException) {
            return AttemptFailure.Kind.UNSOLICITED_BYTES;
        }
        if (failure instanceof ResponseBody.SecondResponseException) {
            return AttemptFailure.Kind.SECOND_RESPONSE;
        }
        if (!requestBegun) {
            boolean refused = failure instanceof ConnectException;
            return refused ? AttemptFailure.Kind.CONNECTION_REFUSED : AttemptFailure.Kind.NOT_SENT;
        }
        boolean timedOut = failure instanceof TimeoutException || failure instanceof SocketTimeoutException;
        return timedOut ? AttemptFailure.Kind.TIMED_OUT : AttemptFailure.Kind.CUT;
    }

    private void closeConnection() {
        Connection current = connection;
        if (current != null) {
            current.close();
        }
    }

    private static String describe(Throwable failure) {
        if (failure instanceof ClosedChannelException || failure instanceof EOFException) {
            return "connection closed before the response was complete";
        }
        String message = failure.getMessage();
        return message == null ? failure.getClass().getSimpleName() : message;
    }

    /** Cause with which an attempt is aborted after its caller disconnected. */
    static final class CallerDisconnectedException extends Exception {
        CallerDisconnectedException(@Nullable Throwable cause) {
            super("the caller disconnected before its response was complete", cause);
        }
    }
}
