#!/usr/bin/env node
import { runProgram } from '../cli/runProgram.js'

/**
 * Entry point of the `rattanstep` command.
 */

// If the reader of a pipe closes it early, as `head` does, the program exits without an error message.
process.stdout.on('error', (error: NodeJS.ErrnoException) => {
  if (error.code !== 'EPIPE') throw error
  process.exit()
})

process.exitCode = await runProgram(process.argv.slice(2))
