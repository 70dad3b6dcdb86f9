package dogwoodgrade.entry

import dogwoodgrade.model.RequestIdentifier
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/**
 * Requests that this entry holds, waiting or running. Guarded by its own lock (number 7 in the lock order of the entry
 * process).
 *
 * The capacity of the table bounds the memory of the entry. It also bounds the length of the workers' channel, because
 * each request has at most one pending event.
 */
internal class RequestTable(private val capacity: Int) {
    private val lock = ReentrantLock()
    private val calls = HashMap<RequestIdentifier, Call>()

    val size: Int get() = lock.withLock { calls.size }

    /** Adds [call]; returns `false` if the table is full. */
    fun add(call: Call): Boolean =
        lock.withLock {
            val fits = calls.size < capacity
            if (fits) calls[call.identifier] = call
            fits
        }

    /** Returns the call [identifier], or `null` if it has ended. */
    operator fun get(identifier: RequestIdentifier): Call? = lock.withLock { calls[identifier] }

    /** Replaces the state of a call that is in the table; does nothing if it has ended. */
    fun replace(call: Call): Unit =
        lock.withLock {
            calls.computeIfPresent(call.identifier) { _, _ -> call }
        }

    /** Removes and returns the call, or returns `null` if it has ended. */
    fun remove(identifier: RequestIdentifier): Call? = lock.withLock { calls.remove(identifier) }
}
