package org.bankturn.publication;

import java.util.List;
import org.bankturn.crash.CompletedPart;
import org.bankturn.crash.EndedTarget;
import org.bankturn.crash.RequestFingerprint;
import org.bankturn.crash.Suspect;
import org.bankturn.crash.SuspectPart;
import org.bankturn.crash.SuspectPartTable;
import org.bankturn.crash.SuspectTable;

/**
 * The part of the replicated state that tells which requests and which prompt parts crash their targets.
 *
 * <p>A crash that a condemned prompt part explains counts against no request. The reverse does not hold: several condemned
 * requests that share a part are better explained by the part. CrashEvidence is mutable and not thread-safe.
 */
final class CrashEvidence {
    private final SuspectTable requests;
    private final SuspectPartTable parts;

    /** Returns an instance without crashes, not null. */
    static CrashEvidence empty() {
        return new CrashEvidence(SuspectTable.empty(), SuspectPartTable.empty());
    }

    /** Returns an instance with the given content, not null. */
    static CrashEvidence restore(List<Suspect> requests, List<SuspectPart> parts) {
        return new CrashEvidence(SuspectTable.restore(requests), SuspectPartTable.restore(parts));
    }

    private CrashEvidence(SuspectTable requests, SuspectPartTable parts) {
        this.requests = requests;
        this.parts = parts;
    }

    /** Returns true if the command changes this part of the state. */
    static boolean concerns(PublicationCommand command) {
        return command instanceof PublicationCommand.RecordOutcomes
                || command instanceof PublicationCommand.TakeTrial
                || command instanceof PublicationCommand.TakePartTrial
                || command instanceof PublicationCommand.ReturnPartTrial
                || command instanceof PublicationCommand.ClearPart;
    }

    /** Returns the requests during which targets crashed, not null. */
    SuspectTable requests() {
        return requests;
    }

    /** Returns the prompt parts of requests during which targets crashed, not null. */
    SuspectPartTable parts() {
        return parts;
    }

    /** Returns true if applying the command would change anything. */
    boolean wouldChange(PublicationCommand command) {
        if (command instanceof PublicationCommand.RecordOutcomes outcomes) {
            return wouldRecord(outcomes);
        }
        if (command instanceof PublicationCommand.TakeTrial trial) {
            return requests.isTrialAvailable(trial.request(), trial.number());
        }
        if (command instanceof PublicationCommand.TakePartTrial trial) {
            return parts.isTrialAvailable(trial.part(), trial.number());
        }
        if (command instanceof PublicationCommand.ReturnPartTrial unused) {
            return parts.isTrialOf(unused.part(), unused.who());
        }
        if (command instanceof PublicationCommand.ClearPart clear) {
            return !parts.find(clear.part())
                    .map(SuspectPart::crashes)
                    .orElse(List.of())
                    .isEmpty();
        }
        return false;
    }

    private boolean wouldRecord(PublicationCommand.RecordOutcomes outcomes) {
        return outcomes.ended().stream().anyMatch(this::wouldRecord)
                || outcomes.completedParts().stream().anyMatch(parts::wouldRecordCompletion)
                || outcomes.ranWhole().stream()
                        .anyMatch(request -> !requests.endedTargetsOf(request).isEmpty());
    }

    private boolean wouldRecord(EndedTarget ended) {
        return ended.parts().stream().anyMatch(part -> parts.wouldRecordCrash(part, ended.target()))
                || ended.underWay().stream().anyMatch(request -> wouldRecord(request, ended.target()));
    }

    private boolean wouldRecord(RequestFingerprint request, String target) {
        return !parts.isAttributed(target) && requests.wouldRecordCrash(request, target);
    }

    /** Applies a committed command that concerns this part of the state. */
    void apply(long index, PublicationCommand command) {
        if (command instanceof PublicationCommand.RecordOutcomes outcomes) {
            record(index, outcomes);
        } else if (command instanceof PublicationCommand.TakeTrial trial) {
            requests.takeTrial(index, trial.request(), trial.number(), trial.who());
        } else if (command instanceof PublicationCommand.TakePartTrial trial) {
            parts.takeTrial(index, trial.part(), trial.number(), trial.who());
        } else if (command instanceof PublicationCommand.ReturnPartTrial unused) {
            parts.returnTrial(index, unused.part(), unused.who());
        } else if (command instanceof PublicationCommand.ClearPart clear) {
            parts.clear(index, clear.part());
        }
    }

    /** Judges parts before requests, so that the crash that condemns a part counts against no request. */
    private void record(long index, PublicationCommand.RecordOutcomes outcomes) {
        for (EndedTarget ended : outcomes.ended()) {
            parts.recordCrash(index, ended.parts(), ended.target());
        }
        for (CompletedPart completed : outcomes.completedParts()) {
            parts.recordCompletion(index, completed);
        }
        parts.recordVerdict(index);
        for (EndedTarget ended : outcomes.ended()) {
            ended.underWay().stream()
                    .filter(request -> wouldRecord(request, ended.target()))
                    .forEach(request -> requests.recordCrash(index, request, ended.target()));
        }
        requests.attributeToPart(index, parts.explainedTargets());
        outcomes.ranWhole().forEach(request -> requests.clear(index, request));
    }
}
