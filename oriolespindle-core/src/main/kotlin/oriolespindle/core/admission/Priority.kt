package oriolespindle.core.admission

/** The urgency of a request; 0 is the most urgent, and a request goes before those of a higher [level]. */
@JvmInline
public value class Priority(
    public val level: Int,
) : Comparable<Priority> {
    init {
        require(level >= 0) { "priority is $level, must not be negative" }
    }

    override fun compareTo(other: Priority): Int = level.compareTo(other.level)

    override fun toString(): String = level.toString()

    public companion object {
        /** The priority of requests whose route and team have none; engines assume the same. */
        public val DEFAULT: Priority = Priority(5)
    }
}
