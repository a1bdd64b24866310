package oriolespindle.core.contract

import oriolespindle.core.id.ModelId
import oriolespindle.core.id.ServiceId
import oriolespindle.core.id.TeamId
import kotlin.time.Duration.Companion.seconds

internal fun sampleContract(
    team: String,
    vararg keys: String = arrayOf("key of $team"),
): Contract =
    Contract(
        team = TeamId(team),
        keyDigests = keys.map(KeyDigest::of).toSet(),
        requestsPerSecond = 5.0,
        tokensPerSecond = 1000.0,
        concurrency = 10,
        weight = 1.0,
        priorities = setOf(0, 1),
        models = setOf(ModelId("m")),
        services = setOf(ServiceId("stock")),
        defaultDeadline = 2.seconds,
        maximumDeadline = 10.seconds,
        maximumBodyBytes = 1_000_000,
        maximumPromptTokens = 4096,
        maximumGeneratedTokens = 1024,
        queueLength = 100,
        retryBudget = 0.1,
    )
