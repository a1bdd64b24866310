package oriolespindle.core.config

import org.junit.jupiter.api.Test
import oriolespindle.core.time.Timestamp
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEqualTo
import strikt.assertions.isTrue
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against accepting a change that was not applied and against rejecting one that was. */
class ConditionalWriteTest {
    private val key = ObjectKey(ObjectKind.CONTRACT, "team-a")
    private val start = Timestamp.ZERO

    private fun stored(
        version: Long,
        value: String,
    ) = StoredObject(key, Revision(version), value)

    private fun writeWithLostAnswer(expected: Revision? = Revision(4)): ConditionalWrite {
        val write = ConditionalWrite(key, """{"weight":2}""", expected)
        write.handle(start, WriteEvent.Start)
        write.handle(start, WriteEvent.AnswerLost)
        expectThat(write.handle(start + 1.seconds, WriteEvent.Tick)).containsExactly(WriteAction.Read(key))
        return write
    }

    @Test
    fun `guards against rejecting a write whose answer was lost after it was applied`() {
        val write = writeWithLostAnswer()

        val actions = write.handle(start + 1.seconds, WriteEvent.ReadBack(stored(9, """{ "weight": 2 }""")))

        expectThat(actions).containsExactly(WriteAction.Finish(WriteResult.Accepted(Revision(9))))
    }

    @Test
    fun `guards against accepting a write with a lost answer when another writer was first`() {
        val write = writeWithLostAnswer()
        val other = stored(9, """{"weight":3}""")

        val actions = write.handle(start + 1.seconds, WriteEvent.ReadBack(other))

        expectThat(actions).containsExactly(WriteAction.Finish(WriteResult.Conflict(other)))
    }

    @Test
    fun `guards against reporting failure while a write with a lost answer can still be applied`() {
        val write = writeWithLostAnswer()
        val unchanged = WriteEvent.ReadBack(stored(4, """{"weight":1}"""))

        expectThat(write.handle(start + 1.seconds, unchanged))
            .containsExactly(WriteAction.Write(key, """{"weight":2}""", Revision(4)))
        val current = stored(10, """{"weight":2}""")
        expectThat(write.handle(start + 1.seconds, WriteEvent.Conflict(current)))
            .containsExactly(WriteAction.Finish(WriteResult.Accepted(Revision(10))))
    }

    @Test
    fun `guards against reporting that nothing was written when the timeout passes before the outcome is known`() {
        val write = writeWithLostAnswer()

        expectThat(write.handle(start + 10.seconds, WriteEvent.Tick))
            .containsExactly(WriteAction.Finish(WriteResult.Uncertain))
    }

    @Test
    fun `guards against reporting uncertainty when the platform was never reached`() {
        val write = ConditionalWrite(key, "{}", null)
        write.handle(start, WriteEvent.Start)
        write.handle(start, WriteEvent.Unavailable)

        expectThat(write.handle(start + 10.seconds, WriteEvent.Tick))
            .containsExactly(WriteAction.Finish(WriteResult.NotWritten))
    }

    @Test
    fun `guards against two concurrent writers that both win or that neither wins under lost answers`() {
        val outcomes = HashMap<String, Int>()
        repeat(2_000) { seed ->
            val store = FaultyStore(key, seed)
            val writers = List(3) { ConditionalWrite(key, """{"writer":$it}""", null) }
            val results = store.run(writers, start)

            val winners = results.withIndex().filter { it.value is WriteResult.Accepted }
            val owner = store.current?.value
            expectThat(winners.all { """{"writer":${it.index}}""" == owner }).isTrue()
            results.forEachIndexed { index, result ->
                if (result == WriteResult.NotWritten) expectThat(owner).isNotEqualTo("""{"writer":$index}""")
                if (result is WriteResult.Conflict) expectThat(result.current).isEqualTo(store.current)
                outcomes.merge(result::class.simpleName.orEmpty(), 1, Int::plus)
            }
        }
        println("conditional write, 2,000 seeds, 3 writers, 30% of answers lost: $outcomes")
        expectThat(outcomes.keys).contains("Accepted", "Conflict")
    }

    /** A store that loses answers before and after it applies the write, and applies some of those writes late. */
    private class FaultyStore(
        private val key: ObjectKey,
        seed: Int,
    ) {
        private val random = Random(seed)
        private val delayed = ArrayList<WriteAction.Write>()
        private var revision = 0L
        var current: StoredObject? = null

        fun run(
            writers: List<ConditionalWrite>,
            start: Timestamp,
        ): List<WriteResult> {
            val results = HashMap<Int, WriteResult>()
            val queue = ArrayDeque(writers.indices.shuffled(random).map { it to (WriteEvent.Start as WriteEvent) })
            var now = start
            while (results.size < writers.size) {
                now += 20.milliseconds
                if (delayed.isNotEmpty() && random.nextInt(3) == 0) applyWrite(delayed.removeAt(0))
                val (index, event) = queue.removeFirstOrNull() ?: (random.nextInt(writers.size) to WriteEvent.Tick)
                writers[index].handle(now, event).forEach { action ->
                    if (action is WriteAction.Finish) results[index] = action.result
                    answer(action)?.let { queue += index to it }
                }
            }
            return writers.indices.map(results::getValue)
        }

        private fun answer(action: WriteAction): WriteEvent? =
            when (action) {
                is WriteAction.Write -> {
                    write(action)
                }

                is WriteAction.Read -> {
                    if (random.nextInt(3) ==
                        0
                    ) {
                        WriteEvent.Unavailable
                    } else {
                        WriteEvent.ReadBack(current)
                    }
                }

                else -> {
                    null
                }
            }

        private fun write(action: WriteAction.Write): WriteEvent {
            when (random.nextInt(10)) {
                0 -> return WriteEvent.Unavailable
                1 -> return WriteEvent.AnswerLost.also { delayed += action }
                2, 3 -> return WriteEvent.AnswerLost.also { applyWrite(action) }
            }
            return if (applyWrite(action)) WriteEvent.Applied(Revision(revision)) else WriteEvent.Conflict(current)
        }

        private fun applyWrite(action: WriteAction.Write): Boolean {
            if (current?.version != action.expected) return false
            current = StoredObject(key, Revision(++revision), action.value)
            return true
        }
    }
}
