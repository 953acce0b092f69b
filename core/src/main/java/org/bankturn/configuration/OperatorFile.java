package org.bankturn.configuration;

import java.util.List;

/**
 * The content of one operator file.
 *
 * @param name the file name in the configuration, not null
 * @param number the version number, which starts at 1 and grows by one with each change
 * @param dataHalls the data halls that the file defines, not null
 * @param boxes the boxes that the file defines, not null
 * @param models the models that the file defines, not null
 * @param versions the versions that the file defines, not null
 * @param services the services that the file defines, not null
 * @param clientAccounts the client accounts that the file defines, not null
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
