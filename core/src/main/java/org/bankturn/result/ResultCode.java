package org.bankturn.result;

import java.util.Optional;

/**
 * A numbered result of a request or operation, documented in docs/RESULT-CODES.md.
 *
 * <p>The meaning of a number never changes. The ranges are: 1xxx for operator files and settings, 2xxx for requests, 3xxx
 * for weights, and 4xxx for control and storage. Entry and control processes respond with the HTTP status of the code.
 *
 * <p>ResultCode is thread-safe and immutable.
 */
public enum ResultCode {
    ACCEPTED(1000, 200, "The file is in the log of a majority of the control boxes and cannot revert."),
    FILE_UNREADABLE(1001, 400, "The file could not be read, or is not well-formed YAML."),
    FIELD_UNKNOWN(1002, 400, "A field is not known in this place."),
    FIELD_MISSING(1003, 400, "A required field is missing."),
    FIELD_INVALID(1004, 400, "A field's value has the wrong type, unit or range."),
    REFERENCE_UNKNOWN(1005, 400, "A field names something that no file in force describes."),
    NAME_DUPLICATE(1006, 400, "A name is described twice."),
    FIELD_CONTRADICTORY(1007, 400, "Two fields contradict each other."),
    VERSION_HELD(1010, 409, "The version number is already held by a file with other content."),
    VERSION_NOT_NEXT(1011, 409, "The version number is not the next one for this file."),
    REQUEST_ANSWERED(2000, 200, "The request was answered whole."),
    NOT_RUN_OVERLOADED(2001, 429, "Refused, not run: the client account's share is used up; come back later."),
    NOT_RUN_DEADLINE(2002, 503, "Refused, not run: the request would miss its deadline."),
    NOT_RUN_NO_TARGET(2003, 503, "Refused, not run: no allowed target can take the request now."),
    NOT_RUN_RESIDENCY(2004, 403, "Refused, not run: the client account's requests may not live in this data hall."),
    NOT_RUN_UNKNOWN_ACCOUNT(2005, 403, "Refused, not run: no file in force describes the client account."),
    NOT_RUN_NO_CLAIM(2006, 503, "Refused, not run: the claim on the idempotency key could not be made durable."),
    NOT_RUN_KEY_REUSED(2007, 422, "Refused, not run: the idempotency key was used for another request."),
    IN_PROGRESS(2008, 409, "A request with this idempotency key is running; come back for its answer."),
    OUTCOME_UNKNOWN(2009, 502, "The request may have run, wholly or in part; its outcome is not known."),
    NOT_RUN_LEAVING(2010, 503, "Refused, not run: the process is stopping as planned."),
    NOT_RUN_UNKNOWN_SERVICE(2011, 404, "Refused, not run: no file in force describes the service."),
    NOT_RUN_BAD_REQUEST(2012, 400, "Refused, not run: a header has an invalid value."),
    ATTEMPT_DOUBLED(2013, 409, "The target process has seen this attempt already and did not run it a second time."),
    NOT_RUN_OLD_CONFIGURATION(
            2014, 503, "Refused, not run: the process has not learned the configuration in force yet."),
    CHUNK_CORRUPT(3001, 502, "A chunk did not match its digest and was dropped."),
    ORIGIN_CORRUPT(3002, 502, "The origin repeatedly served a chunk that does not match its digest; the copy stopped."),
    ORIGIN_BUDGET_SPENT(3003, 429, "The origin budget of this version is spent; take the chunk from another box."),
    MANIFEST_CORRUPT(3004, 502, "The manifest does not match the digest that names it."),
    COPY_INCOMPLETE(3005, 409, "The copy is not whole yet."),
    FENCE_STALE(3006, 409, "The order carries a fence older than one already seen."),
    STORAGE_FULL(3007, 507, "The chunk folder has no room for the copy."),
    NOT_LEADER(4001, 421, "This control box does not lead; the answer names the one that does, if known."),
    NO_QUORUM(4002, 503, "No majority of control boxes answered; whether the command took effect is not known."),
    LOG_CORRUPT(
            4003, 500, "A record in the middle of the log does not match its checksum; the process does not start."),
    SYNC_FAILED(4004, 500, "A write or sync of the data folder failed; the process stops."),
    LEASE_HELD(4005, 409, "The lease is held by another process; come back when it has expired."),
    STALE_INDEX(4006, 503, "The answering process knows an older configuration than the asking one.");

    private final int number;
    private final int httpStatus;
    private final String description;

    /**
     * Finds a result code by its number.
     *
     * @param number the number, such as 2001
     * @return the code, empty if no code has the number, not null
     */
    public static Optional<ResultCode> ofNumber(int number) {
        for (ResultCode code : values()) {
            if (code.number == number) {
                return Optional.of(code);
            }
        }
        return Optional.empty();
    }

    ResultCode(int number, int httpStatus, String description) {
        this.number = number;
        this.httpStatus = httpStatus;
        this.description = description;
    }

    /** Returns the unique and stable number. */
    public int number() {
        return number;
    }

    /** Returns the HTTP status of responses with this code. */
    public int httpStatus() {
        return httpStatus;
    }

    /** Returns a one-sentence description, not null. */
    public String description() {
        return description;
    }

    /** Returns true if this code guarantees that the attempt did not execute the request. */
    public boolean isNotRun() {
        return name().startsWith("NOT_RUN_");
    }
}
