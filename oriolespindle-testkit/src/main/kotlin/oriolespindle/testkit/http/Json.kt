package oriolespindle.testkit.http

import kotlinx.serialization.json.Json

/** The JSON dialect of the fakes: unknown fields are ignored, defaults are written. */
internal val wireJson: Json =
    Json {
        ignoreUnknownKeys = true
        encodeDefaults = true
        explicitNulls = false
    }
