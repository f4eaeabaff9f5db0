package org.baobabspindle.gateway;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.lang.reflect.Proxy;

/**
 * Handles SIGHUP, the signal to reload the settings. By default the Java runtime terminates the process on it, and
 * there is no supported API to handle signals; the internal class is accessed by reflection.
 */
final class HangupSignal {
    private static final Logger LOGGER = System.getLogger(HangupSignal.class.getName());

    private HangupSignal() {}

    /** Runs an action at each SIGHUP. */
    static void handle(Runnable action) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object proxy = Proxy.newProxyInstance(
                    HangupSignal.class.getClassLoader(), new Class<?>[] {handler}, (self, method, args) -> {
                        if (method.getName().equals("handle")) {
                            action.run();
                            return null;
                        }
                        return method.getName().equals("hashCode") ? (Object) System.identityHashCode(self) : null;
                    });
            Object hangup = signal.getConstructor(String.class).newInstance("HUP");
            signal.getMethod("handle", signal, handler).invoke(null, hangup, proxy);
        } catch (ReflectiveOperationException | IllegalArgumentException e) {
            LOGGER.log(Level.WARNING, "cannot handle SIGHUP; the signal will terminate the process: {0}", e);
        }
    }
}
