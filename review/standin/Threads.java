package review;

import java.util.concurrent.TimeUnit;

/** Threads and waits of the stand-ins. */
final class Threads {
    private Threads() {}

    static Thread start(String name, Runnable action) {
        Thread thread = new Thread(action, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static void sleepMs(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static void sleepUntil(long nanos) {
        try {
            TimeUnit.NANOSECONDS.sleep(Math.max(0, nanos - System.nanoTime()));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
