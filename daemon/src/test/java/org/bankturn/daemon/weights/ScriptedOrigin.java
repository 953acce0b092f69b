package org.bankturn.daemon.weights;

import io.activej.promise.Promise;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import org.bankturn.daemon.http.HttpHead;
import org.bankturn.daemon.http.PooledHttpClient;

/** An in-memory origin of weights that a test can make fail or send corrupt pieces. */
final class ScriptedOrigin {
    final List<String> requests = new ArrayList<>();
    final Map<Integer, Integer> corruptSends = new HashMap<>();
    boolean down;
    boolean manifestDown;
    private final byte[][] pieces;

    ScriptedOrigin(int count) {
        pieces = new byte[count][];
        for (int piece = 0; piece < count; piece++) {
            pieces[piece] = ("piece " + piece).getBytes(StandardCharsets.UTF_8);
        }
    }

    byte[] piece(int piece) {
        return pieces[piece];
    }

    long sendCount(int piece) {
        return requests.stream().filter(("piece/" + piece)::equals).count();
    }

    Promise<PooledHttpClient.Response> answer(HttpHead head) {
        boolean isManifest = head.second().equals("manifest");
        if (isManifest ? manifestDown : down) {
            return Promise.ofException(new IOException("origin is down"));
        }
        requests.add(head.second());
        byte[] body = head.second().equals("manifest") ? manifest() : pieceOrCorrupt(numberOf(head));
        return Promise.of(new PooledHttpClient.Response(HttpHead.response(200, List.of()), body));
    }

    static int numberOf(HttpHead head) {
        return Integer.parseInt(head.second().substring(head.second().indexOf('/') + 1));
    }

    private byte[] pieceOrCorrupt(int piece) {
        boolean corrupt = corruptSends.merge(piece, -1, Integer::sum) >= 0;
        return corrupt ? new byte[] {0} : pieces[piece];
    }

    private byte[] manifest() {
        StringBuilder digests = new StringBuilder();
        for (byte[] piece : pieces) {
            digests.append(digest(piece)).append('\n');
        }
        return digests.toString().getBytes(StandardCharsets.UTF_8);
    }

    private static String digest(byte[] bytes) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }
}
