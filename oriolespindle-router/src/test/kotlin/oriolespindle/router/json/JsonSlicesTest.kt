package oriolespindle.router.json

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull

class JsonSlicesTest {
    @Test
    fun `divides a text at the separators outside of strings and of inner values`() {
        val text = """ { "a" : "x,}\"]\\" , "b":[1,{"c":2}],"d": -1.5e9 ,"b": null, "e":{} } """

        expectThat(JsonSlices.members(text))
            .isEqualTo(mapOf("a" to """"x,}\"]\\"""", "b" to "null", "d" to "-1.5e9", "e" to "{}"))
        expectThat(JsonSlices.elements("""[1, [2,3] ,"4,5",{"a":[6]}]"""))
            .isEqualTo(listOf("1", "[2,3]", "\"4,5\"", """{"a":[6]}"""))
        expectThat(JsonSlices.elements("[ ]")).isEqualTo(emptyList())
    }

    @Test
    fun `keeps the values beside one that is no JSON but whose brackets are balanced`() {
        expectThat(JsonSlices.elements("""[1,{"a" [2},],NaN,3]""")).isEqualTo(listOf("1", """{"a" [2},]""", "NaN", "3"))
    }

    @Test
    fun `takes no incomplete text for a complete one`() {
        for (text in listOf("", "[", "[1", "[1,", "[1,]", "[,1]", "[1 2", "[\"a", "[[1]", "[1]]", "[1] 2", "{}", "1")) {
            expectThat(JsonSlices.elements(text)).describedAs(text).isNull()
        }
        for (text in listOf("", "{", "{\"a\"", "{\"a\":", "{\"a\":}", "{\"a\":1", "{\"a\":1,}", "{\"a\":1}}", "[]")) {
            expectThat(JsonSlices.members(text)).describedAs(text).isNull()
        }
    }

    @Test
    fun `measures a depth that would overflow the stack of a recursion`() {
        expectThat(JsonSlices.depth("\"[[\\\"[\"")).isEqualTo(0)
        expectThat(JsonSlices.depth("""{"a":[1,[]],"b":{}}""")).isEqualTo(3)
        expectThat(JsonSlices.depth("[{\"a\":".repeat(1_000_000))).isEqualTo(2_000_000)
        expectThat(JsonSlices.elements("[".repeat(1_000_000) + "]".repeat(1_000_000))?.size).isEqualTo(1)
    }
}
