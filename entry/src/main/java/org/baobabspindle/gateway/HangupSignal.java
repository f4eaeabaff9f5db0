package org.baobabspindle.gateway;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.lang.reflect.Proxy;

/**
 * The signal that says that the settings have changed. The Java runtime ends the process on it unless it is handled, and
 * offers no supported way to do so; the class behind it is reached by reflection, since it is not part of the platform API.
 */
final class HangupSignal {
    private static final Logger LOGGER = System.getLogger(HangupSignal.class.getName());

    private HangupSignal() {}

    /** Runs an action at each hangup signal. */
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
            LOGGER.log(Level.WARNING, "hangup signals cannot be handled and will end the process: {0}", e);
        }
    }
}
