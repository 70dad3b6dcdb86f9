package dogwoodgrade.node

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock

/**
 * Lets callers share reads of the log, one of which is under way at a time.
 *
 * A caller gets a read that is sent after it has asked: the store may have answered one that is under way before the
 * record was appended that the caller asks for.
 *
 * Guarded by its own lock (number 8 in the lock order of the node process).
 *
 * @param read reads the log; returns whether it has read all that the caller lacks
 */
internal class SharedRead(
    private val scope: CoroutineScope,
    private val read: suspend () -> Boolean,
) {
    private val underWay = Mutex()

    /** The read that waits for the one under way, or has not been sent yet. */
    private var next: Deferred<Boolean>? = null

    /** Returns the outcome of a read that has not been sent yet. */
    fun join(): Deferred<Boolean> = nextRead().also { it.start() }

    @Synchronized
    private fun nextRead(): Deferred<Boolean> =
        next ?: scope.async(start = CoroutineStart.LAZY) { readInTurn() }.also { next = it }

    private suspend fun readInTurn(): Boolean =
        underWay.withLock {
            closeForCallers()
            read()
        }

    @Synchronized
    private fun closeForCallers() {
        next = null
    }
}
