package dogwoodgrade.model

/** Result of an operation that can be refused: a value, or a refusal with a result code. */
public sealed interface Outcome<out Value> {
    /** The operation succeeded with [value]. */
    public data class Success<Value>(public val value: Value) : Outcome<Value>

    /** The operation was refused; [message] states the reason for human readers. */
    public data class Failure(public val code: ResultCode, public val message: String) : Outcome<Nothing>
}

/** Returns the value of a success, or `null` for a failure. */
public fun <Value> Outcome<Value>.valueOrNull(): Value? = (this as? Outcome.Success)?.value

/** Returns the failure, or `null` for a success. */
public fun Outcome<*>.failureOrNull(): Outcome.Failure? = this as? Outcome.Failure

/** Returns a success with the transformed value, or the same failure. */
public inline fun <Value, Result> Outcome<Value>.map(transform: (Value) -> Result): Outcome<Result> =
    when (this) {
        is Outcome.Success -> Outcome.Success(transform(value))
        is Outcome.Failure -> this
    }

/** Returns the outcome of [transform] for the value of a success, or the same failure. */
public inline fun <Value, Result> Outcome<Value>.flatMap(transform: (Value) -> Outcome<Result>): Outcome<Result> =
    when (this) {
        is Outcome.Success -> transform(value)
        is Outcome.Failure -> this
    }
