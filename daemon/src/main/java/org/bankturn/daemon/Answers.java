package org.bankturn.daemon;

import io.activej.http.HttpHeaders;
import io.activej.http.HttpResponse;
import org.bankturn.result.ResultCode;

/** Answers that bankturn itself makes, all of one shape. */
public final class Answers {
    private static final long MILLIS_PER_SECOND = 1_000;

    private Answers() {}

    /**
     * Makes the final answer to a request that is not passed on, or whose outcome is not known.
     *
     * @param code the numbered result, not null
     * @param detail more about this case, empty if nothing, not null
     * @param retryAfterMillis when to come back, 0 if coming back is of no use
     * @return the answer, not null
     */
    public static HttpResponse of(ResultCode code, String detail, long retryAfterMillis) {
        String message = code.description() + (detail.isEmpty() ? "" : " " + detail);
        String body = "{\"code\":" + code.number() + ",\"name\":\"" + code.name() + "\",\"notRun\":" + code.isNotRun()
                + ",\"message\":\"" + escape(message) + "\",\"retryAfterMillis\":" + retryAfterMillis + "}\n";
        HttpResponse.Builder builder = HttpResponse.ofCode(code.httpStatus())
                .withHeader(HttpHeaders.CONTENT_TYPE, "application/json")
                .withHeader(BankturnHeaders.RESULT, Integer.toString(code.number()));
        if (retryAfterMillis > 0) {
            long seconds = (retryAfterMillis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
            builder.withHeader(HttpHeaders.RETRY_AFTER, Long.toString(seconds))
                    .withHeader(BankturnHeaders.RETRY_AFTER_MILLISECONDS, Long.toString(retryAfterMillis));
        }
        return builder.withBody(body).build();
    }

    private static String escape(String text) {
        return text.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", " ");
    }
}
