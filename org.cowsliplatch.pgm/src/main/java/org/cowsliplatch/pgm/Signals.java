package org.cowsliplatch.pgm;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import org.jboss.logging.Logger;

/**
 * Handlers of signals that the Java runtime would otherwise take as an order to end.
 *
 * <p>The runtime's signal API is outside the Java platform, so it is reached by reflection and may be missing.
 */
final class Signals {
    private static final Logger LOG = Logger.getLogger(Signals.class);

    private Signals() {}

    /** Runs an action at each HUP in place of ending the process. */
    static void onHangUp(Runnable action) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object proxy = Proxy.newProxyInstance(
                    Signals.class.getClassLoader(), new Class<?>[] {handler}, (self, method, arguments) -> {
                        if (method.getName().equals("handle")) {
                            action.run();
                        }
                        return null;
                    });
            Object hangUp = signal.getConstructor(String.class).newInstance("HUP");
            signal.getMethod("handle", signal, handler).invoke(null, hangUp, proxy);
        } catch (ClassNotFoundException
                | NoSuchMethodException
                | InstantiationException
                | IllegalAccessException
                | InvocationTargetException e) {
            LOG.warnf("HUP will end this process, since its handler could not be set: %s", e);
        }
    }
}
