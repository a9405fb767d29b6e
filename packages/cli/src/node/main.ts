#!/usr/bin/env node
import { runProgram } from '../cli/runProgram.js'

/**
 * Entry of the `rattanstep` command.
 */

// A reader that has seen enough, such as `head`, ends the program without a message.
process.stdout.on('error', (error: NodeJS.ErrnoException) => {
  if (error.code !== 'EPIPE') throw error
  process.exit()
})

process.exitCode = await runProgram(process.argv.slice(2))
