package org.cowsliplatch.platform;

import java.time.Duration;
import java.util.List;
import org.eclipse.jetty.util.Fields;

/** Names and data formats of a platform with a row store; contains no policy. */
public interface PlatformFormat {
    /**
     * A caller's query to the directory.
     *
     * @param host host name to resolve
     * @param region region of the caller; empty if not given
     */
    record DirectoryQuery(String host, String region) {}

    /** Returns the names of the HTTP headers. */
    HttpDialect dialect();

    /** Returns the name of the table that operators write. */
    String operatorTable();

    /** Returns the name of the table in which endpoints publish their descriptions. */
    String endpointTable();

    /** Decodes a row of the operators' table. */
    OperatorRow operatorRow(String key, byte[] value);

    /** Decodes a configuration that operators wrote; returns {@link OperatorRow.Unreadable} if it is invalid. */
    OperatorRow configuration(byte[] value);

    /** Decodes a row of the endpoints table. */
    EndpointRow endpointRow(byte[] value);

    /** Returns the path of the readiness check of an entry instance. */
    String readyPath();

    /** Returns the path of the directory for callers. */
    String directoryPath();

    /** Returns the directory query given by the parameters of a request. */
    DirectoryQuery directoryQuery(Fields parameters);

    /**
     * Encodes the response of the directory as JSON.
     *
     * @param addresses addresses of entry instances for the caller
     * @param ttl time for which callers may cache the response
     */
    byte[] directoryAnswer(List<String> addresses, Duration ttl);
}
