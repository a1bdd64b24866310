package oriolespindle.core.relay

import org.junit.jupiter.api.Test
import oriolespindle.core.id.ServiceId
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull
import kotlin.time.Duration.Companion.seconds

class RouteTableTest {
    private fun route(
        host: String,
        prefix: String,
        targets: List<RouteTarget> = listOf(RouteTarget(ServiceId("s"))),
    ) = Route("$host$prefix", host, prefix, RouteKind.IDEMPOTENT, targets, timeout = 1.seconds, objective = 1.seconds)

    @Test
    fun `guards against a shorter prefix winning over a longer one`() {
        val table = RouteTable(listOf(route("a.example", "/x/"), route("a.example", "/x/y/"), route("b.example", "/")))

        expectThat(table.find("a.example", "/x/y/z")?.pathPrefix).isEqualTo("/x/y/")
        expectThat(table.find("a.example", "/x/z")?.pathPrefix).isEqualTo("/x/")
        expectThat(table.find("A.example:8080", "/x/z")?.pathPrefix).isEqualTo("/x/")
    }

    @Test
    fun `guards against matching a route of another host or a prefix without its trailing slash`() {
        val table = RouteTable(listOf(route("a.example", "/x/")))

        expectThat(table.find("b.example", "/x/z")).isNull()
        expectThat(table.find("a.example", "/xyz")).isNull()
        expectThat(table.find("a.example", "/x")).isNull()
    }

    @Test
    fun `guards against a distribution of requests that ignores the weights`() {
        val split = listOf(RouteTarget(ServiceId("a"), 90), RouteTarget(ServiceId("b"), 10))
        val counts = (0 until 1_000).groupingBy { RouteTable.selectTarget(route("h", "/", split), it) }.eachCount()

        expectThat(counts[ServiceId("a")]).isEqualTo(900)
        expectThat(counts[ServiceId("b")]).isEqualTo(100)
        expectThat(RouteTable.selectTarget(route("h", "/", emptyList()), 1)).isNull()
    }

    @Test
    fun `guards against an older configuration replacing a newer one`() {
        val holder = ConfigurationHolder()

        expectThat(holder.offer(RelayConfiguration(7, emptyList(), emptyList()))).isEqualTo(true)
        expectThat(holder.offer(RelayConfiguration(5, emptyList(), emptyList()))).isEqualTo(false)
        expectThat(holder.offer(RelayConfiguration(7, emptyList(), emptyList()))).isEqualTo(false)
        expectThat(holder.current?.version).isEqualTo(7)
    }
}
