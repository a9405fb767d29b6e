#!/usr/bin/env node
import { runProgram } from '../cli/runProgram.js'

/**
 * Entry of the `rattanstep` command.
 */

process.exitCode = await runProgram(process.argv.slice(2))
