package dogwoodgrade.control

/**
 * Schema versions of records that this release can fold.
 *
 * Version 2 added `refuseWhenStaleAfterMilliseconds` to teams. A stream may contain records of both versions.
 */
public object SchemaVersions {
    /** The oldest supported version; always accepted. */
    public const val OLDEST: Int = 1

    /** The newest supported version. */
    public const val NEWEST: Int = 2
}
