package org.bankturn.daemon.control;

import java.util.Set;
import org.bankturn.state.command.Command;

/** Fills in the values of a submitted command that only the leader knows, such as absolute times. */
final class CommandStamp {
    private CommandStamp() {}

    static Command stamp(Command command, long nowMillis, long expiredFence, Set<String> silentBoxes) {
        if (command instanceof Command.ClaimRequest claim) {
            return new Command.ClaimRequest(
                    claim.account(),
                    claim.key(),
                    claim.fingerprint(),
                    claim.attempt(),
                    nowMillis,
                    nowMillis + claim.deadlineMillis(),
                    nowMillis + claim.expiresMillis());
        }
        if (command instanceof Command.GrantOrigin grant) {
            return new Command.GrantOrigin(
                    grant.manifest(),
                    grant.chunkCount(),
                    grant.box(),
                    grant.kept(),
                    grant.failed(),
                    grant.unreachable(),
                    grant.wanted(),
                    grant.policy(),
                    silentBoxes,
                    nowMillis);
        }
        if (command instanceof Command.AcquireLease acquire) {
            return new Command.AcquireLease(acquire.name(), acquire.holder(), acquire.durationMillis(), expiredFence);
        }
        return command;
    }
}
