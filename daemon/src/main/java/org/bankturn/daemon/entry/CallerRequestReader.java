package org.bankturn.daemon.entry;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import java.io.IOException;
import org.bankturn.configuration.ClientAccount;
import org.bankturn.configuration.Configuration;
import org.bankturn.configuration.Service;
import org.bankturn.daemon.BankturnHeaders;
import org.bankturn.result.ResultCode;

/**
 * Parses and validates callers' requests.
 *
 * <p>The service name is taken from the path {@code /services/NAME/...}, the service header, or the {@code model} field of
 * an OpenAI-style body. By default, GET and HEAD requests and requests to a model are safe to repeat and all others are
 * not. The repeat header overrides the default.
 */
final class CallerRequestReader {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String SERVICES = "/services/";
    private static final int MAX_PRIORITY = 9;
    private static final int DEFAULT_PRIORITY = 5;
    private static final int MAX_KEY_LENGTH = 255;
    private static final long MAX_DEADLINE_MILLIS = 86_400_000L;
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private CallerRequestReader() {}

    static CallerRequest read(
            HttpRequest request, byte[] body, Configuration configuration, long nowMillis, long defaultDeadlineMillis)
            throws RefusedException {
        if (configuration.index() == 0) {
            throw new RefusedException(ResultCode.NOT_RUN_OLD_CONFIGURATION, "", RETRY_AFTER_MILLIS);
        }
        ClientAccount account = readAccount(request, configuration);
        Service service = readService(request, body, configuration);
        String key = request.getHeader(BankturnHeaders.IDEMPOTENCY_KEY);
        if (key != null && (key.isBlank() || key.length() > MAX_KEY_LENGTH)) {
            throw badRequest("Idempotency-Key must have 1 to " + MAX_KEY_LENGTH + " characters");
        }
        long deadline = readNumber(request, BankturnHeaders.DEADLINE, 1, MAX_DEADLINE_MILLIS, defaultDeadlineMillis);
        return new CallerRequest(
                service,
                account,
                request.getMethod(),
                targetPathAndQuery(request),
                request.getHeader(HttpHeaders.CONTENT_TYPE),
                request.getHeader(HttpHeaders.ACCEPT),
                body,
                (int) readNumber(request, BankturnHeaders.PRIORITY, 0, MAX_PRIORITY, DEFAULT_PRIORITY),
                nowMillis + deadline,
                key == null && isSafeToRepeat(request, service),
                key);
    }

    private static ClientAccount readAccount(HttpRequest request, Configuration configuration) throws RefusedException {
        String name = request.getHeader(BankturnHeaders.ACCOUNT);
        if (name == null) {
            throw badRequest("the header " + BankturnHeaders.ACCOUNT + " is missing");
        }
        return configuration
                .clientAccount(name)
                .orElseThrow(() -> new RefusedException(ResultCode.NOT_RUN_UNKNOWN_ACCOUNT, name, 0));
    }

    private static Service readService(HttpRequest request, byte[] body, Configuration configuration)
            throws RefusedException {
        String name = serviceName(request, body);
        return configuration
                .service(name)
                .orElseThrow(() -> new RefusedException(ResultCode.NOT_RUN_UNKNOWN_SERVICE, name, 0));
    }

    private static String serviceName(HttpRequest request, byte[] body) throws RefusedException {
        String path = request.getPath();
        if (path.startsWith(SERVICES)) {
            String rest = path.substring(SERVICES.length());
            int slash = rest.indexOf('/');
            return slash < 0 ? rest : rest.substring(0, slash);
        }
        String header = request.getHeader(BankturnHeaders.SERVICE);
        if (header != null) {
            return header;
        }
        try {
            JsonNode model = JSON.readTree(body).path("model");
            if (model.isTextual()) {
                return model.textValue();
            }
        } catch (IOException e) {
            throw badRequest("the body is not JSON, and nothing else names the service");
        }
        throw badRequest("no path, header or model names the service");
    }

    /** Returns the path to request from the target, without the prefix /services/NAME. */
    private static String targetPathAndQuery(HttpRequest request) {
        String path = request.getPathAndQuery();
        if (!path.startsWith(SERVICES)) {
            return path;
        }
        int slash = path.indexOf('/', SERVICES.length());
        return slash < 0 ? "/" : path.substring(slash);
    }

    private static boolean isSafeToRepeat(HttpRequest request, Service service) throws RefusedException {
        String value = request.getHeader(BankturnHeaders.REPEAT);
        if (value == null) {
            return service.hasModel()
                    || request.getMethod() == HttpMethod.GET
                    || request.getMethod() == HttpMethod.HEAD;
        }
        return switch (value) {
            case "safe" -> true;
            case "unsafe" -> false;
            default -> throw badRequest(BankturnHeaders.REPEAT + " must be safe or unsafe, not " + value);
        };
    }

    private static long readNumber(
            HttpRequest request, HttpHeader header, long minimum, long maximum, long defaultValue)
            throws RefusedException {
        String text = request.getHeader(header);
        if (text == null) {
            return defaultValue;
        }
        try {
            long value = Long.parseLong(text.trim());
            if (value >= minimum && value <= maximum) {
                return value;
            }
        } catch (NumberFormatException e) {
            throw badRequest(header + " must be a whole number, not " + text);
        }
        throw badRequest(header + " must be from " + minimum + " to " + maximum + ", not " + text);
    }

    private static RefusedException badRequest(String detail) {
        return new RefusedException(ResultCode.NOT_RUN_BAD_REQUEST, detail, 0);
    }
}
