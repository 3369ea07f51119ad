package org.cowsliplatch.internal.admin;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import org.cowsliplatch.errors.TableConflictException;
import org.cowsliplatch.errors.TableException;
import org.cowsliplatch.errors.TableOutcomeUnknownException;
import org.cowsliplatch.errors.TablesInvalidException;
import org.cowsliplatch.internal.table.TableCodec;
import org.cowsliplatch.internal.table.TableEdit;
import org.cowsliplatch.internal.util.Json;
import org.cowsliplatch.table.TableChange;
import org.cowsliplatch.table.TableProblem;
import org.cowsliplatch.table.TableVersion;
import org.cowsliplatch.table.Tables;
import org.cowsliplatch.table.TablesDiff;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Fields;
import org.jspecify.annotations.Nullable;

/** Serves the administration API, the metrics and the health checks. */
public final class AdminHandler extends Handler.Abstract {
    private static final String API = "/v1/admin/";
    private static final String BEARER = "Bearer ";
    private static final int MOST_BODY_BYTES = 16 * 1024 * 1024;
    private static final int MOST_HISTORY = 1_000;
    private static final int DEFAULT_HISTORY = 20;

    private final AdminActions actions;
    private final byte[] token;

    /** An answer before it is written. */
    private record Answer(
            int status, String type, byte[] body, @Nullable String etag) {
        static Answer json(int status, Object value) {
            return new Answer(status, "application/json", Json.bytes(value), null);
        }
    }

    /** A request that can't be served, with the answer that says why. */
    private static final class RefusedException extends Exception {
        final int status;

        RefusedException(int status, String detail) {
            super(detail);
            this.status = status;
        }
    }

