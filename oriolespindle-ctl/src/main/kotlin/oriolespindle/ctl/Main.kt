package oriolespindle.ctl

public fun main() {
    println("oriolespindle")
}
