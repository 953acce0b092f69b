package org.bankturn.daemon.group;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.bankturn.service.Account;
import org.bankturn.service.AllowedRegions;
import org.bankturn.service.ClientLimits;
import org.bankturn.service.DocumentFormat;
import org.bankturn.service.RequestKind;
import org.bankturn.service.Route;
import org.bankturn.service.ServingConfiguration;
import org.bankturn.service.UnreadableDocumentException;

/**
 * A document format for tests: a version number, followed by {@code faulty} for an invalid document or by {@code in} and
 * the region to which an account is restricted.
 */
final class NumberedDocument implements DocumentFormat {
    @Override
    public ServingConfiguration read(byte[] document) throws UnreadableDocumentException {
        String[] words = new String(document, StandardCharsets.UTF_8).split(" ", -1);
        try {
            boolean faulty = words.length > 1 && words[1].equals("faulty");
            List<Route> routes = faulty
                    ? List.of(new Route("r", "h", "/", RequestKind.UNSAFE, 1, 1, 0, List.of(), 1, true))
                    : List.of();
            List<Account> accounts = words.length > 2 && words[1].equals("in")
                    ? List.of(new Account("acme", List.of("k"), -1, AllowedRegions.of(List.of(words[2]))))
                    : List.of();
            return ServingConfiguration.of(Long.parseLong(words[0]), routes, List.of(), ClientLimits.DEFAULT, accounts);
        } catch (NumberFormatException e) {
            throw new UnreadableDocumentException(e.getMessage());
        }
    }
}
