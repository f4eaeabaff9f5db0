package org.baobabspindle.port;

import org.baobabspindle.settings.SettingsException;
import org.eclipse.jetty.client.HttpClient;

/** The platform on which a gateway runs: its settings, store, engines and wire formats. */
public interface Platform {
    /**
     * Returns the settings of this process.
     *
     * @return the settings
     */
    GatewaySettings settings();

    /**
     * Reloads the settings of this process.
     *
     * @return the settings
     * @throws SettingsException if they are invalid or cannot be read
     */
    GatewaySettings reload() throws SettingsException;

    /**
     * Creates a client of the store.
     *
     * @param client a started client
     * @return the store
     */
    PlatformStore store(HttpClient client);

    /**
     * Creates a client of the model engines.
     *
     * @param client a started client
     * @param heads receives the head of each response of an engine
     * @return the port
     */
    EnginePort engines(HttpClient client, ResponseHeadListener heads);

    /**
     * Returns the decoder of the platform's records.
     *
     * @return the decoder
     */
    FleetDecoder decoder();

    /**
     * Returns the names of the HTTP headers.
     *
     * @return the names
     */
    ForwardingHeaders headers();

    /**
     * Returns the format of address lookups and readiness checks.
     *
     * @return the format
     */
    DirectoryFormat directory();
}
