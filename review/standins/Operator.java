import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** The operator, who picks among the control processes that run. */
final class Operator {
    private static final int CALL_TIMEOUT_MILLIS = 2_500;
    private static final int PAUSE_MILLIS = 200;

    private final Deployment deployment;
    private final Supplier<Collection<Integer>> running;

    Operator(Deployment deployment, Supplier<Collection<Integer>> running) {
        this.deployment = deployment;
        this.running = running;
    }

    private static String configuration(int version) {
        return "{\"version\":" + version + ",\"routes\":[{\"name\":\"read\",\"host\":\"booking.example\","
                + "\"path_prefix\":\"/read/\",\"route_type\":\"idempotent\",\"timeout_ms\":6000,"
                + "\"target_latency_ms\":400,\"priority\":1,\"service\":\"booking-core\",\"max_attempts\":2,"
                + "\"no_auth\":false}],\"services\":[{\"name\":\"booking-core\",\"health_path\":\"/health\","
                + "\"max_conns\":96,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"max_header_bytes\":16384,"
                + "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
                + "\"tenants\":[{\"name\":\"tenant-1\",\"api_keys\":[\"key-1\"],\"priority\":1}]}";
    }

    /** Sends a configuration again and again; returns true once it is acknowledged, false if it is not in time. */
    boolean publish(int version, int seconds) throws InterruptedException {
        byte[] request = Http.request("POST", "/config/put", "Host: operator\r\n", configuration(version));
        return ask(request, "configuration " + version, seconds) != null;
    }

    /** Asks again and again for the configuration; returns true if it comes and is not older than the given version. */
    boolean reads(int version, int seconds) throws InterruptedException {
        byte[] request = Http.request("GET", "/config/get", "Host: operator\r\n", "");
        String body = ask(request, "a read of the configuration", seconds);
        if (body == null) {
            deployment.record("BROKEN: configuration " + version + ", which was acknowledged, does not come");
            return false;
        }
        int read = Integer.parseInt(body.replaceAll("(?s)^\\{\"version\":(\\d+),.*", "$1"));
        deployment.record("configuration " + read + " was read");
        if (read < version) {
            deployment.record("BROKEN: configuration " + read + " was read, " + version + " had been acknowledged");
        }
        return read >= version;
    }

    /** Asks the processes in turn; returns the body of the first 200, null if there is none in time. */
    private String ask(byte[] request, String what, int seconds) throws InterruptedException {
        long until = System.currentTimeMillis() + seconds * 1_000L;
        for (int number = 0; System.currentTimeMillis() < until; number++) {
            List<Integer> living = new ArrayList<>(running.get());
            int core = living.get(number % living.size());
            String got;
            try {
                Http.Answer answer =
                        Http.call(deployment.control(core), Deployment.CALL_PORT, request, CALL_TIMEOUT_MILLIS);
                got = answer.status + " " + answer.end;
                if (answer.status == 200 && answer.complete) {
                    deployment.record(what + ": 200 from core-" + core);
                    return new String(answer.body, StandardCharsets.UTF_8);
                }
            } catch (IOException e) {
                got = e.getMessage();
            }
            deployment.record(what + ": " + got + " from core-" + core);
            TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
        }
        return null;
    }
}
