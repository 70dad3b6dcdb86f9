package dogwoodgrade.shares

/** Node of a [RequestList] with a waiting request; it is in at most one list. */
internal class RequestNode(val request: WaitingRequest) {
    var previous: RequestNode? = null
    var next: RequestNode? = null
    var list: RequestList? = null
}

/** Doubly linked list of waiting requests: adding at both ends and removing anywhere take constant time. */
internal class RequestList {
    var first: RequestNode? = null
        private set
    private var last: RequestNode? = null
    var size: Int = 0
        private set

    fun addLast(node: RequestNode) {
        node.list = this
        node.previous = last
        last?.next = node
        last = node
        if (first == null) first = node
        size++
    }

    fun addFirst(node: RequestNode) {
        node.list = this
        node.next = first
        first?.previous = node
        first = node
        if (last == null) last = node
        size++
    }

    fun remove(node: RequestNode) {
        check(node.list === this) { "request ${node.request.identifier} is not in this list" }
        node.previous?.next = node.next
        node.next?.previous = node.previous
        if (first === node) first = node.next
        if (last === node) last = node.previous
        node.previous = null
        node.next = null
        node.list = null
        size--
    }
}
