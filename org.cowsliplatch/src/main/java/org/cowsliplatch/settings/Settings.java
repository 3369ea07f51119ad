package org.cowsliplatch.settings;

import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;

/**
 * Settings of an entry instance, read before it starts.
 *
 * @param system display name of the system
 * @param instance name of this entry instance, unique in the system
 * @param region region of this entry instance
 * @param zone availability zone of this entry instance
 * @param listen addresses of its listeners
 * @param regions availability zones of each region
 * @param links bandwidth caps between regions
 * @param delays one-way network delays
 * @param platform services of the platform
 * @param maxEntries maximum number of entry instances that run at the same time
 * @param seeds addresses of the peers to contact first
 * @param admin access to the administration API
 * @param telemetry logs and traces
 * @param limits resource limits of a single request and of all requests
 */
public record Settings(
        String system,
        String instance,
        String region,
        String zone,
        Listen listen,
        SortedMap<String, List<String>> regions,
        List<Link> links,
        Delays delays,
        Platform platform,
        int maxEntries,
        List<InetSocketAddress> seeds,
        Admin admin,
        Telemetry telemetry,
        Limits limits) {

    /**
     * Addresses of the three listeners.
     *
     * @param caller listener for requests and lookups of callers
     * @param peer listener for other entry instances
     * @param admin listener for operators and metrics
     */
    public record Listen(InetSocketAddress caller, InetSocketAddress peer, InetSocketAddress admin) {}

    /**
     * Bandwidth cap of the traffic between two regions in one direction.
     *
     * @param from region that the traffic leaves
     * @param to region that the traffic enters
     * @param bitsPerSecond cap of all traffic, in bits per second
     */
    public record Link(String from, String to, long bitsPerSecond) {}

    /**
     * One-way network delays.
     *
     * @param zone between availability zones of one region
     * @param region between regions
     * @param caller to callers
     */
    public record Delays(Duration zone, Duration region, Duration caller) {}

    /**
     * Services of the platform.
     *
     * @param tableService base URI of the table service
     * @param objectStore base URI of the object store
     * @param instanceList base URI of the instance list
     * @param measurements base URI of the measurements
     * @param entryService service name of the entry instances in the instance list
     * @param timeout response timeout
     */
    public record Platform(
            URI tableService,
            URI objectStore,
            URI instanceList,
            URI measurements,
            String entryService,
            Duration timeout) {}

    /**
     * Access to the administration API.
     *
     * @param token bearer token
     * @param keyStore key store for TLS, or empty for plain HTTP
     */
    public record Admin(String token, Optional<KeyStoreFile> keyStore) {
        @Override
        public String toString() {
            return "Admin[keyStore=" + keyStore + "]";
        }
    }

    /**
     * A PKCS #12 key store.
     *
     * @param file path of the key store
     * @param password password of the key store and of its key
     */
    public record KeyStoreFile(Path file, String password) {
        @Override
        public String toString() {
            return "KeyStoreFile[file=" + file + "]";
        }
    }

    /**
     * Logs and traces.
     *
     * @param logLevel minimum level that is logged
     * @param otlp URI of an OTLP collector, or empty if there is none
     */
    public record Telemetry(String logLevel, Optional<URI> otlp) {}

    /**
     * Resource limits.
     *
     * @param headerBytes maximum length of a request header, in bytes
     * @param bodyBytes maximum length of a request body, in bytes
     * @param keyRecordBytes memory for the records of idempotency keys, in bytes
     * @param lookupTtl time for which callers may cache a lookup answer
     * @param stop maximum duration of a planned stop
     */
    public record Limits(int headerBytes, long bodyBytes, long keyRecordBytes, Duration lookupTtl, Duration stop) {}

    /** Returns the cap of the link from one region to another in bits per second, or 0 if there is no link. */
    public long linkCap(String from, String to) {
        for (Link link : links) {
            if (link.from().equals(from) && link.to().equals(to)) {
                return link.bitsPerSecond();
            }
        }
        return 0;
    }

    /** Returns the region of each availability zone. */
    public Map<String, String> regionOfZone() {
        Map<String, String> regionOfZone = new java.util.TreeMap<>();
        regions.forEach((name, zones) -> zones.forEach(zone -> regionOfZone.put(zone, name)));
        return regionOfZone;
    }
}