    /**
     * Creates a handler.
     *
     * @param actions what to do
     * @param token bearer token of operators
     */
    public AdminHandler(AdminActions actions, String token) {
        this.actions = actions;
        this.token = token.getBytes(StandardCharsets.UTF_8);
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        Answer answer;
        try {
            answer = answer(request);
        } catch (RefusedException e) {
            answer = problem(e.status, String.valueOf(e.getMessage()), Map.of());
        } catch (TableException e) {
            answer = tableProblem(e);
        }
        response.setStatus(answer.status());
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, answer.type());
        if (answer.status() == HttpStatus.UNAUTHORIZED_401) {
            response.getHeaders().put(HttpHeader.WWW_AUTHENTICATE, "Bearer");
        }
        if (answer.etag() != null) {
            response.getHeaders().put(HttpHeader.ETAG, answer.etag());
        }
        response.write(true, ByteBuffer.wrap(answer.body()), callback);
        return true;
    }

    private Answer answer(Request request) throws RefusedException, TableException {
        String place = request.getMethod() + " " + request.getHttpURI().getPath();
        switch (place) {
            case "GET /metrics" -> {
                return new Answer(HttpStatus.OK_200, "text/plain; version=0.0.4", actions.metrics(), null);
            }
            case "GET /healthz" -> {
                return Answer.json(HttpStatus.OK_200, Map.of("alive", true));
            }
            case "GET /readyz" -> {
                int status = actions.isReady() ? HttpStatus.OK_200 : HttpStatus.SERVICE_UNAVAILABLE_503;
                return Answer.json(status, Map.of("ready", actions.isReady()));
            }
            default -> {
                checkToken(request);
                return authorized(place, request);
            }
        }
    }

    private Answer authorized(String place, Request request) throws RefusedException, TableException {
        return switch (place) {
            case "GET " + API + "tables" -> tables();
            case "POST " + API + "tables/check" -> check(request);
            case "POST " + API + "tables/diff" -> diff(request);
            case "PUT " + API + "tables" -> apply(request);
            case "GET " + API + "tables/history" -> history(request);
            case "GET " + API + "status" -> Answer.json(HttpStatus.OK_200, actions.status());
            case "POST " + API + "drain" -> {
                actions.drain();
                yield Answer.json(HttpStatus.ACCEPTED_202, Map.of("leaving", true));
            }
            default -> {
                String traces = "GET " + API + "traces/";
                if (place.startsWith(traces)) {
                    yield Answer.json(HttpStatus.OK_200, actions.trace(place.substring(traces.length())));
                }
                throw new RefusedException(HttpStatus.NOT_FOUND_404, "there is no " + place);
            }
        };
    }

    private void checkToken(Request request) throws RefusedException {
        String header = request.getHeaders().get(HttpHeader.AUTHORIZATION);
        boolean right = header != null
                && header.startsWith(BEARER)
                && MessageDigest.isEqual(
                        token, header.substring(BEARER.length()).getBytes(StandardCharsets.UTF_8));
        if (!right) {
            throw new RefusedException(
                    HttpStatus.UNAUTHORIZED_401,
                    "send the header Authorization: Bearer with the token of the settings");
        }
    }

    private Answer tables() {
        TableVersion version = actions.tables();
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("version", version.number());
        fields.put("digest", version.digest());
        TableCodec.Document document = TableCodec.document(version.tables());
        fields.put("routes", document.routes());
        fields.put("pools", document.pools());
        return new Answer(HttpStatus.OK_200, "application/json", Json.bytes(fields), "\"" + version.number() + "\"");
    }

    private Answer check(Request request) throws RefusedException, TableException {
        Tables tables = TableCodec.tables(document(request), actions.regions());
        return Answer.json(
                HttpStatus.OK_200,
                Map.of("routes", tables.routes().size(), "pools", tables.pools().size()));
    }

    private Answer diff(Request request) throws RefusedException, TableException {
        Tables tables = TableCodec.tables(document(request), actions.regions());
        TableVersion inForce = actions.tables();
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("version", inForce.number());
        fields.put("rows", TablesDiff.between(inForce.tables(), tables).rows());
        return Answer.json(HttpStatus.OK_200, fields);
    }

    private Answer apply(Request request) throws RefusedException, TableException {
        long base = base(request);
        Tables tables = TableCodec.tables(document(request), actions.regions());
        String editId = request.getHeaders().get("Edit-Id");
        String author = request.getHeaders().get("Author");
        TableEdit edit;
        try {
            edit = new TableEdit(
                    editId == null ? UUID.randomUUID().toString() : editId, author == null ? "" : author, base, tables);
        } catch (IllegalArgumentException e) {
            throw new RefusedException(HttpStatus.BAD_REQUEST_400, "header Edit-Id: " + e.getMessage());
        }
        TableChange change = actions.apply(edit);
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("version", change.version());
        fields.put("editId", change.editId());
        fields.put("rows", change.diff().rows());
        return Answer.json(HttpStatus.OK_200, fields);
    }

    private static long base(Request request) throws RefusedException {
        String header = request.getHeaders().get(HttpHeader.IF_MATCH);
        if (header == null || !header.matches("\"\\d{1,18}\"")) {
            throw new RefusedException(
                    HttpStatus.PRECONDITION_REQUIRED_428,
                    "send the header If-Match with the version that the edit was made on, such as If-Match: \"7\"");
        }
        return Long.parseLong(header.substring(1, header.length() - 1));
    }

    private Answer history(Request request) throws RefusedException, TableException {
        Fields params = Request.extractQueryParameters(request);
        long head = actions.tables().number();
        long limit = Math.min(MOST_HISTORY, number(params, "limit", DEFAULT_HISTORY));
        long after = number(params, "after", Math.max(0, head - limit));
        return Answer.json(HttpStatus.OK_200, Map.of("changes", actions.history(after, (int) limit)));
    }

    private static long number(Fields params, String name, long defaultValue) throws RefusedException {
        String text = params.getValue(name);
        if (text == null) {
            return defaultValue;
        }
        if (!text.matches("\\d{1,18}")) {
            throw new RefusedException(HttpStatus.BAD_REQUEST_400, "parameter " + name + " is no whole number");
        }
        return Long.parseLong(text);
    }

    private static TableCodec.Document document(Request request) throws RefusedException {
        if (request.getLength() > MOST_BODY_BYTES) {
            throw new RefusedException(HttpStatus.PAYLOAD_TOO_LARGE_413, "the tables are too large");
        }
        try {
            String text = Content.Source.asString(request, StandardCharsets.UTF_8);
            return Json.read(text, TableCodec.Document.class);
        } catch (JsonProcessingException e) {
            throw new RefusedException(
                    HttpStatus.BAD_REQUEST_400,
                    "the body is not {\"routes\": [ … ], \"pools\": [ … ]}: " + e.getOriginalMessage());
        } catch (IOException e) {
            throw new RefusedException(HttpStatus.BAD_REQUEST_400, "the body can't be read: " + e.getMessage());
        }
    }

    private static Answer tableProblem(TableException e) {
        if (e instanceof TablesInvalidException invalid) {
            List<TableProblem> problems = invalid.problems();
            return problem(HttpStatus.UNPROCESSABLE_ENTITY_422, "the tables break rules", Map.of("problems", problems));
        }
        if (e instanceof TableConflictException conflict) {
            Map<String, Object> fields = new LinkedHashMap<>();
            fields.put("base", conflict.base());
            fields.put("version", conflict.head());
            fields.put("theirs", conflict.theirs().rows());
            fields.put("yours", conflict.yours().rows());
            return problem(HttpStatus.CONFLICT_409, e.text(), fields);
        }
        if (e instanceof TableOutcomeUnknownException unknown) {
            return problem(HttpStatus.GATEWAY_TIMEOUT_504, e.text(), Map.of("editId", unknown.editId()));
        }
        return problem(HttpStatus.SERVICE_UNAVAILABLE_503, e.text(), Map.of());
    }

    private static Answer problem(int status, String detail, Map<String, ?> more) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("title", HttpStatus.getMessage(status));
        fields.put("status", status);
        fields.put("detail", detail);
        fields.putAll(more);
        return new Answer(status, "application/problem+json", Json.bytes(fields), null);
    }
}
