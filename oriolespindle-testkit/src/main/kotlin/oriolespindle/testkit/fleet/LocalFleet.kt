package oriolespindle.testkit.fleet

public fun main() {
    println("oriolespindle")
}
