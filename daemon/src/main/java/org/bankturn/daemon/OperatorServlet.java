package org.bankturn.daemon;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.activej.http.AsyncServlet;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import java.nio.charset.StandardCharsets;
import org.bankturn.configuration.Configuration;
import org.bankturn.configuration.ConfigurationHolder;
import org.bankturn.daemon.control.ControlClient;
import org.bankturn.daemon.wire.NodeReply;
import org.bankturn.daemon.wire.NodeRequest;
import org.bankturn.result.ResultCode;
import org.bankturn.state.command.Command;
import org.bankturn.state.command.CommandResult;
import org.bankturn.state.query.ShowReply;

/**
 * Takes operators' files and answers their questions over HTTP, on every entry and control process.
 *
 * <p>{@code POST /operator/files} applies a file; {@code GET /operator/show}, {@code /operator/status} and
 * {@code /operator/history} read back. What is shown is what is in force in this process; the other two come from the
 * leader.
 *
 * <p>OperatorServlet is confined to its reactor's thread.
 */
final class OperatorServlet implements AsyncServlet {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int MAXIMUM_FILE_BYTES = 16 << 20;
    private static final long TIMEOUT_MILLIS = 8_000;
    private static final int OK = 200;

    private final ConfigurationHolder holder;
    private final ControlClient control;

    OperatorServlet(ConfigurationHolder holder, ControlClient control) {
        this.holder = holder;
        this.control = control;
    }

    @Override
    public Promise<HttpResponse> serve(HttpRequest request) {
        String path = request.getPath();
        if (path.equals("/operator/files") && request.getMethod() == HttpMethod.POST) {
            return apply(request);
        }
        return switch (path) {
            case "/operator/show" -> show();
            case "/operator/status" -> ask(new NodeRequest.GetStatus());
            case "/operator/history" -> ask(new NodeRequest.GetHistory());
            default -> HttpResponse.notFound404().toPromise();
        };
    }

    private Promise<HttpResponse> apply(HttpRequest request) {
        String by = request.getQueryParameter("by");
        return request.loadBody(MAXIMUM_FILE_BYTES)
                .then(body -> {
                    String text = body.getString(StandardCharsets.UTF_8);
                    Command command = new Command.ApplyFile(text, by == null ? "unnamed" : by);
                    return Promise.ofFuture(control.submit(command, TIMEOUT_MILLIS));
                })
                .map(result -> json(statusOf(result), result, CommandResult.class));
    }

    private Promise<HttpResponse> show() {
        Configuration configuration = holder.get();
        ShowReply reply = new ShowReply(
                configuration.index(), configuration.digest(), configuration.files(), configuration.inService());
        return json(OK, reply, ShowReply.class).toPromise();
    }

    private Promise<HttpResponse> ask(NodeRequest question) {
        return Promise.ofFuture(control.ask(question, TIMEOUT_MILLIS)).map(reply -> {
            if (reply instanceof NodeReply.Status status) {
                return json(OK, status.status(), Object.class);
            }
            if (reply instanceof NodeReply.History history) {
                return json(OK, history.history(), Object.class);
            }
            CommandResult noAnswer = new CommandResult.NotExecuted(ResultCode.NO_QUORUM, null);
            return json(ResultCode.NO_QUORUM.httpStatus(), noAnswer, CommandResult.class);
        });
    }

    private static int statusOf(CommandResult result) {
        if (result instanceof CommandResult.FileRefused refused) {
            return refused.code().httpStatus();
        }
        return result instanceof CommandResult.NotExecuted notDone
                ? notDone.code().httpStatus()
                : OK;
    }

    private static HttpResponse json(int status, Object value, Class<?> type) {
        try {
            return HttpResponse.ofCode(status)
                    .withHeader(HttpHeaders.CONTENT_TYPE, "application/json")
                    .withBody(JSON.writerFor(type).writeValueAsBytes(value))
                    .build();
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }
}
