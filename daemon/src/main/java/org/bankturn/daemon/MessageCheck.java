package org.bankturn.daemon;

import io.activej.http.AsyncServlet;
import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaderValue;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMessage;
import io.activej.http.HttpResponse;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Map;
import java.util.Optional;
import org.bankturn.daemon.http.MessageSyntax;

/** Finds what is malformed in heads that the HTTP library has accepted. */
final class MessageCheck {
    private static final Logger LOG = System.getLogger(MessageCheck.class.getName());
    private static final int BAD_REQUEST = 400;
    private static final int FIRST_FINAL_STATUS = 200;
    private static final int LAST_STATUS = 599;

    private MessageCheck() {}

    /** Returns what is malformed in a response that ends its exchange, empty if nothing is, not null. */
    static Optional<String> malformationOf(HttpResponse response) {
        if (response.getCode() < FIRST_FINAL_STATUS || response.getCode() > LAST_STATUS) {
            return Optional.of("no final status: " + response.getCode());
        }
        return malformationOfFields(response);
    }

    /** Returns a servlet that rejects malformed requests and has the given one serve all others, not null. */
    static AsyncServlet rejectingMalformed(AsyncServlet servlet) {
        return request -> {
            Optional<String> malformation = malformationOfFields(request);
            if (malformation.isEmpty()) {
                return servlet.serve(request);
            }
            LOG.log(Level.WARNING, "malformed request: " + malformation.get());
            return HttpResponse.ofCode(BAD_REQUEST).toPromise();
        };
    }

    /** Returns what is malformed in the fields of a message, empty if nothing is, not null. */
    static Optional<String> malformationOfFields(HttpMessage message) {
        int delimiting = 0;
        for (Map.Entry<HttpHeader, HttpHeaderValue> header : message.getHeaders()) {
            String name = header.getKey().toString();
            if (!MessageSyntax.isToken(name)) {
                return Optional.of("invalid field name: " + MessageSyntax.quote(name));
            }
            if (!MessageSyntax.isFieldContent(header.getValue().toString())) {
                return Optional.of("control character in field " + MessageSyntax.quote(name));
            }
            boolean delimits = name.equalsIgnoreCase(HttpHeaders.CONTENT_LENGTH.toString())
                    || name.equalsIgnoreCase(HttpHeaders.TRANSFER_ENCODING.toString());
            delimiting += delimits ? 1 : 0;
        }
        return delimiting > 1 ? Optional.of("several fields that delimit the body") : Optional.empty();
    }
}
