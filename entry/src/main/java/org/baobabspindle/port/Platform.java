package org.baobabspindle.port;

import org.baobabspindle.settings.SettingsException;
import org.eclipse.jetty.client.HttpClient;

/** A platform to run on. */
public interface Platform {
    /**
     * Returns the settings of this process.
     *
     * @return the settings
     */
    GatewaySettings settings();

    /**
     * Reads the settings of this process again.
     *
     * @return the settings
     * @throws SettingsException if they cannot be used
     */
    GatewaySettings reload() throws SettingsException;

    /**
     * Connects to the store.
     *
     * @param client a started client
     * @return the store
     */
    PlatformStore store(HttpClient client);

    /**
     * Returns the way to order engines.
     *
     * @param client a started client
     * @param heads hears the head of each answer of an engine
     * @return the port
     */
    EnginePort engines(HttpClient client, ResponseHeadListener heads);

    /**
     * Returns the reader of the platform's records.
     *
     * @return the decoder
     */
    FleetDecoder decoder();

    /**
     * Returns the names of headers.
     *
     * @return the names
     */
    ForwardingHeaders headers();

    /**
     * Returns the form of questions for addresses and readiness.
     *
     * @return the form
     */
    DirectoryFormat directory();
}
