package org.baobabspindle.gateway;

import java.time.Duration;
import java.util.Optional;
import org.baobabspindle.core.dispatch.BatchModel;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.time.Moment;
import org.eclipse.jetty.http.HttpFields;

/**
 * Where a call is sent: to a backend server, or to another entry that relays the request. Receives what happens to the
 * call.
 */
sealed interface Destination permits ServerDestination, EntryDestination {
    /** Returns the key that identifies the destination in logs. */
    String key();

    String host();

    int port();

    /** Returns the backend server; empty if the destination is an entry. */
    default Optional<BackendServer> server() {
        return Optional.empty();
    }

    /** Returns the destination as an entry; empty if it is a backend server. */
    default Optional<EntryDestination> entry() {
        return Optional.empty();
    }

    /** Returns the effect of the request that was predicted when it was placed by prompt tokens. */
    default Optional<BatchModel.Prediction> predicted() {
        return Optional.empty();
    }

    /**
     * Sets the headers that depend on the kind of destination.
     *
     * @param to the headers of the call
     * @param caller the headers of the caller's request
     * @param values the values of headers that the gateway sets itself
     */
    void setHeaders(HttpFields.Mutable to, HttpFields caller, BackendCall.GatewayHeaders values);

    /**
     * Receives the head of a response; returns whether the response may belong to the request.
     *
     * @param named whether the request has an id
     */
    boolean headReceived(int status, HttpFields headers, Attribution attribution, boolean named, Moment now);

    /** Returns whether a request may be sent at this moment; its availability zone may have been evacuated. */
    default boolean mayReceive(Moment now) {
        return true;
    }

    /** Returns whether a response without framing may be whole at the orderly end of its connection. */
    default boolean mayEndWithConnection() {
        return true;
    }

    /** The call is about to be sent. */
    void sent(Moment now);

    /** A part of the body was received. */
    void bytesReceived(Moment now);

    /** An event was received, with the interval since the event before it, which is empty for the first one. */
    void eventReceived(Optional<Duration> interval, Moment now);

    /**
     * The call has ended, or was not sent at all.
     *
     * @param started whether an event was received
     */
    void ended(boolean started, Dispatcher.CallResult result, Moment now);
}
