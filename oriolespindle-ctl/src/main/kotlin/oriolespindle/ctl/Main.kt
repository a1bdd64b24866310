package oriolespindle.ctl

import com.github.ajalt.clikt.core.main

/** Runs the operators' command line; the process exits with the code of an [ExitCode]. */
public fun main(args: Array<String>) {
    RootCommand.program().main(args)
}
