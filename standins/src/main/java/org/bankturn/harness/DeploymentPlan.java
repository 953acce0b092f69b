package org.bankturn.harness;

import java.util.ArrayList;
import java.util.List;

/**
 * The topology of a deployment and its client accounts.
 *
 * @param name the deployment's name, not null
 * @param dataHalls the data halls, not empty
 * @param region the region of the data halls, not null
 * @param entries the entry boxes, some of which are control boxes as well, not null
 * @param targets the target boxes, not null
 * @param accounts the client accounts, not null
 * @param plainServices the services without a model, the non-idempotent one first, not null
 */
public record DeploymentPlan(
        String name,
        List<String> dataHalls,
        String region,
        List<EntryBox> entries,
        List<TargetBox> targets,
        List<Account> accounts,
        List<String> plainServices) {
    /** The name of the model and of its service. */
    public static final String ASSISTANT = "assistant";

    private static final int LARGE_WEIGHT = 4;

    /** An entry box; also a control box if {@code control} is true. */
    public record EntryBox(String name, String dataHall, boolean control) {}

    /** A target box, its hall and its service. */
    public record TargetBox(String name, String dataHall, String service) {}

    /** A client account, its weight and its halls. */
    public record Account(String name, int weight, List<String> dataHalls) {}

    /** Returns the plan of the donor line, not null. */
    public static DeploymentPlan donor() {
        List<String> halls = List.of("puget", "willamette", "inland");
        return of("donor", halls, "northwest", "booking", "other");
    }

    /** Returns the plan of the signing franchise, not null. */
    public static DeploymentPlan signing() {
        List<String> halls = List.of("amman", "irbid", "aqaba");
        return of("signing", halls, "jordan", "envelopes", "ledger");
    }

    /**
     * Returns a deployment with one entry box and many assistant boxes in one hall.
     *
     * @param boxes the number of target boxes
     * @return the plan, not null
     */
    public static DeploymentPlan burst(int boxes) {
        List<String> halls = List.of("hall");
        List<TargetBox> targets = new ArrayList<>();
        for (int number = 1; number <= boxes; number++) {
            targets.add(new TargetBox("box-" + number, "hall", ASSISTANT));
        }
        List<EntryBox> entries = List.of(new EntryBox("entry-1", "hall", true));
        return new DeploymentPlan("burst", halls, "region", entries, targets, accounts(halls), List.of());
    }

    /**
     * Returns a deployment for failure tests: three halls, each with one entry and control box and one assistant, and a
     * plain service in the first hall.
     *
     * @return the plan, not null
     */
    public static DeploymentPlan small() {
        List<String> halls = List.of("one", "two", "three");
        List<EntryBox> entries = new ArrayList<>();
        List<TargetBox> targets = new ArrayList<>();
        for (String hall : halls) {
            entries.add(new EntryBox(hall + "-entry", hall, true));
            targets.add(new TargetBox(hall + "-assistant", hall, ASSISTANT));
        }
        targets.add(new TargetBox("one-booking", "one", "booking"));
        return new DeploymentPlan("small", halls, "region", entries, targets, accounts(halls), List.of("booking"));
    }

    private static DeploymentPlan of(String name, List<String> halls, String region, String unsafe, String other) {
        List<EntryBox> entries = new ArrayList<>();
        int[] entriesPerHall = {3, 2, 2};
        int[] assistantsPerHall = {3, 3, 2};
        List<TargetBox> targets = new ArrayList<>();
        for (int position = 0; position < halls.size(); position++) {
            String hall = halls.get(position);
            for (int number = 1; number <= entriesPerHall[position]; number++) {
                entries.add(new EntryBox(hall + "-entry-" + number, hall, number == 1));
            }
            for (int number = 1; number <= assistantsPerHall[position]; number++) {
                targets.add(new TargetBox(hall + "-assistant-" + number, hall, ASSISTANT));
            }
            targets.add(new TargetBox(hall + "-" + unsafe, hall, unsafe));
        }
        targets.add(new TargetBox(halls.get(0) + "-" + other, halls.get(0), other));
        return new DeploymentPlan(name, halls, region, entries, targets, accounts(halls), List.of(unsafe, other));
    }

    private static List<Account> accounts(List<String> halls) {
        List<Account> accounts = new ArrayList<>();
        for (int number = 1; number <= 10; number++) {
            boolean large = number <= 2;
            List<String> allowed = number == 10 ? halls.subList(0, 1) : halls;
            accounts.add(new Account("account-" + number, large ? LARGE_WEIGHT : 1, allowed));
        }
        return accounts;
    }

    /**
     * Returns the number of boxes that serve the model.
     *
     * @return the number of assistant boxes
     */
    public int assistantCount() {
        return (int) targets.stream()
                .filter(target -> target.service().equals(ASSISTANT))
                .count();
    }
}
