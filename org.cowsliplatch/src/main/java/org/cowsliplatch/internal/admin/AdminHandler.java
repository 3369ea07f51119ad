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
    private static final int MAX_BODY_BYTES = 16 * 1024 * 1024;
    private static final int MAX_HISTORY_CHANGES = 1_000;
    private static final int DEFAULT_HISTORY_CHANGES = 20;

    private final AdminActions actions;
    private final byte[] token;

    /** Status, content and entity tag of a response. */
    private record ApiResponse(
            int status, String type, byte[] body, @Nullable String etag) {
        static ApiResponse json(int status, Object value) {
            return new ApiResponse(status, "application/json", Json.bytes(value), null);
        }
    }

    /** Thrown for an invalid request; carries the status and the detail of the error response. */
    private static final class HttpStatusException extends Exception {
        final int status;

        HttpStatusException(int status, String detail) {
            super(detail);
            this.status = status;
        }
    }

    /**
     * Creates a handler.
     *
     * @param actions operations of the entry instance
     * @param token bearer token of operators
     */
    public AdminHandler(AdminActions actions, String token) {
        this.actions = actions;
        this.token = token.getBytes(StandardCharsets.UTF_8);
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        ApiResponse apiResponse;
        try {
            apiResponse = respond(request);
        } catch (HttpStatusException e) {
            apiResponse = problem(e.status, String.valueOf(e.getMessage()), Map.of());
        } catch (TableException e) {
            apiResponse = tableProblem(e);
        }
        response.setStatus(apiResponse.status());
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, apiResponse.type());
        if (apiResponse.status() == HttpStatus.UNAUTHORIZED_401) {
            response.getHeaders().put(HttpHeader.WWW_AUTHENTICATE, "Bearer");
        }
        if (apiResponse.etag() != null) {
            response.getHeaders().put(HttpHeader.ETAG, apiResponse.etag());
        }
        response.write(true, ByteBuffer.wrap(apiResponse.body()), callback);
        return true;
    }

    private ApiResponse respond(Request request) throws HttpStatusException, TableException {
        String operation = request.getMethod() + " " + request.getHttpURI().getPath();
        switch (operation) {
            case "GET /metrics" -> {
                return new ApiResponse(HttpStatus.OK_200, "text/plain; version=0.0.4", actions.metrics(), null);
            }
            case "GET /healthz" -> {
                return ApiResponse.json(HttpStatus.OK_200, Map.of("alive", true));
            }
            case "GET /readyz" -> {
                int status = actions.isReady() ? HttpStatus.OK_200 : HttpStatus.SERVICE_UNAVAILABLE_503;
                return ApiResponse.json(status, Map.of("ready", actions.isReady()));
            }
            default -> {
                checkToken(request);
                return authorized(operation, request);
            }
        }
    }

    private ApiResponse authorized(String operation, Request request) throws HttpStatusException, TableException {
        return switch (operation) {
            case "GET " + API + "tables" -> tables();
            case "POST " + API + "tables/check" -> check(request);
            case "POST " + API + "tables/diff" -> diff(request);
            case "PUT " + API + "tables" -> apply(request);
            case "GET " + API + "tables/history" -> history(request);
            case "GET " + API + "status" -> ApiResponse.json(HttpStatus.OK_200, actions.status());
            case "POST " + API + "drain" -> {
                actions.drain();
                yield ApiResponse.json(HttpStatus.ACCEPTED_202, Map.of("leaving", true));
            }
            default -> {
                String tracePrefix = "GET " + API + "traces/";
                if (operation.startsWith(tracePrefix)) {
                    yield ApiResponse.json(HttpStatus.OK_200, actions.trace(operation.substring(tracePrefix.length())));
                }
                throw new HttpStatusException(HttpStatus.NOT_FOUND_404, "unknown operation " + operation);
            }
        };
    }

    private void checkToken(Request request) throws HttpStatusException {
        String header = request.getHeaders().get(HttpHeader.AUTHORIZATION);
        boolean valid = header != null
                && header.startsWith(BEARER)
                && MessageDigest.isEqual(
                        token, header.substring(BEARER.length()).getBytes(StandardCharsets.UTF_8));
        if (!valid) {
            throw new HttpStatusException(
                    HttpStatus.UNAUTHORIZED_401,
                    "missing or wrong token; send the header Authorization: Bearer with the token in the settings");
        }
    }

    private ApiResponse tables() {
        TableVersion version = actions.tables();
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("version", version.number());
        fields.put("digest", version.digest());
        TableCodec.Document document = TableCodec.document(version.tables());
        fields.put("routes", document.routes());
        fields.put("pools", document.pools());
        return new ApiResponse(
                HttpStatus.OK_200, "application/json", Json.bytes(fields), "\"" + version.number() + "\"");
    }

    private ApiResponse check(Request request) throws HttpStatusException, TableException {
        Tables tables = TableCodec.tables(document(request), actions.regions());
        return ApiResponse.json(
                HttpStatus.OK_200,
                Map.of("routes", tables.routes().size(), "pools", tables.pools().size()));
    }

    private ApiResponse diff(Request request) throws HttpStatusException, TableException {
        Tables tables = TableCodec.tables(document(request), actions.regions());
        TableVersion inForce = actions.tables();
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("version", inForce.number());
        fields.put("rows", TablesDiff.between(inForce.tables(), tables).rows());
        return ApiResponse.json(HttpStatus.OK_200, fields);
    }

    private ApiResponse apply(Request request) throws HttpStatusException, TableException {
        long base = base(request);
        Tables tables = TableCodec.tables(document(request), actions.regions());
        String editId = request.getHeaders().get("Edit-Id");
        String author = request.getHeaders().get("Author");
        TableEdit edit;
        try {
            edit = new TableEdit(
                    editId == null ? UUID.randomUUID().toString() : editId, author == null ? "" : author, base, tables);
        } catch (IllegalArgumentException e) {
            throw new HttpStatusException(HttpStatus.BAD_REQUEST_400, "invalid header Edit-Id: " + e.getMessage());
        }
        TableChange change = actions.apply(edit);
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("version", change.version());
        fields.put("editId", change.editId());
        fields.put("rows", change.diff().rows());
        return ApiResponse.json(HttpStatus.OK_200, fields);
    }

    private static long base(Request request) throws HttpStatusException {
        String header = request.getHeaders().get(HttpHeader.IF_MATCH);
        if (header == null || !header.matches("\"\\d{1,18}\"")) {
            throw new HttpStatusException(
                    HttpStatus.PRECONDITION_REQUIRED_428,
                    "send the header If-Match with the version that the edit is based on, such as If-Match: \"7\"");
        }
        return Long.parseLong(header.substring(1, header.length() - 1));
    }

    private ApiResponse history(Request request) throws HttpStatusException, TableException {
        Fields params = Request.extractQueryParameters(request);
        long head = actions.tables().number();
        long limit = Math.min(MAX_HISTORY_CHANGES, number(params, "limit", DEFAULT_HISTORY_CHANGES));
        long after = number(params, "after", Math.max(0, head - limit));
        return ApiResponse.json(HttpStatus.OK_200, Map.of("changes", actions.history(after, (int) limit)));
    }

    private static long number(Fields params, String name, long defaultValue) throws HttpStatusException {
        String text = params.getValue(name);
        if (text == null) {
            return defaultValue;
        }
        if (!text.matches("\\d{1,18}")) {
            throw new HttpStatusException(
                    HttpStatus.BAD_REQUEST_400,
                    "parameter " + name + " must be a non-negative integer of at most 18 digits");
        }
        return Long.parseLong(text);
    }

    private static TableCodec.Document document(Request request) throws HttpStatusException {
        if (request.getLength() > MAX_BODY_BYTES) {
            throw new HttpStatusException(
                    HttpStatus.PAYLOAD_TOO_LARGE_413, "the request body is longer than " + MAX_BODY_BYTES + " bytes");
        }
        try {
            String text = Content.Source.asString(request, StandardCharsets.UTF_8);
            return Json.read(text, TableCodec.Document.class);
        } catch (JsonProcessingException e) {
            throw new HttpStatusException(
                    HttpStatus.BAD_REQUEST_400,
                    "the body must be JSON of the form {\"routes\": [ … ], \"pools\": [ … ]}: "
                            + e.getOriginalMessage());
        } catch (IOException e) {
            throw new HttpStatusException(HttpStatus.BAD_REQUEST_400, "the body can't be read: " + e.getMessage());
        }
    }

    private static ApiResponse tableProblem(TableException e) {
        if (e instanceof TablesInvalidException invalid) {
            List<TableProblem> problems = invalid.problems();
            return problem(HttpStatus.UNPROCESSABLE_ENTITY_422, "the tables are invalid", Map.of("problems", problems));
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

    private static ApiResponse problem(int status, String detail, Map<String, ?> extraFields) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("title", HttpStatus.getMessage(status));
        fields.put("status", status);
        fields.put("detail", detail);
        fields.putAll(extraFields);
        return new ApiResponse(status, "application/problem+json", Json.bytes(fields), null);
    }
}
