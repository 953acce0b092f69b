package org.bankturn.configuration;

import java.util.List;

/**
 * The content of one operators' file.
 *
 * @param name the file's name in the configuration, not null
 * @param number its version number, from 1, one more with each change
 * @param dataHalls the halls that it describes, not null
 * @param boxes the boxes that it describes, not null
 * @param models the models that it describes, not null
 * @param versions the versions that it describes, not null
 * @param services the services that it describes, not null
 * @param clientAccounts the accounts that it describes, not null
 */
public record OperatorFile(
        String name,
        long number,
        List<DataHall> dataHalls,
        List<Box> boxes,
        List<Model> models,
        List<ModelVersion> versions,
        List<Service> services,
        List<ClientAccount> clientAccounts) {}
