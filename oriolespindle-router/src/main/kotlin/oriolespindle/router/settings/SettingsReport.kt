package oriolespindle.router.settings

/** The source of the value of a setting. */
internal enum class SettingSource { FLAG, ENVIRONMENT, DEFAULT }

/** One effective setting as printed by `--check`; secrets are masked. */
internal data class EffectiveSetting(
    val flag: String,
    val value: String,
    val source: SettingSource,
)

/** Lists the effective settings and their sources. */
internal class SettingsReport(
    private val arguments: List<String>,
    private val environment: (String) -> String?,
) {
    fun lines(settings: Settings): List<EffectiveSetting> =
        values(settings).map { (flag, value) -> EffectiveSetting(flag, value, source(flag)) }

    fun text(settings: Settings): String =
        lines(settings).joinToString("\n") { "${it.flag}=${it.value} (${it.source.name.lowercase()})" }

    private fun source(flag: String): SettingSource =
        when {
            arguments.any { it == flag || it.startsWith("$flag=") } -> SettingSource.FLAG
            environment(SettingsOptions.environmentVariable(flag)) != null -> SettingSource.ENVIRONMENT
            else -> SettingSource.DEFAULT
        }

    private fun values(settings: Settings): List<Pair<String, String>> =
        listOf(
            "--instance-id" to settings.instance.value,
            "--zone" to settings.zone.value,
            "--callers" to settings.callers.toString(),
            "--administration" to settings.administration.toString(),
            "--peers" to settings.peers.toString(),
            "--platform" to settings.platform.toString(),
            "--fleet-key-file" to settings.fleetKey.toString(),
            "--operator-token-file" to settings.operatorToken?.toString().orEmpty(),
            "--seed-peers" to settings.seedPeers.joinToString(","),
            "--log-format" to settings.logFormat.name.lowercase(),
            "--drain-grace-ms" to settings.drainGrace.inWholeMilliseconds.toString(),
            "--termination-grace-seconds" to
                settings.terminationGrace
                    ?.inWholeSeconds
                    ?.toString()
                    .orEmpty(),
            "--platform-timeout-ms" to settings.platformTimeout.inWholeMilliseconds.toString(),
            "--load-poll-ms" to settings.loadPollInterval.inWholeMilliseconds.toString(),
            "--tls-certificate" to settings.tlsCertificate.orEmpty(),
            "--tls-key" to settings.tlsKey.orEmpty(),
        )
}
