package dogwoodgrade.entry

import dogwoodgrade.model.RequestIdentifier
import java.util.concurrent.locks.ReentrantLock
import kotlin.concurrent.withLock

/**
 * Requests that this entry holds, waiting or running. Its lock has number 7 in the lock order.
 *
 * The table bounds the memory of the entry and, since each request has at most one event under way, the length of the
 * workers' channel.
 */
internal class RequestTable(private val maximum: Int) {
    private val lock = ReentrantLock()
    private val calls = HashMap<RequestIdentifier, Call>()

    val size: Int get() = lock.withLock { calls.size }

    /** Adds [call]; returns `false` if the table is full. */
    fun add(call: Call): Boolean =
        lock.withLock {
            val fits = calls.size < maximum
            if (fits) calls[call.identifier] = call
            fits
        }

    /** Returns the call, or `null` if it has ended. */
    operator fun get(identifier: RequestIdentifier): Call? = lock.withLock { calls[identifier] }

    /** Stores a new state of a call that is in the table. */
    fun replace(call: Call): Unit =
        lock.withLock {
            calls.computeIfPresent(call.identifier) { _, _ -> call }
        }

    /** Removes and returns the call. */
    fun remove(identifier: RequestIdentifier): Call? = lock.withLock { calls.remove(identifier) }
}
