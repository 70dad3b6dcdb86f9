package dogwoodgrade.model

/** Result of an operation that can be refused: a value, or a numbered refusal. */
public sealed interface Outcome<out Value> {
    /** The operation succeeded with [value]. */
    public data class Success<Value>(public val value: Value) : Outcome<Value>

    /** The operation was refused; [message] is a sentence for people. */
    public data class Failure(public val code: ResultCode, public val message: String) : Outcome<Nothing>
}

/** Returns the value of a success, or `null` for a failure. */
public fun <Value> Outcome<Value>.valueOrNull(): Value? = (this as? Outcome.Success)?.value

/** Returns the failure, or `null` for a success. */
public fun Outcome<*>.failureOrNull(): Outcome.Failure? = this as? Outcome.Failure

/** Applies [transform] to the value of a success and passes a failure on. */
public inline fun <Value, Result> Outcome<Value>.map(transform: (Value) -> Result): Outcome<Result> =
    when (this) {
        is Outcome.Success -> Outcome.Success(transform(value))
        is Outcome.Failure -> this
    }

/** Applies [transform] to the value of a success and passes a failure on. */
public inline fun <Value, Result> Outcome<Value>.flatMap(transform: (Value) -> Outcome<Result>): Outcome<Result> =
    when (this) {
        is Outcome.Success -> transform(value)
        is Outcome.Failure -> this
    }
