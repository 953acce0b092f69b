package org.bankturn.daemon.group;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;

/** Converts futures that other threads complete to promises of a reactor. */
final class ReactorPromises {
    private ReactorPromises() {}

    /** Returns a promise that completes on the reactor's thread with the result of the future, not null. */
    static <T> Promise<T> of(Eventloop reactor, CompletableFuture<T> future) {
        SettablePromise<T> promise = new SettablePromise<>();
        CompletableFuture<T> unused = future.whenComplete((value, failure) -> reactor.execute(() -> {
            if (failure != null) {
                promise.trySetException(failure instanceof Exception known ? known : new IOException(failure));
            } else {
                promise.trySet(value);
            }
        }));
        return promise;
    }
}
