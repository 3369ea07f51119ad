package org.cowsliplatch.internal.entry;

import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.jboss.logging.Logger;

/** Runs tasks periodically, with a delay between runs. A failure is logged, and the task runs again. */
final class Repeater {
    private static final Logger LOG = Logger.getLogger(Repeater.class);

    private Repeater() {}

    /**
     * Runs a task at once and then again after each delay, until the executor is shut down.
     *
     * @param delayMs returns the delay in ms before the next run
     */
    static void repeat(ScheduledExecutorService executor, Runnable task, LongSupplier delayMs) {
        executor.execute(new Runnable() {
            @Override
            public void run() {
                try {
                    task.run();
                } catch (RuntimeException e) {
                    LOG.error("periodic task failed", e);
                }
                if (!executor.isShutdown()) {
                    schedule();
                }
            }

            private void schedule() {
                try {
                    var unused = executor.schedule(this, delayMs.getAsLong(), TimeUnit.MILLISECONDS);
                } catch (RejectedExecutionException e) {
                    LOG.debug("periodic task not scheduled: the executor is shut down");
                }
            }
        });
    }
}
