package oriolespindle.router

public fun main() {
    println("oriolespindle")
}
