package org.bankturn.daemon;

import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;

/** The HTTP headers that bankturn reads and writes; see docs/OPERATING.md. */
public final class BankturnHeaders {
    /** The client account that the request is for. */
    public static final HttpHeader ACCOUNT = HttpHeaders.of("X-Bankturn-Account");

    /** The service that the request is for, if the path does not name it. */
    public static final HttpHeader SERVICE = HttpHeaders.of("X-Bankturn-Service");

    /** Milliseconds that are left for the answer to begin. */
    public static final HttpHeader DEADLINE = HttpHeaders.of("X-Bankturn-Deadline-Milliseconds");

    /** 0 to 9, higher goes first; passed on to engines. */
    public static final HttpHeader PRIORITY = HttpHeaders.of("X-Bankturn-Priority");

    /** Either {@code safe} or {@code unsafe} to run more than once. */
    public static final HttpHeader REPEAT = HttpHeaders.of("X-Bankturn-Repeat");

    /** The caller's key for a request that must run at most once, by its published name. */
    public static final HttpHeader IDEMPOTENCY_KEY = HttpHeaders.of("Idempotency-Key");

    /** W3C trace context. */
    public static final HttpHeader TRACEPARENT = HttpHeaders.of("traceparent");

    /** The numbered result of an answer that bankturn itself made. */
    public static final HttpHeader RESULT = HttpHeaders.of("X-Bankturn-Result");

    /** Milliseconds after which to come back; beside Retry-After, which counts whole seconds. */
    public static final HttpHeader RETRY_AFTER_MILLISECONDS = HttpHeaders.of("X-Bankturn-Retry-After-Milliseconds");

    /** Between entry and target process: the attempt, unique. */
    public static final HttpHeader ATTEMPT = HttpHeaders.of("X-Bankturn-Attempt");

    /** Between entry and target process, and to the engine: the manifest of the version to serve with. */
    public static final HttpHeader VERSION = HttpHeaders.of("X-Bankturn-Version");

    private static final String PREFIX = "X-Bankturn-";

    private BankturnHeaders() {}

    /**
     * Tells whether a header is bankturn's own or belongs to one connection, and so is not passed on.
     *
     * @param name the header's name, not null
     * @return true if it is not passed on
     */
    public static boolean staysOnThisHop(String name) {
        return name.regionMatches(true, 0, PREFIX, 0, PREFIX.length())
                || name.equalsIgnoreCase("Connection")
                || name.equalsIgnoreCase("Keep-Alive")
                || name.equalsIgnoreCase("Transfer-Encoding")
                || name.equalsIgnoreCase("Content-Length")
                || name.equalsIgnoreCase("Host");
    }
}
